//! Guards against drains that are not kept.

use super::*;
use crate::store::{storage::DurableStorage, store_thread};
use std::sync::mpsc::sync_channel;

/// Guards against a drain that is never kept because the disk was slow in the moment it was said.
#[test]
fn what_a_full_queue_turned_away_is_handed_in_again() {
    let limits = Rc::new(Limits::for_sockets(64));
    let (disk, held) = DurableStorage::in_memory().unwrap();
    let opened = store_thread::start(disk, held, &limits).unwrap().opened;
    let (inputs, queue) = sync_channel(1);
    let me = Me {
        name: "b1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        named: Vec::new(),
        leaving: EvacuationPolicy::default(),
    };
    let fleet = Fleet::new(me, limits, Clock::start(), Rc::default(), opened, inputs);
    assert!(
        fleet.send_to_store(StoreCommand::StartParticipating)
            && !fleet.send_to_store(StoreCommand::StartParticipating)
    );
    fleet.change().marks.request_drain("s-1", NodeId(7), Timestamp::from_micros(1));
    fleet.persist_pending_drains();
    assert!(matches!(queue.try_recv(), Ok(StoreCommand::StartParticipating)));
    fleet.persist_pending_drains();
    assert!(matches!(queue.try_recv(), Ok(StoreCommand::PersistDrains { drains, .. }) if drains.len() == 1));
    fleet.persist_pending_drains();
    assert!(queue.try_recv().is_err(), "it is kept once");
}
