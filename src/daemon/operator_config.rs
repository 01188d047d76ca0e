//! The operator's file: YAML, read and checked completely before anything starts.
//!
//! `reader` reads its sections, `settings` the service's settings in it, which the fleet agrees on and keeps as text.

mod error;
mod reader;
mod settings;

pub use error::{OperatorConfigError, OperatorConfigProblem, SettingsError};
pub use settings::{ParsedSettings, parse_settings, set_report_fields};

use super::ConfigError;
use crate::config::Limits;
use crate::fleet::zones::EvacuationPolicy;
use crate::inventory::{self, Inventory};
use crate::net::sparql::front::FrontConfig;
use crate::time::{TimeDelta, Timestamp};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

/// What an operator's file states.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The file itself.
    pub path: PathBuf,
    /// The daemon's name, unique in its fleet.
    pub name: String,
    /// The daemon's number among its peers, for the engine.
    pub number: u16,
    /// Where HTTP clients connect.
    pub listen: SocketAddr,
    /// Where the administration server listens, if there is one.
    pub admin: Option<SocketAddr>,
    /// Path at which backends answer operations.
    pub host_path: String,
    /// The SPARQL front.
    pub service: FrontConfig,
    /// The store.
    pub store: StoreConfig,
    /// The inventory, if this daemon reads one.
    pub inventory: Option<PathBuf>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// How zones are evacuated.
    pub leaving: EvacuationPolicy,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Settings of the service as `path=value` lines, to be proposed to the fleet; `None`: those that the fleet has.
    pub settings: Option<String>,
    /// When the file was last modified.
    pub modified_at: Timestamp,
}

/// The store as the file sets it up.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Where peers and operators' commands connect.
    pub listen: SocketAddr,
    /// The stores of other daemons.
    pub peers: Vec<SocketAddr>,
    /// The address at which peers reach this store, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file on the disk; `None`: a store that ends with the process.
    pub snapshot: Option<PathBuf>,
}

/// An inventory with the age of its file, by which the fleet tells the newer one of two.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryFile {
    /// Its content.
    pub inventory: Inventory,
    /// When the file was last modified.
    pub modified_at: Timestamp,
}

/// Reads an operator's file.
///
/// # Errors
/// [`ConfigError`] with the file, and the line where its content is at fault.
pub fn load(path: &Path) -> Result<OperatorConfig, ConfigError> {
    // The file itself states the number of descriptors: until it is read, the smallest limits do.
    let limits = Limits::for_sockets(0);
    let file = TextFile::read(path, limits.file_bytes)?;
    reader::parse(path, &file.text, file.modified_at, &limits)
        .map_err(|error| ConfigError::Operator { path: path.to_path_buf(), source: Box::new(error) })
}

/// Reads an inventory. `zones` are the names of the zones by number.
///
/// # Errors
/// [`ConfigError`] with the file, and the line where its content is at fault.
pub fn load_inventory(path: &Path, zones: &[String], limits: &Limits) -> Result<InventoryFile, ConfigError> {
    let file = TextFile::read(path, limits.file_bytes)?;
    let inventory = inventory::parse(path, &file.text, zones, limits)
        .map_err(|error| ConfigError::Inventory { path: path.to_path_buf(), source: Box::new(error) })?;
    Ok(InventoryFile { inventory, modified_at: file.modified_at })
}

struct TextFile {
    text: String,
    modified_at: Timestamp,
}

impl TextFile {
    fn read(path: &Path, max_bytes: u64) -> Result<TextFile, ConfigError> {
        let read_error = |source| ConfigError::Read { path: path.to_path_buf(), source };
        let metadata = std::fs::metadata(path).map_err(read_error)?;
        if metadata.len() > max_bytes {
            return Err(ConfigError::TooLong { path: path.to_path_buf() });
        }
        let modified_at = metadata.modified().map_err(read_error)?;
        let since_epoch = modified_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        let text = std::fs::read_to_string(path).map_err(read_error)?;
        Ok(TextFile { text, modified_at: Timestamp::ZERO + TimeDelta::from(since_epoch) })
    }
}

#[cfg(test)]
mod tests;
