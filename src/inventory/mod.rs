//! The endpoints as an operator writes them down: CSV with a header row (`csv_format`), or YAML in Ansible's inventory
//! form (`ansible_format`).
//!
//! Both forms yield the same raw `Entry` for each endpoint, from which `record` makes a checked record. Every error
//! names the line of the value at fault, and rejects the whole file.

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

/// Regions by the numbers of their zones: zones of one region fail together.
pub type Regions = BTreeMap<ZoneId, String>;

/// What an inventory states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The endpoints, in the order of the file.
    pub hosts: Vec<EndpointRecord>,
    /// The regions of those zones that have one.
    pub regions: Regions,
}

/// A value as the file states it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    text: String,
    line: usize,
}

/// What the file states of one endpoint, by the names in [`FIELD_NAMES`].
type Fields = BTreeMap<String, Field>;

/// Everything that a file may state of an endpoint; other columns and variables are the configuration tool's own.
const FIELD_NAMES: [&str; 8] = ["address", "group", "zone", "region", "weight", "status", "port", "since_ms"];

/// One endpoint of the file, not checked yet.
struct Entry {
    name: String,
    line: usize,
    fields: Fields,
}

/// Reads an inventory; the extension of `path` tells its form. `zones` are the names of the zones by number.
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
        let endpoint = record::check(&entry, zones)?;
        record::record_region(&entry, endpoint.zone, &mut inventory.regions)?;
        inventory.hosts.push(endpoint);
    }
    Ok(inventory)
}

#[cfg(test)]
mod tests;
