//! The listener of the SPARQL front. It accepts clients before requests can be served, and rejects them with a retry
//! delay until then.

use crate::clock::Clock;
use crate::config::Limits;
use crate::daemon::Executor;
use crate::daemon::listeners::Acceptor;
use crate::daemon::operator_config::OperatorConfig;
use crate::net::connection_limiter::{ConnectionLimiter, ConnectionSlot};
use crate::net::lifecycle::Lifecycle;
use crate::net::sparql::front::{self, Front};
use crate::time::TimeDelta;
use async_io::Async;
use std::cell::RefCell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// The front, or `None` until requests can be served.
type FrontSlot = Rc<RefCell<Option<Rc<Front>>>>;

/// The front's listener and its connections.
pub struct ClientFront {
    /// Tracks the open client connections.
    pub limiter: Rc<ConnectionLimiter>,
    /// Accepts client connections.
    pub acceptor: Acceptor,
    front: FrontSlot,
}

impl ClientFront {
    /// Starts accepting clients. Until [`ClientFront::begin_serving`] is called, each connection is rejected with a
    /// retry delay.
    pub fn start(
        config: &OperatorConfig,
        listener: Async<TcpListener>,
        limits: &Limits,
        lifecycle: &Rc<Lifecycle>,
        clock: &Clock,
        executor: &Executor,
    ) -> ClientFront {
        let address = listener.get_ref().local_addr().unwrap_or(config.listen);
        log::info!("{}: SPARQL at http://{address}{}", config.name, config.service.path);
        let limits = Rc::new(limits.clone());
        let limiter = ConnectionLimiter::new(limits.clone(), lifecycle.clone());
        let front = FrontSlot::default();
        let current_front = front.clone();
        let clock = clock.clone();
        let acceptor = Acceptor::start(executor, listener, &limiter, move |stream, slot, decision| {
            let front = current_front.borrow().clone();
            let limits = limits.clone();
            let clock = clock.clone();
            async move {
                match front {
                    Some(front) => front.serve(stream, slot, decision).await,
                    None => reject(stream, slot, limits, clock).await,
                }
            }
        });
        ClientFront { limiter, acceptor, front }
    }

    /// Lets `front` serve all connections that are accepted from now on.
    pub fn begin_serving(&self, front: Front) {
        *self.front.borrow_mut() = Some(Rc::new(front));
    }
}

/// Rejects a client with a random retry delay of one to two times `Limits::front_retry_after`: clients that retry at
/// the same time would overload a daemon that has just started.
async fn reject(stream: Async<TcpStream>, slot: ConnectionSlot, limits: Rc<Limits>, clock: Clock) {
    let min_micros = TimeDelta::from(limits.front_retry_after).as_micros();
    let retry_after = || TimeDelta::from_micros(fastrand::i64(min_micros..2 * min_micros));
    front::serve_while_starting(stream, slot, limits, clock, retry_after).await;
}
