//! The JSON format of discovery's endpoint lists.

use crate::address::{AddressError, parse_address};
use crate::engine::endpoints::{EndpointRecord, EndpointUpdate, ListCoverage};
use crate::routing::{Availability, GroupId, ZoneId};
use crate::time::{TimeDelta, Timestamp};
use miniserde::{Deserialize, json};
use thiserror::Error;

/// Why a list cannot be used. A bad list is rejected as a whole, and the last good list stays in use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The text is not JSON, or fields are missing or of the wrong type.
    #[error("the endpoint list is not valid JSON or has missing or invalid fields")]
    Malformed,
    /// A status other than `active`, `leaving` and `left`.
    #[error("endpoint {endpoint}: unknown status {status:?}")]
    UnknownStatus {
        /// The endpoint's name.
        endpoint: String,
        /// The unknown status.
        status: String,
    },
    /// The address of an endpoint does not parse.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// An endpoint list as discovery sends it. The platform's configuration may contain one too.
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

/// Parses an answer of discovery. `zones` holds the zone names in the order of their numbers.
///
/// # Errors
/// [`EndpointListError`]; a single invalid endpoint rejects the whole list.
pub fn parse(text: &str, zones: &[String]) -> Result<EndpointUpdate, EndpointListError> {
    let list: EndpointListJson = json::from_str(text).map_err(|_| EndpointListError::Malformed)?;
    list.into_update(zones)
}

impl EndpointListJson {
    /// Converts the list to an update for the engine, resolving zone names and statuses.
    ///
    /// # Errors
    /// The same as for [`parse`].
    pub fn into_update(self, zones: &[String]) -> Result<EndpointUpdate, EndpointListError> {
        let mut entries = Vec::with_capacity(self.endpoints.len());
        for endpoint in self.endpoints {
            entries.push(endpoint.into_record(zones)?);
        }
        let coverage = if self.snapshot { ListCoverage::Complete } else { ListCoverage::Changes };
        Ok(EndpointUpdate { version: self.index, coverage, entries })
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
        // A zone that is not in the settings is treated as the first one.
        let zone = self.zone.and_then(|zone| zones.iter().position(|name| *name == zone)).unwrap_or(0);
        let started_at =
            self.since_ms.map(|millis| Timestamp::ZERO + TimeDelta::from_micros_f64(millis * 1000.0));
        Ok(EndpointRecord {
            name: self.name,
            address,
            zone: ZoneId(zone as u8),
            group: GroupId(self.group),
            availability,
            // Roles are taken only from responses of the endpoints.
            primary: false,
            weight: self.weight.filter(|weight| weight.is_finite()).unwrap_or(1.0),
            started_at: started_at.filter(|time| *time > Timestamp::ZERO && time.is_valid()),
        })
    }
}
