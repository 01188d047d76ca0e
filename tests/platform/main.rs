//! The program on the platform's protocol: started as the platform starts it, with clients, endpoints and
//! discovery on sockets.

#[path = "../stand_in/mod.rs"]
mod stand_in;

mod attempts;
mod clients;
mod responses;
mod signals;
