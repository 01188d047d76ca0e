//! Binds the listener of a front or of the admin server, and accepts connections within the limits.

use super::bind_retry::bind_with_retry;
use super::connection_limiter::{AcceptDecision, ConnectionLimiter, ConnectionSlot};
use crate::config::Limits;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of connections that are accepted after the request to stop. The standard library listens with a
/// backlog of this length, so that the kernel's queue holds no more.
const LISTEN_BACKLOG: usize = 128;

/// Binds a listener.
///
/// # Errors
/// The I/O error of the bind, `AddrInUse` if another process uses the address.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Binds a listener. If another process uses the address, retries for up to `Limits::bind_timeout`.
///
/// # Errors
/// The I/O error of the bind, `AddrInUse` if the address does not become free in time.
pub async fn bind_when_free(address: SocketAddr, limits: &Limits) -> io::Result<Async<TcpListener>> {
    let deadline = Instant::now() + limits.bind_timeout;
    let mut has_warned = false;
    let is_retryable = |error: &io::Error| {
        let retry = error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline;
        if retry && !has_warned {
            has_warned = true;
            log::warn!("{address}: {error}; waiting for it, {:?} at most", limits.bind_timeout);
        }
        retry
    };
    bind_with_retry(limits.idle_check_interval, || bind(address), is_retryable).await
}

/// Accepts connections and passes each to `serve` with its slot, until a message arrives on `stop`. Connections that
/// are in the kernel's queue by then are still accepted.
pub async fn accept(
    listener: &Async<TcpListener>,
    limiter: &Rc<ConnectionLimiter>,
    stop: &Receiver<()>,
    mut serve: impl FnMut(Async<TcpStream>, ConnectionSlot, AcceptDecision),
) {
    let stopped = async {
        if stop.recv().await.is_err() {
            // The sender is gone, so there will be no request to stop.
            future::pending::<()>().await;
        }
        None
    };
    futures_lite::pin!(stopped);
    let mut remaining_after_stop = LISTEN_BACKLOG;
    loop {
        // `or` prefers its first argument: queued connections are accepted before a request to stop takes effect.
        let accepted = async { Some(listener.accept().await) };
        match future::or(accepted, &mut stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                let _ = stream.get_ref().set_nodelay(true);
                match limiter.admit() {
                    Some(slot) => {
                        let decision = slot.decision();
                        serve(stream, slot, decision);
                    }
                    None => {
                        log::warn!("accept: connection dropped: too many connections, rejected ones included")
                    }
                }
                // Lets new connections be read and evicted ones close before the next is accepted.
                future::yield_now().await;
            }
            Some(Err(error)) => {
                // The process is out of descriptors, or the client closed the connection before it was accepted.
                log::warn!("accept: {error}");
                Timer::after(limiter.limits().accept_retry_delay).await;
            }
        }
        if !stop.is_empty() {
            remaining_after_stop -= 1;
            if remaining_after_stop == 0 {
                return;
            }
        }
    }
}
