//! HTTP/1.1 as far as discovery, the SPARQL front and the store need it: parsers of our own.

pub mod client;
pub mod codec;
pub mod form;
pub mod server;
