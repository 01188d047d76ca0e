//! Network I/O. It accesses the engine only through [`crate::engine::EngineHandle`].
//!
//! - Clients: [`listener`] accepts connections within the limits of [`connection_limiter`], and a front ([`postgres`],
//!   or [`sparql`] over [`http`]) serves each [`connection`]. [`lifecycle`] holds the state that determines whether the
//!   fronts serve clients.
//! - Endpoints: [`backend_pool`] runs attempts with the protocol of the front.
//! - Operators: [`admin_server`].
//! - Platform: [`discovery`], [`gossip_socket`], [`inherited_socket`].
//! - All tasks that read from a peer take turns: [`turn`].

pub mod admin_server;
pub mod answer_stream;
pub mod backend_pool;
mod bind_retry;
pub mod buffer;
pub mod connection;
pub mod connection_limiter;
pub mod discovery;
mod excerpt;
pub mod gossip_socket;
pub mod http;
pub mod inherited_socket;
pub mod latch;
pub mod lifecycle;
pub mod listener;
pub mod postgres;
pub mod sparql;
pub mod turn;

use async_io::{Async, Timer};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

/// Runs `work` to completion; `None` if `deadline` passes first, in which case `work` is dropped.
pub async fn until<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

/// Whether a stream is open and has no input to read.
pub fn is_idle(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// The 64-bit FNV-1a hash of a session's name, by which the engine identifies the session
/// (<http://www.isthe.com/chongo/tech/comp/fnv/>).
pub fn session_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    hash
}
