//! Stand-ins for what the program meets: a discovery server, endpoints and clients, in threads on loopback
//! sockets.
//!
//! Start with [`platform::start_pooler`], which runs the program with a stand-in discovery server, or with
//! [`process::Process`], the program alone.
// Each test binary compiles this module for itself and uses only a part of it.
#![allow(dead_code)]

pub mod discovery;
pub mod http;
pub mod network;
pub mod platform;
pub mod postgres;
pub mod process;
pub mod waiting;
