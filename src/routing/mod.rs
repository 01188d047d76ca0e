//! What the decision module is told and what it can ask for: settings, events, actions.
//!
//! Nothing here decides. Times are readings of the driver's own clock; a setting that the
//! operator does not state is `None`, and the module settles what that means.

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
