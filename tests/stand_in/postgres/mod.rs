//! PostgreSQL's protocol 3: its messages, stand-in endpoints, and a client.

pub mod client;
pub mod endpoint;
pub mod manual_endpoint;
pub mod messages;
