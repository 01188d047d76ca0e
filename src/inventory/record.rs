//! Validates an entry of an inventory and converts it to an endpoint record.

use super::{Entry, Field, InventoryError, InventoryProblem, Regions};
use crate::engine::endpoints::EndpointRecord;
use crate::routing::{Availability, GroupId, ZoneId};
use crate::time::Timestamp;
use std::net::SocketAddr;

const MAX_REGION_NAME_BYTES: usize = 64;
/// Weights are relative; a larger one is treated as a mistake.
const MAX_WEIGHT: f64 = 100.0;
const DEFAULT_WEIGHT: f64 = 1.0;

/// Validates an entry and converts it to an endpoint record. `zones` holds the zone names in the order of their
/// numbers.
///
/// # Errors
/// [`InventoryError`] with the line of the invalid value, or of the entry if a value is missing.
pub fn validate(entry: &Entry, zones: &[String]) -> Result<EndpointRecord, InventoryError> {
    // A name with a line end or a separator of the store's records could forge another record.
    if !is_valid_name(&entry.name) {
        return Err(entry.error(InventoryProblem::InvalidName(entry.name.clone())));
    }
    let address = address(entry)?;
    Ok(EndpointRecord {
        name: entry.name.clone(),
        address,
        group: group(entry)?,
        availability: availability(entry)?,
        zone: zone(entry, zones)?,
        weight: weight(entry)?,
        started_at: started_at(entry)?,
        // Roles are taken only from responses of the endpoints; an inventory is no evidence of a role.
        primary: false,
    })
}

/// Adds the region of the entry's zone to `regions`.
///
/// # Errors
/// [`InventoryError`] if the region's name is invalid, the entry has no zone, or the zone already has another region.
pub fn record_region(entry: &Entry, zone: ZoneId, regions: &mut Regions) -> Result<(), InventoryError> {
    let Some(region) = entry.fields.get("region") else { return Ok(()) };
    let endpoint = entry.name.clone();
    if !entry.fields.contains_key("zone") {
        let problem = InventoryProblem::RegionWithoutZone { endpoint, region: region.text.clone() };
        return Err(InventoryError::new(region.line, problem));
    }
    if region.text.len() > MAX_REGION_NAME_BYTES || !is_valid_name(&region.text) {
        return Err(entry.invalid("region", region));
    }
    let known = regions.entry(zone).or_insert_with(|| region.text.clone());
    if *known != region.text {
        let problem = InventoryProblem::ConflictingRegion {
            endpoint,
            known: known.clone(),
            region: region.text.clone(),
        };
        return Err(InventoryError::new(region.line, problem));
    }
    Ok(())
}

/// Whether a text is a valid name: not empty, and only letters, digits, `-`, `_` and `.`.
fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}

/// The address. If it has no port, the port comes from the field `port`; if there is no address, the name is used.
fn address(entry: &Entry) -> Result<SocketAddr, InventoryError> {
    let stated = entry.fields.get("address");
    let text = stated.map_or(entry.name.as_str(), |field| field.text.as_str());
    let line = stated.map_or(entry.line, |field| field.line);
    let parsed = match entry.fields.get("port") {
        Some(port) if !text.contains(':') => format!("{text}:{}", port.text).parse(),
        _ => text.parse(),
    };
    let endpoint = entry.name.clone();
    let Ok(address) = parsed else {
        let problem = InventoryProblem::InvalidAddress { endpoint, text: text.to_string() };
        return Err(InventoryError::new(line, problem));
    };
    let address: SocketAddr = address;
    if !address.ip().is_loopback() {
        return Err(InventoryError::new(line, InventoryProblem::NotLoopback { endpoint, address }));
    }
    Ok(address)
}

fn group(entry: &Entry) -> Result<GroupId, InventoryError> {
    let Some(field) = entry.fields.get("group") else {
        return Err(entry.error(InventoryProblem::MissingGroup(entry.name.clone())));
    };
    field.text.parse().map(GroupId).map_err(|_| entry.invalid("group", field))
}

fn availability(entry: &Entry) -> Result<Availability, InventoryError> {
    let Some(field) = entry.fields.get("status") else { return Ok(Availability::Ready) };
    match field.text.as_str() {
        "active" => Ok(Availability::Ready),
        "leaving" => Ok(Availability::Draining),
        _ => Err(entry.invalid("status", field)),
    }
}

fn zone(entry: &Entry, zones: &[String]) -> Result<ZoneId, InventoryError> {
    let Some(field) = entry.fields.get("zone") else { return Ok(ZoneId(0)) };
    let number = zones.iter().position(|name| *name == field.text);
    number.map(|number| ZoneId(number as u8)).ok_or_else(|| entry.invalid("zone", field))
}

fn weight(entry: &Entry) -> Result<f64, InventoryError> {
    let Some(field) = entry.fields.get("weight") else { return Ok(DEFAULT_WEIGHT) };
    let is_allowed = |weight: &f64| *weight > 0.0 && *weight <= MAX_WEIGHT;
    field.text.parse().ok().filter(is_allowed).ok_or_else(|| entry.invalid("weight", field))
}

/// When the endpoint was started: Unix time in milliseconds, 0 if unknown.
fn started_at(entry: &Entry) -> Result<Option<Timestamp>, InventoryError> {
    let Some(field) = entry.fields.get("since_ms").filter(|field| field.text != "0") else { return Ok(None) };
    let millis = field.text.parse::<i64>().ok().filter(|millis| *millis > 0);
    let started_at = millis.and_then(Timestamp::try_from_millis);
    started_at.map(Some).ok_or_else(|| entry.invalid("since_ms", field))
}

impl Entry {
    fn error(&self, problem: InventoryProblem) -> InventoryError {
        InventoryError::new(self.line, problem)
    }

    fn invalid(&self, name: &'static str, field: &Field) -> InventoryError {
        let problem = InventoryProblem::InvalidValue {
            endpoint: self.name.clone(),
            field: name,
            value: field.text.clone(),
        };
        InventoryError::new(field.line, problem)
    }
}
