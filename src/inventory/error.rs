//! The errors of inventories.

use super::yaml::YamlProblem;
use crate::line_error::LineError;
use std::net::SocketAddr;
use thiserror::Error;

/// A problem in an inventory, with its line number.
pub type InventoryError = LineError<InventoryProblem>;

/// What is wrong with an inventory. A single problem rejects the whole file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InventoryProblem {
    /// The file's extension belongs to no known format.
    #[error("an inventory is a .csv, .yaml or .yml file")]
    UnknownFormat,
    /// The file contains no endpoint.
    #[error("the inventory contains no host")]
    NoEndpoints,
    /// The YAML does not parse or does not have the structure of an inventory.
    #[error(transparent)]
    Yaml(#[from] YamlProblem),

    /// A CSV row has too few or too many values.
    #[error("{values} values under {columns} columns")]
    RowLength {
        /// Number of values in the row.
        values: u64,
        /// Number of columns in the header.
        columns: u64,
    },
    /// A CSV file is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// A CSV file does not parse.
    #[error("not CSV")]
    NotCsv,
    /// Two columns have the same name.
    #[error("column {0:?} stands twice")]
    DuplicateColumn(String),
    /// A required column is missing.
    #[error("the header row has no column {0:?}")]
    MissingColumn(&'static str),
    /// A row has no endpoint name.
    #[error("the host has no name")]
    MissingName,

    /// A variable has this program's prefix but an unknown name.
    #[error("unknown variable {0:?}")]
    UnknownVariable(String),
    /// A YAML group has a key that does not exist in Ansible's format.
    #[error("group {group:?}: unknown key {key:?}; the keys are hosts, children and vars")]
    UnknownGroupKey {
        /// The name of the group.
        group: String,
        /// The unknown key.
        key: String,
    },
    /// A host name contains one of Ansible's ranges, which this program does not expand.
    #[error("host {0:?}: ranges are not supported; list each host")]
    HostRange(String),
    /// Groups set different values for the same endpoint.
    #[error("host {endpoint:?}: {field} is set to both {first:?} and {second:?}")]
    ConflictingValues {
        /// Name of the endpoint.
        endpoint: String,
        /// The field that they set.
        field: String,
        /// The first value in the file.
        first: String,
        /// The conflicting value.
        second: String,
    },

    /// Two rows have the same endpoint name.
    #[error("host {0:?} stands twice")]
    DuplicateEndpoint(String),
    /// A name is empty or contains characters that are not allowed.
    #[error("host {0:?}: a name may only contain letters, digits, '-', '_' and '.'")]
    InvalidName(String),
    /// An address does not parse.
    #[error("host {endpoint:?}: {text:?} is no address with a port")]
    InvalidAddress {
        /// Name of the endpoint.
        endpoint: String,
        /// The text that does not parse.
        text: String,
    },
    /// An address is not a loopback address. Traffic is not encrypted, so it must not leave this machine.
    #[error("host {endpoint:?}: {address} is not a loopback address")]
    NotLoopback {
        /// Name of the endpoint.
        endpoint: String,
        /// The address of the endpoint.
        address: SocketAddr,
    },
    /// An endpoint has no group.
    #[error("host {0:?} has no group")]
    MissingGroup(String),
    /// A value does not parse or is out of range.
    #[error("host {endpoint:?}: {field} {value:?} is no such value")]
    InvalidValue {
        /// Name of the endpoint.
        endpoint: String,
        /// The field with this value.
        field: &'static str,
        /// The invalid value.
        value: String,
    },
    /// An endpoint has a region but no zone.
    #[error("host {endpoint:?}: region {region:?} without a zone")]
    RegionWithoutZone {
        /// Name of the endpoint.
        endpoint: String,
        /// The region of the endpoint.
        region: String,
    },
    /// Endpoints in the same zone have different regions.
    #[error("host {endpoint:?}: its zone is in region {known:?}, not {region:?}")]
    ConflictingRegion {
        /// Name of the endpoint.
        endpoint: String,
        /// The zone's region according to an earlier endpoint.
        known: String,
        /// The region of this endpoint.
        region: String,
    },
}

impl From<LineError<YamlProblem>> for InventoryError {
    fn from(error: LineError<YamlProblem>) -> InventoryError {
        error.convert_problem()
    }
}
