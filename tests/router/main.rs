//! The decisions of the router, one behaviour a test, named for what would be seen if it broke.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod capacity;
mod endpoint_list;
mod peer_hints;
mod reads;
mod retries;
mod slow_start;
mod writes;
