//! brookpass: a pooler that routes requests to replicated score hosts.
//!
//! `routing` is the decision module, without any I/O; `engine` owns one such module and knows
//! no wire; `net` holds the fronts and the host sides. `docs/architecture.md` tells how they fit.
//!
//! A driver feeds [`Router::handle`] with events and carries out the actions it gets back. One
//! mechanism decides the ordinary path (see `docs/design.md`): each group's believed primary, a ring
//! of its other members, holding of writes while there is no primary, and a weighted draw for reads
//! among the replicas known to be fresh enough.
//!
//! ```
//! use brookpass::routing::*;
//! use brookpass::Router;
//!
//! let write = Class {
//!     latency_objective: Some(TimeDelta::from_millis(500)),
//!     idempotency: Some(Idempotency::NonIdempotent),
//!     consistency: Some(Consistency::Write),
//!     ..Class::default()
//! };
//! let settings = Settings { classes: vec![write], ..Settings::default() };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! let endpoint = EndpointId { ip: [10, 0, 0, 1], port: 5432 };
//! let entry = EndpointEntry {
//!     endpoint,
//!     zone: ZoneId(0),
//!     group: GroupId(1),
//!     availability: Availability::Ready,
//!     primary: true,
//!     units: 1.0,
//!     started_at: None,
//! };
//! let start = Timestamp::ZERO;
//! router.handle(start, Event::EndpointList { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! actions.clear();
//!
//! let (id, client_timeout) = (RequestId(42), TimeDelta::from_secs(2));
//! let request = IncomingRequest { id, class: 0, group: GroupId(1), session: 9, client_timeout, ..IncomingRequest::default() };
//! router.handle(start + TimeDelta::from_millis(5), Event::Request(request), &mut actions);
//! let sent = |a: &Action| matches!(a, Action::Send { id: i, endpoint: m, .. } if (*i, *m) == (id, endpoint));
//! assert!(actions.iter().any(sent));
//! ```

pub mod address;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod endpoint_list_json;
pub mod engine;
pub mod fleet;
pub mod ids;
pub mod inventory;
pub mod line_error;
pub mod logger;
pub mod net;
pub mod platform_config;
pub mod primary_hint;
pub mod routing;
pub mod store;
pub mod time;

pub use routing::Router;
