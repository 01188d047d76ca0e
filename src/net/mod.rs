//! Everything that speaks on sockets. It reaches the module only through [`crate::core::EngineHandle`].

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

/// Runs `work` until `at`; `None` when the time came first.
pub async fn until<T>(at: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::at(at).await;
        None
    })
    .await
}

/// Whether a stream has neither bytes to read nor an end.
pub fn is_silent(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// A number for a session's name.
pub fn session_hash(name: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
