//! Refusals while the endpoint list is unconfirmed.
//!
//! While the source of the list does not respond, a drain may be missing from the list. An endpoint that drains rejects
//! new work in the same way as one that is overloaded. A rejection then ejects the endpoint for longer than the typical
//! latency of the class, if others of its group can take its reads. A served attempt ends the ejection as usual.

use super::router::Router;
use super::{Availability, EndpointId, TimeDelta, Timestamp};

/// Ejection time of an endpoint that rejects work while the list is unconfirmed, before it doubles with each rejection.
/// A wrong guess takes an overloaded endpoint out of use for this long at first.
const UNCONFIRMED_REJECTION_EJECTION: TimeDelta = TimeDelta::from_secs(1);

impl Router {
    /// Ejects an endpoint that rejected work and may drain. `usual` is the ejection time of one that is overloaded.
    pub(super) fn eject_while_unconfirmed(&mut self, now: Timestamp, id: EndpointId, usual: TimeDelta) {
        let is_replaceable = self.is_replaceable(now, id);
        let base = if is_replaceable { usual.max(UNCONFIRMED_REJECTION_EJECTION) } else { usual };
        self.eject(now, id, base);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.rejected_while_unconfirmed = is_replaceable;
        }
    }

    /// Whether the endpoint's requests can go to another one: it is not the believed primary, which alone takes writes,
    /// and another endpoint of its group is in service.
    fn is_replaceable(&self, now: Timestamp, id: EndpointId) -> bool {
        let Some(group) = self.endpoints.get(&id).and_then(|endpoint| self.groups.get(&endpoint.group))
        else {
            return false;
        };
        let is_in_service = |other: &EndpointId| {
            let endpoint = &self.endpoints[other];
            endpoint.availability == Availability::Ready && !endpoint.suspected && !endpoint.is_ejected(now)
        };
        let mut others =
            group.endpoints.iter().filter(|other| **other != id && group.primary != Some(**other));
        group.primary != Some(id) && others.any(is_in_service)
    }

    /// Records that the source of the list does not respond.
    pub(super) fn list_became_unconfirmed(&mut self) {
        self.list_unconfirmed = true;
    }

    /// Records that the list is current, so that a rejection is no sign of a drain that is missing from it.
    pub(super) fn list_confirmed(&mut self) {
        if !std::mem::take(&mut self.list_unconfirmed) {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            if std::mem::take(&mut endpoint.rejected_while_unconfirmed) && !endpoint.unreachable {
                endpoint.ejected_until = None;
                self.groups_to_dispatch.insert(endpoint.group);
            }
        }
    }
}
