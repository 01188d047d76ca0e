//! Why a daemon could not start or had to end.

use super::operator_config::{OperatorConfigError, SettingsError};
use crate::address::AddressError;
use crate::inventory::InventoryError;
use crate::net::inherited_socket::InheritedSocketError;
use crate::platform_config::PlatformConfigError;
use crate::store::error::StoreError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A file of the operator or the platform that cannot be used. Printed with the file's path and, where the content
/// is at fault, the line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is longer than [`crate::config::Limits::file_bytes`].
    #[error("{}: the file is too long", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// The content of an operator's file.
    #[error("{}: {source}", path.display())]
    Operator {
        /// The file.
        path: PathBuf,
        /// Line and problem.
        source: Box<OperatorConfigError>,
    },
    /// The content of an inventory.
    #[error("{}: {source}", path.display())]
    Inventory {
        /// The file.
        path: PathBuf,
        /// Line and problem.
        source: Box<InventoryError>,
    },
    /// The content of the platform's configuration.
    #[error("{}: {source}", path.display())]
    Platform {
        /// The file.
        path: PathBuf,
        /// Line and problem.
        source: Box<PlatformConfigError>,
    },
    /// An environment variable that should hold an address.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// Why a daemon could not start or had to end.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A configuration file.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings that the fleet has agreed on.
    #[error(transparent)]
    AgreedSettings(#[from] SettingsError),
    /// The operator's file names a class that the agreed settings lack.
    #[error("{}: the settings name no service {class:?}", path.display())]
    UnknownClass {
        /// The operator's file.
        path: PathBuf,
        /// The class.
        class: String,
    },
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// An address for clients or peers cannot be bound.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The administration server's address cannot be bound.
    #[error("the operators' address {address}: {source}")]
    ListenAdmin {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The listening socket that the platform passes on cannot be used.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The listening socket that the platform passes on cannot be waited for.
    #[error("GW_PASSED_SOCKET: {0}")]
    InheritedSocketIo(#[source] io::Error),
    /// The store cannot be opened or started; the text names the file.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The engine's thread cannot be started.
    #[error("module: {0}")]
    EngineStart(#[source] io::Error),
    /// The engine's thread has ended while the daemon ran.
    #[error("the module's thread has ended")]
    EngineEnded,
}
