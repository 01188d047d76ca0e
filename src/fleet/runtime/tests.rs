//! Writing of pending drains to disk when the store's queue is full.

use super::*;
use crate::store::{storage::DurableStorage, store_thread};
use std::sync::mpsc::sync_channel;

/// Guards against a drain that is never written to disk because the store's queue was full when it was requested.
#[test]
fn drains_that_a_full_store_queue_rejected_are_submitted_again() {
    let limits = Rc::new(Limits::for_sockets(64));
    let storage = DurableStorage::in_memory().unwrap();
    let opened = store_thread::start(storage, &limits).unwrap().opened;
    let (commands, queue) = sync_channel(1);
    let local = LocalNode {
        name: "b1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        configured_peers: Vec::new(),
        evacuation_policy: EvacuationPolicy::default(),
    };
    let fleet = Fleet::new(local, limits, Clock::start(), Rc::default(), opened, commands);
    let is_queued = || fleet.send_to_store(StoreCommand::StartParticipating);
    assert!(is_queued() && !is_queued());
    fleet.drains.borrow_mut().pending_mut().request_drain("s-1", NodeId(7), Timestamp::from_micros(1), 10);
    fleet.persist_pending_drains();
    assert!(matches!(queue.try_recv(), Ok(StoreCommand::StartParticipating)));
    fleet.persist_pending_drains();
    assert!(matches!(queue.try_recv(), Ok(StoreCommand::PersistDrains { drains, .. }) if drains.len() == 1));
    fleet.persist_pending_drains();
    assert!(queue.try_recv().is_err(), "a version is submitted only once");
}
