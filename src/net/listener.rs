//! A front's listener: binds its address and takes connections within the limits.

use super::connection_limiter::{AcceptDecision, ConnectionLimiter, ConnectionSlot};
use crate::config::Limits;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Connections that may still be taken from the kernel's queue once the listener closes: as many as it holds.
const BACKLOG: usize = 128;

/// Opens a listener.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Opens a listener; waits for an address that another process still has, within a bound.
pub async fn bind_when_free(address: SocketAddr, limits: &Limits) -> io::Result<Async<TcpListener>> {
    let end = Instant::now() + limits.bind_timeout;
    let mut told = false;
    loop {
        match bind(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                if !std::mem::replace(&mut told, true) {
                    log::warn!("{address}: {e}; waiting for it, {:?} at the most", limits.bind_timeout);
                }
                Timer::after(limits.idle_check_interval).await;
            }
            opened => return opened,
        }
    }
}

/// Takes connections, each within its place, until there is a message on `stop`; those that the kernel has taken by
/// then are still served.
pub async fn accept(
    listener: &Async<TcpListener>,
    seats: &Rc<ConnectionLimiter>,
    stop: &Receiver<()>,
    mut serve: impl FnMut(Async<TcpStream>, ConnectionSlot, AcceptDecision),
) {
    let stopped = async {
        if stop.recv().await.is_err() {
            future::pending::<()>().await;
        }
        None
    };
    futures_lite::pin!(stopped);
    let mut last = BACKLOG;
    loop {
        // The kernel's queue is looked at before the wish to stop.
        let taken = async { Some(listener.accept().await) };
        match future::or(taken, &mut stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                let _ = stream.get_ref().set_nodelay(true);
                match seats.admit() {
                    Some((place, welcome)) => serve(stream, place, welcome),
                    None => log::warn!("too many connections, and too many that are told so"),
                }
                // Those that were just taken are read, and those that make room end, before the next is taken.
                future::yield_now().await;
            }
            Some(Err(e)) => {
                // Out of descriptors or a connection that ended before it was taken: not the end of the front.
                log::warn!("accept: {e}");
                Timer::after(seats.limits().accept_retry_delay).await;
            }
        }
        if !stop.is_empty() {
            last -= 1;
            if last == 0 {
                return;
            }
        }
    }
}
