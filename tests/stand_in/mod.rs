//! Stand-ins for the programs that a pooler communicates with: a discovery server, endpoints and clients. They
//! run in threads of the test and use loopback sockets.
//!
//! Most tests use [`platform::start_pooler`], which runs the program with a stand-in discovery server;
//! [`process::Process`] runs the program alone.
// Each test binary compiles this module for itself and uses only a part of it.
#![allow(dead_code)]

pub mod discovery;
pub mod failing_discovery;
pub mod flood;
pub mod http;
pub mod network;
pub mod platform;
pub mod postgres;
pub mod process;
pub mod site;
pub mod waiting;
