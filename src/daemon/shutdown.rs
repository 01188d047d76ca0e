//! The end of a daemon: SIGTERM starts a drain that is bounded in time.

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

/// Who serves the clients of a daemon that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// The other poolers of its tier: it accepts connections until its routing is updated, then ends.
    Tier,
    /// Nobody: it serves the clients that it has for as long as their deadlines allow.
    Nobody,
    /// A successor process that listens on the same socket: it accepts nothing more.
    Successor,
}

/// What a running daemon needs for its end.
pub struct RunningDaemon<W, A> {
    /// Bounds of the drain.
    pub limits: Rc<Limits>,
    /// The clients' connections.
    pub limiter: Rc<ConnectionLimiter>,
    /// State that the fronts and the administration server look at.
    pub lifecycle: Rc<Lifecycle>,
    /// The engine.
    pub engine: EngineHandle<W, A>,
    /// Who serves the clients afterwards.
    pub handover: Handover,
    /// Accepts the clients' connections.
    pub acceptor: Acceptor,
    /// Executes the engine's commands; ends only when the engine's thread does.
    pub command_task: Task<()>,
}

impl<W, A> RunningDaemon<W, A> {
    /// Serves until `terminate` delivers SIGTERM, then until all accepted requests are answered or the drain's time
    /// is over.
    ///
    /// # Errors
    /// [`DaemonError::EngineEnded`] if the engine's thread ends before.
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
                Handover::Nobody => limits.shutdown_times_without_peers(client_timeout),
                Handover::Tier | Handover::Successor => limits.shutdown_times(client_timeout),
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
        // New connections belong to the successor, which listens on the same socket.
        log::info!("SIGTERM: draining");
        acceptor.abandon().await;
    } else {
        // The load balancer in front assigns connections a little longer, and clients use the connections that they
        // have as long as these stay open: all requests that arrive in this period are accepted and answered.
        log::info!("SIGTERM: draining, serving for {accept_period:?} more");
        Timer::at(signalled_at + accept_period).await;
        acceptor.finish().await;
    }
}

/// Closes each connection behind its last answer. What is open shortly before `end` gets its final answer then.
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
        limiter.abort_incomplete();
        until(end, limiter.wait_until_empty()).await;
    }
}
