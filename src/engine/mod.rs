//! The engine: the thread that owns the router, and everything between the router and the rest of the process.
//!
//! The engine is independent of the client and endpoint protocols. A client connection submits a request with its work
//! `W`, which is opaque to the engine, through an [`EngineHandle`] and receives one [`FinalAnswer`], which may carry an
//! answer `A`. The router decides where attempts are sent. The engine turns the router's actions into [`Command`]s for
//! the backend pool and reports the outcome of each attempt back to the router.
//!
//! Where to start: `message.rs` defines the inputs and outputs, `thread.rs` the event loop, and `request_engine.rs` the
//! state that the loop drives. [`admission`] rejects requests while service recovers. [`observations`],
//! [`outcome_window`] and [`poll_scheduler`] hold what the poolers of a fleet share about endpoints.

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
    AttemptReport, Command, Control, DeadlineStatus, FinalAnswer, Freshness, Input, PeerObservation,
    PollParticipants, Submission,
};

use crate::clock::Clock;
use crate::config::Limits;
use crate::routing::Settings;
use async_channel::Receiver;
use classes::Classes;
use metrics::Metrics;
use request_engine::RequestEngine;
use std::sync::Arc;

/// A handle to a started engine, and the receiver of its commands.
pub type StartedEngine<W, A> = (EngineHandle<W, A>, Receiver<Command<W>>);

/// Starts the engine's thread. `seed` initializes the router's random number generator.
///
/// # Errors
///
/// Returns an error if the operating system cannot start a thread.
pub fn start<W, A>(
    settings: Settings,
    classes: &Classes,
    seed: u64,
    limits: &Limits,
    clock: Clock,
) -> std::io::Result<StartedEngine<W, A>>
where
    W: Clone + Send + 'static,
    A: Send + 'static,
{
    let (input_sender, inputs) = async_channel::bounded(limits.input_queue);
    let (control_sender, control) = async_channel::bounded(limits.input_queue);
    // Unbounded, so that the engine never blocks on it. Its length is limited, since each open request has at most one
    // attempt in flight.
    let (commands, command_receiver) = async_channel::unbounded();
    let metrics = Arc::new(Metrics::new(classes));
    let engine = RequestEngine::new(settings, seed, limits, metrics.clone());
    let channels = thread::Channels { inputs, control, commands };
    let thread_clock = clock.clone();
    let builder = std::thread::Builder::new().name("module".into());
    builder.spawn(move || thread::run(engine, &thread_clock, &channels))?;
    Ok((EngineHandle::new(input_sender, control_sender, metrics, clock), command_receiver))
}
