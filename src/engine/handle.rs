//! The way to the engine.

use super::metrics::{Gauges, Metrics};
use super::{Control, FinalAnswer, Input, Submission, observations, outcome_window};
use crate::clock::Clock;
use crate::routing::*;
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// A front's and a host side's way to the core.
pub struct EngineHandle<W, A> {
    pub(super) inputs: Sender<Input<W, A>>,
    pub(super) control: Sender<Control>,
    pub(super) next: Arc<AtomicU64>,
    /// The longest time that a client gave a request, in microseconds.
    pub(super) client_timeout: Arc<AtomicI64>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) clock: Clock,
}

impl<W, A> Clone for EngineHandle<W, A> {
    fn clone(&self) -> Self {
        EngineHandle {
            inputs: self.inputs.clone(),
            control: self.control.clone(),
            next: self.next.clone(),
            client_timeout: self.client_timeout.clone(),
            metrics: self.metrics.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<W, A> EngineHandle<W, A> {
    /// The program's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What is counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What holds now; the core answers ahead of requests that wait. `None`: it has ended.
    pub async fn gauges(&self) -> Option<Gauges> {
        let (reply, gauges) = async_channel::bounded(1);
        self.control(Control::Gauges(reply)).await;
        gauges.recv().await.ok()
    }

    /// What hosts have told since the last time. `None`: the core has ended.
    pub async fn observations(&self) -> Option<Vec<observations::Observation>> {
        let (reply, facts) = async_channel::bounded(1);
        self.control(Control::Observations(reply)).await;
        facts.recv().await.ok()
    }

    /// Hands in a request; waits while the queue is full. `None`: the core has ended.
    pub async fn submit(
        &self,
        ask: IncomingRequest,
        deadline: Timestamp,
        work: W,
    ) -> Option<(RequestId, Receiver<FinalAnswer<A>>)> {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        self.client_timeout.fetch_max((deadline - self.clock.now()).as_micros(), Ordering::Relaxed);
        let (reply, answer) = async_channel::bounded(1);
        let request = Submission { ask: IncomingRequest { id, ..ask }, deadline, work, reply };
        self.inputs.send(Input::Request(request)).await.ok()?;
        Some((id, answer))
    }

    /// What was seen of each host within the last moment. `None`: the core has ended.
    pub async fn outcome_counts(&self) -> Option<BTreeMap<String, outcome_window::OutcomeCounts>> {
        let (reply, outcomes) = async_channel::bounded(1);
        self.control(Control::OutcomeCounts(reply)).await;
        outcomes.recv().await.ok()
    }

    /// The longest time that a client has given a request; `None` before the first.
    pub fn client_timeout(&self) -> Option<TimeDelta> {
        let longest = TimeDelta::from_micros(self.client_timeout.load(Ordering::Relaxed));
        Some(longest).filter(|p| *p > TimeDelta::ZERO)
    }

    /// Whether inputs wait.
    pub fn backlog(&self) -> usize {
        self.inputs.len()
    }

    /// Hands in anything else.
    pub async fn input(&self, input: Input<W, A>) {
        let _ = self.inputs.send(input).await;
    }

    /// Hands in what goes ahead of queued requests.
    pub async fn control(&self, control: Control) {
        let _ = self.control.send(control).await;
    }
}
