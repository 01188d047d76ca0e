//! Watches discovery by long polling and delivers each update of the endpoint list as soon as it arrives.
//!
//! The first call fetches the whole list. Each later call requests the changes since the index of the last list, and
//! discovery holds it until there are changes. `call` makes a single call; `pace` chooses how often discovery is called,
//! `backoff` timeouts and the pauses after failures; `prober` finds out when a discovery that does not respond is back.

mod backoff;
mod call;
mod error;
mod pace;
mod prober;
mod status;

use super::http::client::ServerConnection;
use crate::config::Limits;
use crate::engine::endpoints::{EndpointUpdate, ListCoverage};
use async_channel::Receiver;
use async_io::Timer;
use backoff::Backoff;
use call::{DiscoveryCall, Transfer};
use error::DiscoveryError;
use futures_lite::future;
use pace::{Pace, TimedResponse};
use prober::{Baseline, ProbeResult, Prober};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub use status::{DiscoveryStatus, FailureKind};

/// The first value of [`Watcher::whole_list_patience`]. Together with a probe, it must fit into the 0.3 s within which a
/// drain is in use after discovery is back.
const SHORTEST_WHOLE_LIST_PATIENCE: Duration = Duration::from_millis(150);

/// What the watch of discovery needs.
#[derive(Clone, Copy)]
pub struct DiscoveryClient<'a> {
    /// The address of discovery, which may change.
    pub address: &'a Cell<SocketAddr>,
    /// The names of the zones by number.
    pub zones: &'a [String],
    /// Timeouts, pauses and sizes.
    pub limits: &'a Limits,
    /// Initializes the random numbers for jitter.
    pub seed: u64,
    /// The index of the list that was saved before the start; `None` if there is none.
    pub saved_index: Option<u64>,
    /// A message requests the whole list, from the address that `address` then holds. It interrupts a call or a pause,
    /// because discovery at the old address may no longer respond.
    pub refetch: &'a Receiver<()>,
    /// Where the condition of discovery is recorded.
    pub status: &'a DiscoveryStatus,
}

/// What the watch of discovery reports.
#[derive(Clone, Debug)]
pub enum DiscoveryNews {
    /// A whole list, or changes. Without entries, changes confirm the list after [`DiscoveryNews::Unconfirmed`].
    List(EndpointUpdate),
    /// Discovery does not respond, so changes may be missing from the list. The next list ends this.
    Unconfirmed,
}

/// Watches discovery; never returns. `deliver` receives what it reports.
pub async fn watch<F: Future<Output = ()>>(
    client: DiscoveryClient<'_>,
    deliver: impl Fn(DiscoveryNews) -> F,
) {
    let mut watcher = Watcher::new(client);
    loop {
        match watcher.next_event(&deliver).await {
            WatchEvent::List(list) => {
                let confirms = std::mem::take(&mut watcher.is_unconfirmed);
                if confirms || list.coverage == ListCoverage::Complete || !list.entries.is_empty() {
                    deliver(DiscoveryNews::List(list)).await;
                }
            }
            WatchEvent::Failed(error) => {
                watcher.pause_after_failure(&error);
                if !std::mem::replace(&mut watcher.is_unconfirmed, true) {
                    deliver(DiscoveryNews::Unconfirmed).await;
                }
            }
            WatchEvent::CallDue => {}
            WatchEvent::RefetchRequested => watcher.reset(),
        }
    }
}

/// What ended a call or a pause.
enum WatchEvent {
    List(EndpointUpdate),
    Failed(DiscoveryError),
    /// The next call is due.
    CallDue,
    /// The whole list was requested.
    RefetchRequested,
}

/// A pause between two calls.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    during: DuringPause,
    /// From then on a response to a probe ends the pause, if the whole list is to be fetched.
    whole_list_from: Instant,
}

/// What happens during a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DuringPause {
    /// Nothing, because discovery is not to be called.
    Nothing,
    /// Probes, because discovery may respond at any time.
    Probes,
}

struct Watcher<'a> {
    client: DiscoveryClient<'a>,
    /// The connection of the last call, if it can be reused.
    connection: Option<ServerConnection>,
    /// The index of the last list; `None` if the next call must fetch the whole list.
    known_index: Option<u64>,
    /// The index that probes name: that of the last list or, while `known_index` is `None`, of an earlier one.
    probe_index: Option<u64>,
    /// When the next probe is due; `None` while discovery responds.
    next_probe_at: Option<Instant>,
    /// A call for the whole list that brings none for this long, while probes are answered, is made again. Doubles each
    /// time, since discovery may take long to send the whole list.
    whole_list_patience: Duration,
    /// Whether [`DiscoveryNews::Unconfirmed`] was delivered after the last list.
    is_unconfirmed: bool,
    /// The pause before the next call.
    pause: Option<Pause>,
    backoff: Backoff<'a>,
    pace: Pace<'a>,
}

impl<'a> Watcher<'a> {
    fn new(client: DiscoveryClient<'a>) -> Watcher<'a> {
        Watcher {
            client,
            connection: None,
            known_index: None,
            probe_index: client.saved_index,
            next_probe_at: None,
            whole_list_patience: SHORTEST_WHOLE_LIST_PATIENCE,
            is_unconfirmed: false,
            pause: None,
            backoff: Backoff::new(client.limits, client.seed),
            pace: Pace::new(client.limits, client.seed),
        }
    }

    /// Makes a call, or pauses, until something happens.
    async fn next_event<F: Future<Output = ()>>(
        &mut self,
        deliver: &impl Fn(DiscoveryNews) -> F,
    ) -> WatchEvent {
        let refetch = self.client.refetch;
        let refetch = async {
            refetch_requested(refetch).await;
            WatchEvent::RefetchRequested
        };
        let next = async {
            match self.pause.take() {
                Some(pause) => self.wait(pause, deliver).await,
                None => self.call(deliver).await,
            }
        };
        future::or(refetch, next).await
    }

    async fn wait<F: Future<Output = ()>>(
        &mut self,
        pause: Pause,
        deliver: &impl Fn(DiscoveryNews) -> F,
    ) -> WatchEvent {
        let elapsed = async {
            Timer::at(pause.until).await;
            None
        };
        if pause.during == DuringPause::Nothing {
            elapsed.await;
            return WatchEvent::CallDue;
        }
        let transfer = Transfer::default();
        let overdue_at = Instant::now() + self.pace.probe_interval();
        let mut prober = self.prober(&transfer, pause.whole_list_from);
        let probes = async { Some(prober.run(overdue_at, deliver).await) };
        match future::or(elapsed, probes).await {
            Some(result) => self.probed(result),
            None => WatchEvent::CallDue,
        }
    }

    async fn call<F: Future<Output = ()>>(&mut self, deliver: &impl Fn(DiscoveryNews) -> F) -> WatchEvent {
        let started_at = Instant::now();
        let watch_timeout = self.known_index.map(|_| self.pace.watch_timeout());
        let mut times = self.backoff.call_times(watch_timeout);
        if self.probe_index.is_some() {
            // Probes show when discovery is back, so the call may wait for a late response.
            let longest = times.watch_timeout + self.client.limits.discovery_timeout_after_failure;
            times.timeout = times.timeout.max(longest);
        }
        let transfer = Transfer::default();
        let call =
            DiscoveryCall { client: self.client, known_index: self.known_index, times, transfer: &transfer };
        let mut connection = self.connection.take();
        let overdue_at = started_at + times.watch_timeout + self.pace.overdue_after();
        // While discovery is probed, this call takes the place of a probe.
        self.next_probe_at = self.next_probe_at.map(|_| started_at + self.pace.probe_interval());
        let mut prober = self.prober(&transfer, started_at + self.whole_list_patience);
        let response = async { CallEnd::Response(call.run(&mut connection).await) };
        let probes = async { CallEnd::Probe(prober.run(overdue_at, deliver).await) };
        match future::or(response, probes).await {
            CallEnd::Response(Ok(list)) => {
                self.connection = connection;
                self.received(list, started_at, times.watch_timeout)
            }
            CallEnd::Response(Err(error)) => WatchEvent::Failed(error),
            CallEnd::Probe(result) => self.probed(result),
        }
    }

    fn prober<'w>(&'w mut self, transfer: &'w Transfer, whole_list_lost_from: Instant) -> Prober<'w, 'a> {
        let baseline = if self.known_index.is_some() { Baseline::KnownList } else { Baseline::EarlierList };
        Prober {
            client: self.client,
            pace: &mut self.pace,
            baseline,
            whole_list_lost_from,
            index: &mut self.probe_index,
            next_probe_at: &mut self.next_probe_at,
            is_unconfirmed: &mut self.is_unconfirmed,
            transfer,
        }
    }

    /// Handles the response to a call that started at `started_at`.
    fn received(&mut self, list: EndpointUpdate, started_at: Instant, watch_timeout: Duration) -> WatchEvent {
        let now = Instant::now();
        let took = now - started_at;
        let is_unchanged = self.known_index == Some(list.version);
        self.client.status.record_current(now, list.version);
        self.pace.record_response(TimedResponse { list: &list, watch_timeout, took, is_unchanged });
        let shortest_interval = self.client.limits.discovery_backoff.min;
        if is_unchanged && took < shortest_interval {
            // Discovery does not hold calls, and must not be called in a tight loop.
            let until = now + shortest_interval;
            self.pause = Some(Pause { until, during: DuringPause::Nothing, whole_list_from: until });
        }
        self.record_list(&list);
        WatchEvent::List(list)
    }

    fn probed(&mut self, result: ProbeResult) -> WatchEvent {
        match result {
            ProbeResult::List(list, connection) => {
                self.connection = connection;
                self.record_list(&list);
                WatchEvent::List(list)
            }
            ProbeResult::Failed(error) => WatchEvent::Failed(error),
            ProbeResult::WholeListMissing => {
                let longest = self.client.limits.discovery_timeout_after_failure;
                self.whole_list_patience = (self.whole_list_patience * 2).min(longest);
                WatchEvent::CallDue
            }
        }
    }

    fn record_list(&mut self, list: &EndpointUpdate) {
        self.known_index = Some(list.version);
        self.probe_index = Some(list.version);
        self.next_probe_at = None;
        self.whole_list_patience = SHORTEST_WHOLE_LIST_PATIENCE;
        self.backoff.reset();
    }

    /// Sets the pause after a failed call. The last delivered list stays in use.
    fn pause_after_failure(&mut self, error: &DiscoveryError) {
        let now = Instant::now();
        self.client.status.record_failure(now, error);
        self.connection = None;
        let kind = error.kind();
        if matches!(error, DiscoveryError::IndexWentBack { .. }) {
            self.known_index = None;
        }
        let mut during = DuringPause::Probes;
        if kind == FailureKind::Overloaded {
            self.pace.record_overload();
            self.next_probe_at = None;
            during = DuringPause::Nothing;
        }
        let until = now + self.backoff.record_failure(error);
        // Discovery may go on failing to send the whole list while it answers probes.
        let mut whole_list_from = now + self.whole_list_patience;
        if kind != FailureKind::Malformed {
            whole_list_from -= SHORTEST_WHOLE_LIST_PATIENCE;
        }
        self.pause = Some(Pause { until, during, whole_list_from });
    }

    /// Forgets the connection, the index and the failures, because the address may have changed. The connection of an
    /// interrupted call cannot be reused, and failures at another address do not matter at this one.
    fn reset(&mut self) {
        self.connection = None;
        self.known_index = None;
        self.next_probe_at = None;
        self.whole_list_patience = SHORTEST_WHOLE_LIST_PATIENCE;
        self.pause = None;
        self.backoff.reset();
        self.pace.reset();
    }
}

/// What ended a call.
enum CallEnd {
    Response(Result<EndpointUpdate, DiscoveryError>),
    Probe(ProbeResult),
}

/// Waits for a message that requests the whole list. Never returns if all senders were dropped.
async fn refetch_requested(refetch: &Receiver<()>) {
    if refetch.recv().await.is_err() {
        future::pending::<()>().await;
    }
}
