//! The replicated store: the state that the nodes of a fleet agree on by Raft, and what each node keeps on its disk.
//!
//! Where to start: [`state_machine`] is the replicated state and the changes to it; [`raft_node`] is one node of the
//! consensus. Both are without I/O. [`storage`] keeps them in a file, and [`store_thread`] is the thread that owns a
//! node and its storage; the fleet exchanges commands and events with it. [`records`] and [`raft_message`] are the
//! types that are stored and sent, [`codec`] is their encoding. docs/fleet-design.md gives the reasons.

pub mod codec;
pub mod error;
pub mod legacy;
pub mod raft_message;
pub mod raft_node;
pub mod records;
pub mod state_machine;
pub mod storage;
pub mod store_thread;
pub mod zone_weights;
