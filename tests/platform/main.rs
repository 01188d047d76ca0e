//! The program with the platform's configuration, tested over sockets with stand-in clients, endpoints and
//! discovery servers.

#[path = "../stand_in/mod.rs"]
mod stand_in;

mod attempts;
mod clients;
mod responses;
mod signals;
