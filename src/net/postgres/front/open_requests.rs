//! Ids of open requests, which must be unique.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ids of open requests. A host knows a request by its id: a second request with the same id would be taken for
/// another attempt of the first, and get its answer.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<RefCell<BTreeSet<String>>>);

/// Reserves an id while its request is open.
pub(super) struct ReservedId {
    ids: OpenRequestIds,
    id: String,
}

impl OpenRequestIds {
    /// Reserves an id; `None` where another open request has it.
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
