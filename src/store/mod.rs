//! The replicated store: the state that the nodes of a fleet replicate with Raft, and the data that each node keeps on
//! disk.
//!
//! Start with [`state_machine`], the replicated state and the changes to it, and [`raft_node`], one Raft node. Neither
//! does any I/O. [`storage`] persists both in a file. [`store_thread`] runs the thread that owns a node and its
//! storage; the fleet sends it commands and receives its events. [`records`] and [`raft_message`] define the types
//! that are stored and sent, and [`codec`] encodes them. docs/fleet-design.md explains the design.

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
