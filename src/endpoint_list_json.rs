//! The endpoint list as discovery sends it, in JSON.

use crate::address::{AddressError, parse_address};
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::routing::{Availability, GroupId, ZoneId};
use crate::time::{TimeDelta, Timestamp};
use miniserde::{Deserialize, json};
use thiserror::Error;

/// Why a list cannot be used. It is rejected as a whole: the last good list stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// Not JSON, or not with the fields of a list.
    #[error("the list is not in discovery's form")]
    Malformed,
    /// A status other than `active`, `leaving` and `left`.
    #[error("endpoint {endpoint}: unknown status {status:?}")]
    UnknownStatus {
        /// The endpoint's name.
        endpoint: String,
        /// The status.
        status: String,
    },
    /// The address of an endpoint.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// A list in the form of discovery's answers; the platform's configuration may contain one.
#[derive(Deserialize)]
pub struct EndpointListJson {
    index: u64,
    snapshot: bool,
    endpoints: Vec<EndpointJson>,
}

#[derive(Deserialize)]
struct EndpointJson {
    name: String,
    address: String,
    zone: Option<String>,
    group: u32,
    status: String,
    weight: Option<f64>,
    since_ms: Option<f64>,
}

/// Reads an answer of discovery. `zones` are the names of the zones by number.
///
/// # Errors
/// [`EndpointListError`]; one endpoint that cannot be read rejects the whole list.
pub fn parse(text: &str, zones: &[String]) -> Result<EndpointUpdate, EndpointListError> {
    let list: EndpointListJson = json::from_str(text).map_err(|_| EndpointListError::Malformed)?;
    list.into_update(zones)
}

impl EndpointListJson {
    /// The list with its names and numbers resolved.
    ///
    /// # Errors
    /// As of [`parse`].
    pub fn into_update(self, zones: &[String]) -> Result<EndpointUpdate, EndpointListError> {
        let mut entries = Vec::with_capacity(self.endpoints.len());
        for endpoint in self.endpoints {
            entries.push(endpoint.into_record(zones)?);
        }
        Ok(EndpointUpdate { index: self.index, whole: self.snapshot, entries })
    }
}

impl EndpointJson {
    fn into_record(self, zones: &[String]) -> Result<EndpointRecord, EndpointListError> {
        let availability = match self.status.as_str() {
            "active" => Availability::Ready,
            "leaving" => Availability::Draining,
            "left" => Availability::Gone,
            _ => {
                return Err(EndpointListError::UnknownStatus { endpoint: self.name, status: self.status });
            }
        };
        let address = parse_address(&self.address, &format!("endpoint {}", self.name))?;
        // A zone that the settings do not name counts as the first one.
        let zone = self.zone.and_then(|zone| zones.iter().position(|name| *name == zone)).unwrap_or(0);
        let started_at_millis = self.since_ms.filter(|millis| millis.is_finite() && *millis > 0.0);
        Ok(EndpointRecord {
            name: self.name,
            address,
            zone: ZoneId(zone as u8),
            group: GroupId(self.group),
            availability,
            // Roles are learned from answers alone.
            primary: false,
            weight: self.weight.filter(|weight| weight.is_finite()).unwrap_or(1.0),
            started_at: started_at_millis
                .map(|millis| Timestamp::ZERO + TimeDelta::from_micros_f64(millis * 1000.0)),
        })
    }
}
