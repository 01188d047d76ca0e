//! The decision module: where each request goes, when it is retried, queued or rejected, and what is learned of the
//! endpoints. It does no I/O and reads no clock: the runtime reports an [`Event`] with the time at which it happened
//! to [`Router::handle`], and carries out the [`Action`]s that come back. `docs/design.md` describes the mechanism.
//!
//! Where to start: `router` dispatches the events; `attempts` holds the life of a request; `writes` and `reads` choose
//! its endpoint. The other modules answer their questions: `endpoints` (the list), `learning` (roles, positions,
//! latencies), `capacity` and `slow_start` (how much an endpoint may be given), `admission` (the queue) and `timers`.
//! `request` and `group` hold state.

mod action;
mod admission;
mod attempts;
mod capacity;
mod decayed_rate;
mod endpoints;
mod event;
mod group;
mod learning;
mod reads;
mod request;
mod router;
mod settings;
pub mod settings_parser;
mod slow_start;
mod timers;
mod writes;

pub use action::*;
pub use endpoints::EndpointCounts;
pub use event::*;
pub use router::{RetainedState, Router};
pub use settings::*;

pub use crate::ids::{EndpointId, GroupId, RequestId, ZoneId};
pub use crate::time::{LogPosition, TimeDelta, Timestamp};
