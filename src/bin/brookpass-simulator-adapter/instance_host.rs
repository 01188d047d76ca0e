//! The router instances, one for each pooler in the simulation.

use crate::error::FrameError;
use crate::records::Record;
use crate::reply::Reply;
use brookpass::routing::{Action, EndpointEntry, Event, ListKind, Router, Settings, Timestamp};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Holds the router instances and applies batches of records to them.
#[derive(Default)]
pub struct InstanceHost {
    routers: BTreeMap<u32, Router>,
    /// The last endpoint list defined in each slot.
    endpoint_lists: BTreeMap<u8, Vec<EndpointEntry>>,
    /// The actions of the current event, kept to reuse the allocation.
    actions: Vec<Action>,
}

impl InstanceHost {
    /// Applies a batch at the simulator's time `now`.
    pub fn run_batch(&mut self, now: Timestamp, records: Vec<Record>) -> Result<Reply, FrameError> {
        let mut reply = Reply::default();
        for record in records {
            match record {
                Record::Start { instance, seed, settings } => {
                    self.start(instance, seed, *settings, &mut reply);
                }
                Record::Stop { instance } => {
                    self.routers.remove(&instance).ok_or(FrameError::UnknownInstance(instance))?;
                }
                Record::DefineList { slot, entries } => {
                    self.endpoint_lists.insert(slot, entries);
                }
                Record::ListUpdate { instance, kind, slot } => {
                    let entries = self.list_for(kind, slot)?;
                    self.handle(now, instance, Event::EndpointList { kind, entries }, &mut reply)?;
                }
                Record::Event { instance, event } => self.handle(now, instance, event, &mut reply)?,
            }
        }
        Ok(reply)
    }

    fn start(&mut self, instance: u32, seed: u64, settings: Settings, reply: &mut Reply) {
        match catch_unwind(|| Router::new(settings, seed)) {
            Ok(router) => {
                self.routers.insert(instance, router);
            }
            Err(_) => reply.push_instance_failure(instance, "the module panicked at its start"),
        }
    }

    /// The endpoint list in `slot`; empty for a failed update, which has no list.
    fn list_for(&self, kind: ListKind, slot: u8) -> Result<Vec<EndpointEntry>, FrameError> {
        if kind == ListKind::Failed {
            return Ok(Vec::new());
        }
        self.endpoint_lists.get(&slot).cloned().ok_or(FrameError::UnknownEndpointList(slot))
    }

    /// Passes an event to an instance. A panic is reported as a failure of this instance only, and the simulator
    /// decides what to do.
    fn handle(
        &mut self,
        now: Timestamp,
        instance: u32,
        event: Event,
        reply: &mut Reply,
    ) -> Result<(), FrameError> {
        let router = self.routers.get_mut(&instance).ok_or(FrameError::UnknownInstance(instance))?;
        let actions = &mut self.actions;
        actions.clear();
        match catch_unwind(AssertUnwindSafe(|| router.handle(now, event, actions))) {
            Ok(()) => {
                for action in &self.actions {
                    reply.push_action(instance, action);
                }
            }
            Err(panic) => reply.push_instance_failure(instance, panic_text(panic.as_ref())),
        }
        Ok(())
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text;
    }
    panic.downcast_ref::<&str>().copied().unwrap_or("the module panicked")
}
