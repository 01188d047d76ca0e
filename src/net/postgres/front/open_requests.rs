//! Ensures that the id of a request is not used again while the request may still run.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of retained ids; beyond it the oldest is released early. Bounds the memory if many clients disconnect.
const MAX_RETAINED_IDS: usize = 20_000;

/// The ids of open requests and of those whose client has disconnected lately, shared by all connections. Endpoints
/// identify a request by its id: they would treat a second request with the same id as another attempt of the first
/// one, and send that one's answer.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<RefCell<ReservedIds>>);

#[derive(Default)]
struct ReservedIds {
    reserved: BTreeSet<String>,
    /// Those of the reserved ids whose client has disconnected, in the order in which they were retained.
    retained: VecDeque<RetainedId>,
}

struct RetainedId {
    id: String,
    until: Instant,
}

/// The reservation of an id, released when dropped.
pub(super) struct ReservedId {
    ids: OpenRequestIds,
    id: String,
}

impl OpenRequestIds {
    /// Reserves an id; returns `None` if it is reserved already.
    pub(super) fn reserve(&self, id: &str) -> Option<ReservedId> {
        let mut ids = self.0.borrow_mut();
        ids.release_expired(Instant::now());
        let is_new = ids.reserved.insert(id.to_string());
        is_new.then(|| ReservedId { ids: self.clone(), id: id.to_string() })
    }
}

impl ReservedIds {
    /// Releases the ids whose retention has ended, in the order in which they were retained.
    fn release_expired(&mut self, now: Instant) {
        while self.retained.front().is_some_and(|oldest| oldest.until <= now) {
            self.release_oldest();
        }
    }

    fn release_oldest(&mut self) {
        if let Some(oldest) = self.retained.pop_front() {
            self.reserved.remove(&oldest.id);
        }
    }
}

impl ReservedId {
    /// The id as the client sent it.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Keeps the id reserved until `until`: its client has disconnected, but an attempt may still run.
    pub(super) fn retain(mut self, until: Instant) {
        let mut ids = self.ids.0.borrow_mut();
        ids.retained.push_back(RetainedId { id: std::mem::take(&mut self.id), until });
        if ids.retained.len() > MAX_RETAINED_IDS {
            ids.release_oldest();
        }
    }
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        // Empty after `retain`; the id of a request never is.
        if !self.id.is_empty() {
            self.ids.0.borrow_mut().reserved.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
