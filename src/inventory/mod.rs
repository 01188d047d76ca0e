//! The operator's list of endpoints: CSV with a header row (`csv_format`), or YAML in Ansible's inventory format
//! (`ansible_format`).
//!
//! Both formats yield an unchecked `Entry` for each endpoint, which `record` validates and converts to an endpoint
//! record. Every error names the line of the invalid value and rejects the whole file.

mod ansible_format;
mod csv_format;
mod error;
mod record;
pub mod yaml;

pub use error::{InventoryError, InventoryProblem};

use crate::config::Limits;
use crate::engine::endpoints::EndpointRecord;
use crate::routing::ZoneId;
use std::collections::BTreeMap;
use std::path::Path;

/// The region of each zone that has one. Zones of the same region can fail together.
pub type Regions = BTreeMap<ZoneId, String>;

/// The content of an inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The endpoints, in the order of the file.
    pub hosts: Vec<EndpointRecord>,
    /// The regions of the zones that have one.
    pub regions: Regions,
}

/// A value as written in the file, with its line.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    text: String,
    line: usize,
}

/// The values of one endpoint by field name. Only names in [`FIELD_NAMES`] are used.
type Fields = BTreeMap<String, Field>;

/// The fields of an endpoint. Other columns and variables belong to configuration tools and are ignored.
const FIELD_NAMES: [&str; 8] = ["address", "group", "zone", "region", "weight", "status", "port", "since_ms"];

/// An endpoint as written in the file, not validated yet.
struct Entry {
    name: String,
    line: usize,
    fields: Fields,
}

/// Parses an inventory in the format that the extension of `path` indicates. `zones` holds the zone names in the order
/// of their numbers.
///
/// # Errors
/// [`InventoryError`] with the line of the first problem.
pub fn parse(
    path: &Path,
    text: &str,
    zones: &[String],
    limits: &Limits,
) -> Result<Inventory, InventoryError> {
    let extension = path.extension().and_then(|extension| extension.to_str()).unwrap_or("");
    let entries = match extension.to_ascii_lowercase().as_str() {
        "csv" => csv_format::parse(text)?,
        "yaml" | "yml" => ansible_format::parse(text, limits)?,
        _ => return Err(InventoryError::new(1, InventoryProblem::UnknownFormat)),
    };
    if entries.is_empty() {
        return Err(InventoryError::new(1, InventoryProblem::NoEndpoints));
    }
    let mut inventory = Inventory::default();
    for entry in entries {
        let endpoint = record::validate(&entry, zones)?;
        record::record_region(&entry, endpoint.zone, &mut inventory.regions)?;
        inventory.hosts.push(endpoint);
    }
    Ok(inventory)
}

#[cfg(test)]
mod tests;
