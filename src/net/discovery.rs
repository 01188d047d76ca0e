//! Watches discovery by long polling and delivers each update of the endpoint list as soon as it arrives.
//!
//! The first call fetches the whole list. Each later call requests the changes since the index of the last list, and
//! discovery holds it until there are changes. `call` makes a single call; `backoff` chooses timeouts and the pauses
//! after failures.

mod backoff;
mod call;
mod error;
mod status;

use super::http::client::ServerConnection;
use super::until;
use crate::config::Limits;
use crate::engine::endpoints::{EndpointUpdate, ListCoverage};
use async_channel::Receiver;
use backoff::Backoff;
use call::DiscoveryCall;
use error::DiscoveryError;
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub use status::DiscoveryStatus;

/// What the watch of discovery needs.
pub struct DiscoveryClient<'a> {
    /// The address of discovery, which may change.
    pub address: &'a Cell<SocketAddr>,
    /// The names of the zones by number.
    pub zones: &'a [String],
    /// Timeouts, pauses and sizes.
    pub limits: &'a Limits,
    /// Initializes the random numbers for jitter.
    pub seed: u64,
    /// A message requests the whole list, from the address that `address` then holds. It interrupts a call or a pause,
    /// because discovery at the old address may no longer respond.
    pub refetch: &'a Receiver<()>,
    /// Where the condition of discovery is recorded.
    pub status: &'a DiscoveryStatus,
}

/// Watches discovery; never returns. `deliver` receives each whole list and each update that contains changes.
pub async fn watch<F: Future<Output = ()>>(
    client: DiscoveryClient<'_>,
    deliver: impl Fn(EndpointUpdate) -> F,
) {
    let DiscoveryClient { address, zones, limits, seed, refetch, status } = client;
    let backoff = Backoff::new(limits, seed);
    let mut watcher =
        Watcher { address, zones, limits, refetch, connection: None, known_index: None, backoff, status };
    loop {
        let started_at = Instant::now();
        match watcher.call().await {
            CallOutcome::List(list) => {
                let is_new = watcher.record_index(&list);
                if list.coverage == ListCoverage::Complete || !list.entries.is_empty() {
                    deliver(list).await;
                }
                if !is_new {
                    watcher.pause_after_short_watch(started_at).await;
                }
            }
            CallOutcome::Failed(error) => watcher.back_off(&error).await,
            CallOutcome::RefetchRequested => watcher.reset(),
        }
    }
}

/// Result of a call.
enum CallOutcome {
    List(EndpointUpdate),
    Failed(DiscoveryError),
    /// The call was interrupted because the whole list was requested.
    RefetchRequested,
}

struct Watcher<'a> {
    address: &'a Cell<SocketAddr>,
    zones: &'a [String],
    limits: &'a Limits,
    refetch: &'a Receiver<()>,
    /// The connection of the last call, if it can be reused.
    connection: Option<ServerConnection>,
    /// The index of the last list; `None` if the next call must fetch the whole list.
    known_index: Option<u64>,
    backoff: Backoff<'a>,
    status: &'a DiscoveryStatus,
}

impl Watcher<'_> {
    async fn call(&mut self) -> CallOutcome {
        let call = DiscoveryCall {
            address: self.address.get(),
            known_index: self.known_index,
            times: self.backoff.call_times(self.known_index.is_some()),
            zones: self.zones,
            limits: self.limits,
        };
        let response = async {
            match call.run(&mut self.connection).await {
                Ok(list) => CallOutcome::List(list),
                Err(error) => CallOutcome::Failed(error),
            }
        };
        let refetch = async {
            refetch_requested(self.refetch).await;
            CallOutcome::RefetchRequested
        };
        future::or(response, refetch).await
    }

    /// Records the index of a received list, and returns whether it differs from the previous one.
    fn record_index(&mut self, list: &EndpointUpdate) -> bool {
        self.backoff.reset();
        self.status.record_current(Instant::now(), list.version);
        let is_new = self.known_index != Some(list.version);
        self.known_index = Some(list.version);
        is_new
    }

    /// Pauses if a call returned early without changes, so that a discovery that does not hold calls is not polled in a
    /// tight loop.
    async fn pause_after_short_watch(&mut self, started_at: Instant) {
        let shortest_pause = self.limits.discovery_backoff.min;
        if started_at.elapsed() < shortest_pause
            && self.pause(shortest_pause).await == PauseEnd::RefetchRequested
        {
            self.known_index = None;
        }
    }

    /// Pauses after a failed call. The last delivered list stays in use.
    async fn back_off(&mut self, error: &DiscoveryError) {
        self.status.record_failure(Instant::now(), error);
        self.connection = None;
        if matches!(error, DiscoveryError::IndexWentBack { .. }) {
            self.known_index = None;
        }
        let pause = self.backoff.record_failure(error);
        if self.pause(pause).await == PauseEnd::RefetchRequested {
            self.known_index = None;
            self.backoff.reset();
        }
    }

    /// Forgets the connection, the index and the failures, because the address may have changed. The connection of an
    /// interrupted call cannot be reused, and failures at another address do not matter at this one.
    fn reset(&mut self) {
        self.connection = None;
        self.known_index = None;
        self.backoff.reset();
    }

    /// Pauses, unless the whole list is requested before.
    async fn pause(&self, pause: Duration) -> PauseEnd {
        match until(Instant::now() + pause, refetch_requested(self.refetch)).await {
            Some(()) => PauseEnd::RefetchRequested,
            None => PauseEnd::Elapsed,
        }
    }
}

/// Why a pause ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PauseEnd {
    Elapsed,
    RefetchRequested,
}

/// Waits for a message that requests the whole list. Never returns if all senders were dropped.
async fn refetch_requested(refetch: &Receiver<()>) {
    if refetch.recv().await.is_err() {
        future::pending::<()>().await;
    }
}
