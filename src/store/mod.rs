//! The replicated store: what the daemons of a fleet agree on, and what each keeps on its disk.
//!
//! `agreed` is the state and `replica` this daemon's part in the agreement, both without I/O; `disk` keeps them,
//! `owner` is the thread that has both; `form` is how all of it is written. docs/fleet-design.md tells why.

pub mod codec;
pub mod legacy;
pub mod raft_message;
pub mod raft_node;
pub mod records;
pub mod state_machine;
pub mod storage;
pub mod store_thread;
pub mod zone_weights;
