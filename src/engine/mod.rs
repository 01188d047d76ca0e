//! The engine: the thread that owns the router, and everything between the router and the rest of the process.
//!
//! The engine knows no protocol. A client connection submits a request with its work `W`, an opaque value, by an
//! [`EngineHandle`] and receives one [`FinalAnswer`] with an answer `A`. The router decides where attempts are sent;
//! the engine turns its actions into [`Command`]s, which the backend pool carries out, and reports how each attempt
//! ended.
//!
//! Where to start: `message.rs` is what goes in and comes out, `thread.rs` the event loop, `request_engine.rs` the state
//! behind it; [`admission`] rejects requests while service recovers; [`observations`],
//! [`outcome_window`] and [`poll_scheduler`] are what a fleet of poolers shares about endpoints.

pub mod admission;
pub mod classes;
pub mod endpoints;
mod handle;
pub mod load_report;
pub mod log_rollback;
mod message;
pub mod metrics;
pub mod observations;
pub mod outcome_window;
pub mod poll_scheduler;
mod request_engine;
mod thread;

pub use handle::EngineHandle;
pub use message::{
    AttemptReport, Command, Control, FinalAnswer, Freshness, Input, PeerObservation, PollParticipants,
    Submission,
};

use crate::clock::Clock;
use crate::config::Limits;
use crate::routing::Settings;
use async_channel::Receiver;
use classes::Classes;
use metrics::Metrics;
use request_engine::RequestEngine;
use std::sync::Arc;

/// A handle to a started engine, and the commands that come out of it.
pub type Started<W, A> = (EngineHandle<W, A>, Receiver<Command<W>>);

/// Starts the engine's thread. `seed` is that of the router's random choices.
///
/// # Errors
///
/// The operating system could not start a thread.
pub fn start<W, A>(
    settings: Settings,
    classes: &Classes,
    seed: u64,
    limits: &Limits,
    clock: Clock,
) -> std::io::Result<Started<W, A>>
where
    W: Clone + Send + 'static,
    A: Send + 'static,
{
    let (input_sender, inputs) = async_channel::bounded(limits.input_queue);
    let (control_sender, control) = async_channel::bounded(limits.input_queue);
    // Unbounded, so that the engine never blocks: each open request has at most one attempt in flight.
    let (commands, command_receiver) = async_channel::unbounded();
    let metrics = Arc::new(Metrics::new(classes));
    let engine = RequestEngine::new(settings, seed, limits, metrics.clone());
    let channels = thread::Channels { inputs, control, commands };
    let thread_clock = clock.clone();
    let builder = std::thread::Builder::new().name("module".into());
    builder.spawn(move || thread::run(engine, &thread_clock, &channels))?;
    Ok((EngineHandle::new(input_sender, control_sender, metrics, clock), command_receiver))
}
