//! Errors that prevent a daemon from starting or make it exit.

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

/// A configuration source that cannot be used. The message starts with the path of the file and names the line if the
/// content is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is larger than [`crate::config::Limits::file_bytes`].
    #[error("{}: the file is too large", path.display())]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
    },
    /// The content of an operator's file is invalid.
    #[error("{}: {source}", path.display())]
    Operator {
        /// Path of the file.
        path: PathBuf,
        /// The problem and its line.
        source: Box<OperatorConfigError>,
    },
    /// The content of an inventory is invalid.
    #[error("{}: {source}", path.display())]
    Inventory {
        /// Path of the file.
        path: PathBuf,
        /// The problem and its line.
        source: Box<InventoryError>,
    },
    /// The content of the platform's configuration is invalid.
    #[error("{}: {source}", path.display())]
    Platform {
        /// Path of the file.
        path: PathBuf,
        /// The problem and its line.
        source: Box<PlatformConfigError>,
    },
    /// An environment variable does not hold a valid address.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// An error that prevents a daemon from starting or makes it exit.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings that the fleet has agreed on do not parse.
    #[error(transparent)]
    AgreedSettings(#[from] SettingsError),
    /// The operator's file names a class that the agreed settings do not define.
    #[error("{}: the settings name no service {class:?}", path.display())]
    UnknownClass {
        /// Path of the operator's file.
        path: PathBuf,
        /// Name of the missing class.
        class: String,
    },
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signals(#[source] io::Error),
    /// An address for clients or peers cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The admin server's address cannot be bound.
    #[error("cannot listen on the admin address {address}: {source}")]
    ListenAdmin {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The inherited listening socket cannot be used.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The inherited listening socket cannot be registered with the event loop.
    #[error("GW_PASSED_SOCKET: {0}")]
    InheritedSocketIo(#[source] io::Error),
    /// The store cannot be opened or started; the message names the file.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The engine thread cannot be started.
    #[error("cannot start the engine thread: {0}")]
    EngineStart(#[source] io::Error),
    /// The engine thread ended while the daemon was running.
    #[error("the engine thread has ended")]
    EngineEnded,
}
