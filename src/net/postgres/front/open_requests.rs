//! Ensures that the ids of open requests are unique.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ids of open requests, shared by all connections. Endpoints identify a request by its id: they would treat a
/// second request with the same id as another attempt of the first one, and send that one's answer.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<RefCell<BTreeSet<String>>>);

/// The reservation of an id, released when dropped.
pub(super) struct ReservedId {
    ids: OpenRequestIds,
    id: String,
}

impl OpenRequestIds {
    /// Reserves an id; returns `None` if another open request has it.
    pub(super) fn reserve(&self, id: &str) -> Option<ReservedId> {
        let is_new = self.0.borrow_mut().insert(id.to_string());
        is_new.then(|| ReservedId { ids: self.clone(), id: id.to_string() })
    }
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
