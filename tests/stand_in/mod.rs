//! Stand-ins for what the daemon meets: discovery, hosts and clients, in threads on loopback sockets.
#![allow(dead_code, unused_imports)]

pub mod daemon;
pub mod discovery;
pub mod http;
pub mod network;
pub mod platform;
pub mod postgres;
pub mod waiting;

pub use daemon::*;
pub use discovery::*;
pub use http::*;
pub use network::*;
pub use postgres::*;
pub use waiting::*;
