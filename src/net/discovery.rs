//! Watches discovery by long polling and delivers every endpoint list at once.
//!
//! The first call fetches the whole list, each further one asks for the changes since its index and is held until there
//! are some. `call` is one call, `backoff` chooses the pauses after failures.

mod backoff;
mod call;
mod error;

use super::http::client::ServerConnection;
use super::until;
use crate::config::Limits;
use crate::engine::endpoints::EndpointUpdate;
use async_channel::Receiver;
use backoff::Backoff;
use call::DiscoveryCall;
use error::DiscoveryError;
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Watches discovery; never returns. `deliver` receives each list.
///
/// A message on `refetch` asks for the whole list, at the address that `address` then holds. It ends a call or a pause
/// that is under way: the old address may not answer any more. `seed` chooses the jitter.
pub async fn watch<F: Future<Output = ()>>(
    address: &Cell<SocketAddr>,
    zones: &[String],
    limits: &Limits,
    seed: u64,
    refetch: &Receiver<()>,
    deliver: impl Fn(EndpointUpdate) -> F,
) {
    let backoff = Backoff::new(limits, seed);
    let mut watcher =
        Watcher { address, zones, limits, refetch, connection: None, held_index: None, backoff };
    loop {
        let began = Instant::now();
        match watcher.call().await {
            CallOutcome::List(list) => {
                let is_new = watcher.record_index(&list);
                if list.whole || !list.entries.is_empty() {
                    deliver(list).await;
                }
                if !is_new {
                    watcher.pause_after_short_watch(began).await;
                }
            }
            CallOutcome::Failed(error) => watcher.back_off(&error).await,
            CallOutcome::RefetchRequested => watcher.reset(),
        }
    }
}

/// What came of a call.
enum CallOutcome {
    List(EndpointUpdate),
    Failed(DiscoveryError),
    /// The call was abandoned for a call of the whole list.
    RefetchRequested,
}

struct Watcher<'a> {
    address: &'a Cell<SocketAddr>,
    zones: &'a [String],
    limits: &'a Limits,
    refetch: &'a Receiver<()>,
    /// The connection of the last call, if it may be used again.
    connection: Option<ServerConnection>,
    /// The index of the last list; `None`: the whole list is to be fetched.
    held_index: Option<u64>,
    backoff: Backoff<'a>,
}

impl Watcher<'_> {
    async fn call(&mut self) -> CallOutcome {
        let call = DiscoveryCall {
            address: self.address.get(),
            held_index: self.held_index,
            times: self.backoff.call_times(self.held_index.is_some()),
            zones: self.zones,
            limits: self.limits,
        };
        let answer = async {
            match call.run(&mut self.connection).await {
                Ok(list) => CallOutcome::List(list),
                Err(error) => CallOutcome::Failed(error),
            }
        };
        let refetch = async {
            refetch_requested(self.refetch).await;
            CallOutcome::RefetchRequested
        };
        future::or(answer, refetch).await
    }

    /// Takes over the index of a list; true if it is another one than before.
    fn record_index(&mut self, list: &EndpointUpdate) -> bool {
        self.backoff.reset();
        let is_new = self.held_index != Some(list.index);
        self.held_index = Some(list.index);
        is_new
    }

    /// Pauses after a watch that ended early without changes: a discovery that does not hold watches must not be called
    /// without a pause.
    async fn pause_after_short_watch(&mut self, began: Instant) {
        let (shortest_pause, _) = self.limits.discovery_backoff;
        if began.elapsed() < shortest_pause && self.pause(shortest_pause).await == PauseEnd::RefetchRequested
        {
            self.held_index = None;
        }
    }

    /// Pauses after a failed call. The list that was delivered last stays in use.
    async fn back_off(&mut self, error: &DiscoveryError) {
        log::warn!("discovery: {error}; the last list stays");
        self.connection = None;
        if matches!(error, DiscoveryError::IndexWentBack { .. }) {
            self.held_index = None;
        }
        let pause = self.backoff.record_failure(error);
        if self.pause(pause).await == PauseEnd::RefetchRequested {
            self.held_index = None;
            self.backoff.reset();
        }
    }

    /// Starts over at an address that may be another one. The connection of an abandoned call cannot be used again, and
    /// what failed at another address says nothing of this one.
    fn reset(&mut self) {
        self.connection = None;
        self.held_index = None;
        self.backoff.reset();
    }

    async fn pause(&self, pause: Duration) -> PauseEnd {
        match until(Instant::now() + pause, refetch_requested(self.refetch)).await {
            Some(()) => PauseEnd::RefetchRequested,
            None => PauseEnd::TimeOver,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PauseEnd {
    TimeOver,
    RefetchRequested,
}

/// Waits for a message; for ever, where nobody can send one any more.
async fn refetch_requested(refetch: &Receiver<()>) {
    if refetch.recv().await.is_err() {
        future::pending::<()>().await;
    }
}
