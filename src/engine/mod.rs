//! The core: the thread that owns the decision module, and the queue by which fronts reach it.
//!
//! Nothing here knows a wire. A front hands in a request with its work `W` as an opaque value and gets one
//! [`FinalAnswer`] with an answer `A`; a host side carries out [`Command`]s and reports how each attempt ended.

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
pub mod request_engine;
mod thread;

pub use handle::EngineHandle;
pub use message::*;

use crate::clock::Clock;
use crate::config::Limits;
use crate::routing::Settings;
use async_channel::Receiver;
use classes::Classes;
use metrics::Metrics;
use request_engine::RequestEngine;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

/// The way to the core, and the commands that come out of it.
pub type Started<W, A> = (EngineHandle<W, A>, Receiver<Command<W>>);

/// Starts the thread that owns the module.
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
    let (inputs, queue) = async_channel::bounded(limits.input_queue);
    let (control, urgent) = async_channel::bounded(limits.input_queue);
    // Never full to block on: each open request has one attempt out at the most.
    let (commands, out) = async_channel::unbounded();
    let metrics = Arc::new(Metrics::new(classes));
    let owner = RequestEngine::new(settings, seed, limits, metrics.clone());
    let own_clock = clock.clone();
    let builder = std::thread::Builder::new().name("module".into());
    builder.spawn(move || thread::run(owner, &own_clock, &urgent, &queue, &commands))?;
    let (next, client_timeout) = (Arc::new(AtomicU64::new(1)), Arc::default());
    Ok((EngineHandle { inputs, control, next, client_timeout, metrics, clock }, out))
}
