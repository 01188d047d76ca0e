//! The program with an operator's file: SPARQL over HTTP, against stand-in endpoints whose data lags on
//! purpose.

#[path = "../stand_in/mod.rs"]
mod stand_in;

// Stand-ins and the program.
mod endpoint;
mod pooler;

// Tests, a property each.
mod administration;
mod configuration;
mod connections;
mod reads;
mod responses;
