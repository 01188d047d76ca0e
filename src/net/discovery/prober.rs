//! Probes of a discovery that leaves a call unanswered.
//!
//! Discovery may lose a call for good while it is down, so a response to that call cannot show when it is back. A probe
//! is a short call on a connection of its own, given up when the next one starts. The unanswered call goes on beside the
//! probes, because a discovery under load may respond late.

use super::backoff::CallTimes;
use super::call::{DiscoveryCall, Transfer};
use super::error::DiscoveryError;
use super::pace::{Pace, TimedResponse};
use super::status::FailureKind;
use super::{DiscoveryClient, DiscoveryNews};
use crate::engine::endpoints::{EndpointUpdate, ListCoverage};
use crate::net::http::client::ServerConnection;
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::{Duration, Instant};

/// How long discovery may hold a probe. It is not zero, which a discovery might take for a missing value.
const PROBE_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// What a probe has brought.
pub(super) enum ProbeResult {
    /// The changes since the known list, or a whole list, with the connection if it can be reused.
    List(EndpointUpdate, Option<ServerConnection>),
    /// Discovery has no capacity, or another list than the known one.
    Failed(DiscoveryError),
    /// Discovery responds, but not to the call for the whole list.
    WholeListMissing,
}

/// What the changes in a response to a probe refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Baseline {
    /// The known list: the response replaces that of the unanswered call.
    KnownList,
    /// A list that was saved before the start, or that came from another address of discovery. Changes since then are
    /// applied, but only a whole list replaces the unanswered call, which fetches it.
    EarlierList,
}

/// Probes discovery, as long as it is polled.
pub(super) struct Prober<'w, 'a> {
    pub(super) client: DiscoveryClient<'a>,
    pub(super) pace: &'w mut Pace<'a>,
    pub(super) baseline: Baseline,
    /// From then on a response to a probe shows that a call for the whole list has been lost.
    pub(super) whole_list_lost_from: Instant,
    /// The index that probes name; `None` if there was no list yet, so that there is nothing to keep current.
    pub(super) index: &'w mut Option<u64>,
    /// When the next probe is due; `None` before the first one.
    pub(super) next_probe_at: &'w mut Option<Instant>,
    /// Whether [`DiscoveryNews::Unconfirmed`] was delivered after the last list.
    pub(super) is_unconfirmed: &'w mut bool,
    /// The response to the unanswered call, as far as it has been received.
    pub(super) transfer: &'w Transfer,
}

impl Prober<'_, '_> {
    /// Probes discovery from `overdue_at` on, or from when the next probe is due, until a probe brings a result.
    /// `deliver` receives the changes since an earlier list, and that the list is unconfirmed.
    pub(super) async fn run<F: Future<Output = ()>>(
        &mut self,
        overdue_at: Instant,
        deliver: &impl Fn(DiscoveryNews) -> F,
    ) -> ProbeResult {
        let Some(mut index) = *self.index else { return future::pending().await };
        loop {
            Timer::at(*self.next_probe_at.get_or_insert(overdue_at)).await;
            let interval = self.pace.probe_interval();
            *self.next_probe_at = Some(Instant::now() + interval);
            if self.transfer.has_progressed() {
                continue;
            }
            if !std::mem::replace(self.is_unconfirmed, true) {
                deliver(DiscoveryNews::Unconfirmed).await;
            }
            let mut connection = None;
            match self.probe(index, interval, &mut connection).await {
                Ok(list) if self.ends_call(&list) => return ProbeResult::List(list, connection),
                Ok(list) => {
                    index = list.version;
                    *self.index = Some(index);
                    if !list.entries.is_empty() {
                        deliver(DiscoveryNews::List(list)).await;
                    }
                }
                Err(error) if self.baseline == Baseline::KnownList && ends_probes(&error) => {
                    return ProbeResult::Failed(error);
                }
                Err(error) if error.kind() == FailureKind::Overloaded => return future::pending().await,
                // The index is that of another list, which does not matter for the whole list.
                Err(DiscoveryError::IndexWentBack { .. }) => {}
                Err(error) => {
                    self.client.status.record_failure(Instant::now(), &error);
                    continue;
                }
            }
            if Instant::now() >= self.whole_list_lost_from {
                return ProbeResult::WholeListMissing;
            }
        }
    }

    fn ends_call(&self, list: &EndpointUpdate) -> bool {
        self.baseline == Baseline::KnownList || list.coverage == ListCoverage::Complete
    }

    async fn probe(
        &mut self,
        index: u64,
        timeout: Duration,
        connection: &mut Option<ServerConnection>,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let started_at = Instant::now();
        let times = CallTimes { watch_timeout: PROBE_WATCH_TIMEOUT, timeout };
        let transfer = Transfer::default();
        let call =
            DiscoveryCall { client: self.client, known_index: Some(index), times, transfer: &transfer };
        let list = call.run(connection).await?;
        let now = Instant::now();
        self.client.status.record_current(now, list.version);
        self.pace.record_response(TimedResponse {
            list: &list,
            watch_timeout: PROBE_WATCH_TIMEOUT,
            took: now - started_at,
            is_unchanged: list.version == index,
        });
        Ok(list)
    }
}

/// Whether further probes are no use, or do harm: discovery has another list, or no capacity.
fn ends_probes(error: &DiscoveryError) -> bool {
    matches!(error, DiscoveryError::IndexWentBack { .. }) || error.kind() == FailureKind::Overloaded
}
