//! A front's listener: binds its address and accepts connections within the limits.

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

/// Most connections that are accepted after the request to stop: as many as the kernel's queue holds, because the
/// standard library listens with a backlog of this length.
const LISTEN_BACKLOG: usize = 128;

/// Binds a listener.
///
/// # Errors
/// The error of the system, `AddrInUse` where another process has the address.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Binds a listener; waits up to `Limits::bind_timeout` for an address that another process still has.
///
/// # Errors
/// The error of the system, `AddrInUse` where another process has the address for longer.
pub async fn bind_when_free(address: SocketAddr, limits: &Limits) -> io::Result<Async<TcpListener>> {
    let deadline = Instant::now() + limits.bind_timeout;
    let mut has_warned = false;
    let is_retryable = |error: &io::Error| {
        let waits = error.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline;
        if waits && !has_warned {
            has_warned = true;
            log::warn!("{address}: {error}; waiting for it, {:?} at the most", limits.bind_timeout);
        }
        waits
    };
    bind_with_retry(limits.idle_check_interval, || bind(address), is_retryable).await
}

/// Accepts connections and hands each to `serve` with its slot, until there is a message on `stop`; connections that
/// are in the kernel's queue by then are still accepted.
pub async fn accept(
    listener: &Async<TcpListener>,
    limiter: &Rc<ConnectionLimiter>,
    stop: &Receiver<()>,
    mut serve: impl FnMut(Async<TcpStream>, ConnectionSlot, AcceptDecision),
) {
    let stopped = async {
        if stop.recv().await.is_err() {
            // Nobody can ask to stop any more.
            future::pending::<()>().await;
        }
        None
    };
    futures_lite::pin!(stopped);
    let mut left_after_stop = LISTEN_BACKLOG;
    loop {
        // The kernel's queue is looked at before the request to stop.
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
                        log::warn!("accept: too many connections, rejected ones included: one was dropped")
                    }
                }
                // Connections that were just accepted are read, and evicted ones close, before the next is accepted.
                future::yield_now().await;
            }
            Some(Err(error)) => {
                // Out of descriptors, or the connection was closed before it was accepted: the front goes on.
                log::warn!("accept: {error}");
                Timer::after(limiter.limits().accept_retry_delay).await;
            }
        }
        if !stop.is_empty() {
            left_after_stop -= 1;
            if left_after_stop == 0 {
                return;
            }
        }
    }
}
