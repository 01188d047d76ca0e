//! The operator's file: YAML that is read and validated completely before the daemon starts.
//!
//! `reader` reads the sections of the file. `settings` handles its `settings` section, which the fleet agrees on and
//! stores as text.

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

/// The content of an operator's file, with defaults for missing keys.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Path of the file, as given on the command line.
    pub path: PathBuf,
    /// Name of the daemon, unique in its fleet.
    pub name: String,
    /// Number of the daemon among its peers, which the engine uses; 0 by default.
    pub number: u16,
    /// Address at which the SPARQL front accepts clients.
    pub listen: SocketAddr,
    /// Address of the admin server; `None` disables it.
    pub admin: Option<SocketAddr>,
    /// URL path at which endpoints serve SPARQL operations (key `host_path`).
    pub endpoint_path: String,
    /// URL path, classes and default group of the SPARQL front.
    pub service: FrontConfig,
    /// Addresses and file of the store.
    pub store: StoreConfig,
    /// Path of the inventory; `None` if this daemon proposes no inventory to the fleet.
    pub inventory_path: Option<PathBuf>,
    /// Names of the zones, indexed by zone number.
    pub zones: Vec<String>,
    /// When and for how long zones are evacuated (key `leaving`).
    pub evacuation_policy: EvacuationPolicy,
    /// Maximum number of file descriptors that the process uses.
    pub sockets: usize,
    /// Service settings as `path=value` lines, to be proposed to the fleet; `None` if this daemon proposes none and
    /// uses those of the fleet.
    pub settings: Option<String>,
    /// When the file was last modified.
    pub modified_at: Timestamp,
}

/// The `store` section of an operator's file.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Address at which the store accepts peers and operators' commands.
    pub listen: SocketAddr,
    /// Addresses of the stores of other daemons.
    pub peers: Vec<SocketAddr>,
    /// Address at which peers reach this store, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Path of the store's file (key `snapshot`); `None` keeps the store in memory.
    pub file: Option<PathBuf>,
}

/// An inventory with the modification time of its file: the fleet prefers the newer of two inventories.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryFile {
    /// The parsed content of the file.
    pub inventory: Inventory,
    /// When the file was last modified.
    pub modified_at: Timestamp,
}

/// Reads an operator's file.
///
/// # Errors
/// [`ConfigError`] with the path of the file, and the line if its content is invalid.
pub fn load(path: &Path) -> Result<OperatorConfig, ConfigError> {
    // The number of descriptors is only known once the file is read; the smallest limits suffice for reading it.
    let limits = Limits::for_sockets(0);
    let file = TextFile::read(path, limits.file_bytes)?;
    reader::parse(path, &file.text, file.modified_at, &limits)
        .map_err(|error| ConfigError::Operator { path: path.to_path_buf(), source: Box::new(error) })
}

/// Reads an inventory. `zones` are the names of the zones, indexed by zone number.
///
/// # Errors
/// [`ConfigError`] with the path of the file, and the line if its content is invalid.
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
            return Err(ConfigError::TooLarge { path: path.to_path_buf() });
        }
        let modified_at = metadata.modified().map_err(read_error)?;
        let since_epoch = modified_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        let text = std::fs::read_to_string(path).map_err(read_error)?;
        Ok(TextFile { text, modified_at: Timestamp::ZERO + TimeDelta::from(since_epoch) })
    }
}

#[cfg(test)]
mod tests;
