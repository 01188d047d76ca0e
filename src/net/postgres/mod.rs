//! PostgreSQL's protocol, version 3: the thin front of the platform and its host side. Simple queries only.

pub mod codec;
pub mod front;
pub mod host;
pub mod reply;
pub mod session;
pub mod statement;
