//! The decision module: decides where each request is sent and when it is retried, queued or rejected, and tracks the
//! state of the endpoints. It does no I/O and reads no clock: its caller, the engine or the simulator adapter, passes
//! each [`Event`], with the time at which it happened, to [`Router::handle`] and carries out the returned [`Action`]s.
//! `docs/design.md` describes the design.
//!
//! Where to start: `router` dispatches the events, `attempts` implements the life cycle of a request, and `writes` and
//! `reads` choose its endpoint. They use `endpoints` (the endpoint list), `group_moves` (endpoints that change their
//! group), `learning` (roles, positions and latencies), `sessions` (the commits that a session's reads must reflect),
//! `capacity` and `slow_start` (how many attempts an endpoint may get), `admission` (the queue of a group) and `timers`.
//! `request` and `group` hold state.

mod action;
mod admission;
mod attempts;
mod capacity;
mod decayed_rate;
mod endpoints;
mod event;
mod group;
mod group_moves;
mod learning;
mod reads;
mod request;
mod router;
mod sessions;
mod settings;
pub mod settings_parser;
mod slow_start;
mod timers;
mod unconfirmed_list;
mod writes;

pub use action::*;
pub use endpoints::EndpointCounts;
pub use event::*;
pub use router::{Router, TableSizes};
pub use settings::*;

pub use crate::ids::{EndpointId, GroupId, RequestId, ZoneId};
pub use crate::time::{LogPosition, TimeDelta, Timestamp};
