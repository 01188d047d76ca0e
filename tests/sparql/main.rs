//! The program with an operator's file: SPARQL over HTTP, against stand-in hosts that lag on purpose.

#[path = "../stand_in/mod.rs"]
mod stand_in;

mod administration;
mod answers;
mod configuration;
mod connections;
mod endpoint;
mod pooler;
mod reads;
