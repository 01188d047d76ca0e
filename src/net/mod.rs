//! Everything that speaks on sockets. It reaches the module only through [`crate::core::Handle`].

pub mod buffer;
pub mod discovery;
pub mod hosts;
pub mod http;
pub mod listen;
pub mod peers;
pub mod pg;

use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::Instant;

/// Runs `work` until `at`; `None` when the time came first.
pub async fn until<T>(at: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::at(at).await;
        None
    })
    .await
}
