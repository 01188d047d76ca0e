//! What can be wrong with an inventory.

use super::yaml::YamlProblem;
use crate::line_error::LineError;
use std::net::SocketAddr;
use thiserror::Error;

/// A problem in an inventory, with its line.
pub type InventoryError = LineError<InventoryProblem>;

/// What is wrong with an inventory. One problem rejects the whole file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InventoryProblem {
    /// The file's extension names no known form.
    #[error("an inventory is a .csv, .yaml or .yml file")]
    UnknownFormat,
    /// There is no endpoint in it.
    #[error("the inventory names no host")]
    NoEndpoints,
    /// YAML that does not parse or has another structure.
    #[error(transparent)]
    Yaml(#[from] YamlProblem),

    /// A row of a CSV file with too few or too many values.
    #[error("{values} values under {columns} columns")]
    RowLength {
        /// Values in the row.
        values: u64,
        /// Columns of the header.
        columns: u64,
    },
    /// A CSV file in another encoding.
    #[error("not UTF-8")]
    NotUtf8,
    /// A CSV file that does not parse.
    #[error("not CSV")]
    NotCsv,
    /// Two columns of the same name.
    #[error("column {0:?} stands twice")]
    DuplicateColumn(String),
    /// A column that must be there.
    #[error("the header row has no column {0:?}")]
    MissingColumn(&'static str),
    /// A row without a name.
    #[error("a host without a name")]
    MissingName,

    /// A variable with this program's prefix that it does not know.
    #[error("unknown variable {0:?}")]
    UnknownVariable(String),
    /// A key of a YAML group that Ansible does not have.
    #[error("group {group:?} has hosts, children and vars, not {key:?}")]
    UnknownGroupKey {
        /// The group.
        group: String,
        /// The key.
        key: String,
    },
    /// One of Ansible's ranges of names, which this program does not expand.
    #[error("host {0:?}: ranges are not read; name each host")]
    HostRange(String),
    /// Groups that state different values for the same endpoint.
    #[error("host {endpoint:?}: {field} is {first:?} and {second:?}")]
    ConflictingValues {
        /// The endpoint.
        endpoint: String,
        /// What they state.
        field: String,
        /// The value that was read first.
        first: String,
        /// The other one.
        second: String,
    },

    /// An endpoint that stands in two rows.
    #[error("host {0:?} stands twice")]
    DuplicateEndpoint(String),
    /// A name with other characters than allowed.
    #[error("host {0:?}: a name has letters, digits, '-', '_' and '.' only")]
    InvalidName(String),
    /// A text that is no address.
    #[error("host {endpoint:?}: {text:?} is no address with a port")]
    InvalidAddress {
        /// The endpoint.
        endpoint: String,
        /// The text.
        text: String,
    },
    /// An address of another machine; nothing is encrypted, so that traffic must not leave this one.
    #[error("host {endpoint:?}: {address} is not on this machine's loopback")]
    NotLoopback {
        /// The endpoint.
        endpoint: String,
        /// The address.
        address: SocketAddr,
    },
    /// An endpoint without a group.
    #[error("host {0:?} has no group")]
    MissingGroup(String),
    /// A value that does not parse or is out of its range.
    #[error("host {endpoint:?}: {field} {value:?} is no such value")]
    InvalidValue {
        /// The endpoint.
        endpoint: String,
        /// What it states.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// A region is stated where no zone is.
    #[error("host {endpoint:?}: region {region:?} without a zone")]
    RegionWithoutZone {
        /// The endpoint.
        endpoint: String,
        /// The region.
        region: String,
    },
    /// Endpoints of one zone that state different regions.
    #[error("host {endpoint:?}: its zone is in region {known:?}, not {region:?}")]
    ConflictingRegion {
        /// The endpoint.
        endpoint: String,
        /// The zone's region, as an earlier endpoint states it.
        known: String,
        /// The region that this one states.
        region: String,
    },
}

impl From<LineError<YamlProblem>> for InventoryError {
    fn from(error: LineError<YamlProblem>) -> InventoryError {
        error.convert_problem()
    }
}
