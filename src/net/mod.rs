//! Everything on sockets. It reaches the engine only through [`crate::engine::EngineHandle`].
//!
//! - For clients: [`listener`] accepts connections within [`connection_limiter`], a front ([`postgres`], [`sparql`] over
//!   [`http`]) serves each [`connection`]; [`lifecycle`] says whether clients are to be served.
//! - For backends: [`backend_pool`] runs attempts with the protocol of the front.
//! - For operators: [`admin_server`].
//! - For the platform: [`discovery`], [`gossip_socket`], [`inherited_socket`].

pub mod admin_server;
pub mod answer_stream;
pub mod backend_pool;
mod bind_retry;
pub mod buffer;
pub mod connection;
pub mod connection_limiter;
pub mod discovery;
pub mod gossip_socket;
pub mod http;
pub mod inherited_socket;
pub mod latch;
pub mod lifecycle;
pub mod listener;
pub mod postgres;
pub mod sparql;

use async_io::{Async, Timer};
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

/// Runs `work` until `deadline`; `None` where the deadline came first.
pub async fn until<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

/// Whether a stream is open and nothing is there to be read from it.
pub fn is_silent(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// The 64-bit FNV-1a hash of a session's name, which stands for the session in the engine
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
