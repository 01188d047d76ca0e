//! brookpass: a pooler that routes requests from clients to replicated backends.
//!
//! # Where to start reading
//!
//! `docs/architecture.md` describes the program as a whole, `docs/design.md` the routing decisions. In the code, follow
//! a request: a front accepts it ([`net`]), the engine ([`engine`]) passes it to the decision module ([`routing`]) and
//! executes the returned actions, and a pool of backend connections ([`net::backend_pool`]) carries out the attempts.
//! [`daemon`] shows how these parts are assembled.
//!
//! # Layers
//!
//! Each module uses only modules of the layers below its own:
//!
//! | layer | modules | contents |
//! | --- | --- | --- |
//! | program | `main.rs`, [`logger`] | the command line; log records on standard error |
//! | daemon | [`daemon`], [`platform_config`] | the two kinds of daemon and their configuration |
//! | fleet | [`fleet`] | daemons that agree on configuration: peers, recovery, zones, gossip |
//! | inventory | [`inventory`] | the operator's list of endpoints |
//! | store | [`store`] | the replicated log and its state on disk |
//! | net | [`net`], [`endpoint_list_json`] | all socket I/O; the format of discovery's endpoint lists |
//! | engine | [`engine`] | the thread that owns the decision module, and the table of open requests |
//! | routing | [`routing`] | the decision module, without any I/O |
//! | base | [`config`], [`clock`], [`primary_hint`], [`line_error`], [`address`], [`time`], [`ids`] | limits and values |
//!
//! # Using the decision module alone
//!
//! A driver passes events to [`Router::handle`] and carries out the actions that it returns. The normal path of a
//! request (see `docs/design.md`) depends on each group's believed primary, a ring of its other endpoints, a queue for
//! writes while there is no primary, and a weighted random choice for reads among the replicas known to be fresh
//! enough.
//!
//! ```
//! use brookpass::Router;
//! use brookpass::routing::*;
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
//!     capacity_units: 1.0,
//!     started_at: None,
//! };
//! let start = Timestamp::ZERO;
//! router.handle(start, Event::EndpointList { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! actions.clear();
//!
//! let request = IncomingRequest {
//!     id: RequestId(42),
//!     class: 0,
//!     group: GroupId(1),
//!     session: 9,
//!     client_timeout: TimeDelta::from_secs(2),
//!     ..IncomingRequest::default()
//! };
//! router.handle(start + TimeDelta::from_millis(5), Event::Request(request), &mut actions);
//! let is_sent_to_endpoint = |action: &Action| {
//!     matches!(action, Action::Send { id: RequestId(42), endpoint: chosen, .. } if *chosen == endpoint)
//! };
//! assert!(actions.iter().any(is_sent_to_endpoint));
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
