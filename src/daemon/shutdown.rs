//! Graceful shutdown: SIGTERM starts a drain of bounded duration.

use super::DaemonError;
use super::listeners::Acceptor;
use super::signals::SignalStream;
use crate::config::Limits;
use crate::engine::{Control, EngineHandle};
use crate::net::connection_limiter::ConnectionLimiter;
use crate::net::lifecycle::Lifecycle;
use crate::net::until;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Who serves the clients of a daemon that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// The other poolers of the tier. This one accepts connections until the load balancer no longer sends any.
    Peers,
    /// No other pooler. This one serves its clients for as long as their deadlines allow.
    NoPeers,
    /// A successor process that listens on the same socket. This one stops accepting at once.
    Successor,
}

/// The components of a running daemon that take part in its shutdown.
pub struct RunningDaemon<W, A> {
    /// Contains the time limits of the drain.
    pub limits: Rc<Limits>,
    /// Tracks the open client connections.
    pub limiter: Rc<ConnectionLimiter>,
    /// Serving state that the fronts and the admin server read.
    pub lifecycle: Rc<Lifecycle>,
    /// Engine that answers the open requests.
    pub engine: EngineHandle<W, A>,
    /// Who serves the clients after the shutdown.
    pub handover: Handover,
    /// Accepts client connections until the drain stops it.
    pub acceptor: Acceptor,
    /// Executes the engine's commands; completes only if the engine thread ends.
    pub command_task: Task<()>,
}

impl<W, A> RunningDaemon<W, A> {
    /// Serves until `terminate` delivers SIGTERM, then drains: returns once all accepted requests are answered, or when
    /// the time limit of the drain expires.
    ///
    /// # Errors
    /// [`DaemonError::EngineEnded`] if the engine thread ends first.
    pub async fn run(self, mut terminate: SignalStream) -> Result<(), DaemonError> {
        let RunningDaemon { limits, limiter, lifecycle, engine, handover, acceptor, command_task } = self;
        let engine_ended = async {
            command_task.await;
            Err(DaemonError::EngineEnded)
        };
        let drained = async {
            terminate.received().await;
            let signalled_at = Instant::now();
            lifecycle.terminate();
            let client_timeout = engine.longest_client_timeout();
            let drain = match handover {
                Handover::NoPeers => limits.shutdown_times_without_peers(client_timeout),
                Handover::Peers | Handover::Successor => limits.shutdown_times(client_timeout),
            };
            stop_accepting(handover, acceptor, signalled_at, drain.accept_period).await;
            let end = signalled_at + drain.total;
            close_connections(&limits, &limiter, &engine, end).await;
            log::info!("drained, {} connections left", limiter.open_connections());
            Ok(())
        };
        future::or(engine_ended, drained).await
    }
}

async fn stop_accepting(
    handover: Handover,
    acceptor: Acceptor,
    signalled_at: Instant,
    accept_period: Duration,
) {
    if handover == Handover::Successor {
        // The successor, which listens on the same socket, accepts new connections.
        log::info!("SIGTERM: draining");
        acceptor.stop_now().await;
    } else {
        // The load balancer takes some time to stop assigning connections, and clients use their connections for as
        // long as these stay open: all requests that arrive in this period are accepted and answered.
        log::info!("SIGTERM: draining, serving for {accept_period:?} more");
        Timer::at(signalled_at + accept_period).await;
        acceptor.stop_after_backlog().await;
    }
}

/// Closes each connection after its last answer. Requests that are still open `Limits::final_answer_margin` before
/// `end` get their final answer then.
async fn close_connections<W, A>(
    limits: &Limits,
    limiter: &ConnectionLimiter,
    engine: &EngineHandle<W, A>,
    end: Instant,
) {
    limiter.close_after_request();
    let final_answers_at = end - limits.final_answer_margin;
    if until(final_answers_at, limiter.wait_until_empty()).await.is_none() {
        engine.send_control(Control::FinishAll).await;
        limiter.evict_incomplete();
        until(end, limiter.wait_until_empty()).await;
    }
}
