//! The handle through which the rest of the process communicates with the engine's thread.

use super::message::{Control, FinalAnswer, Input, Submission};
use super::metrics::{Gauges, Metrics};
use super::observations::Observation;
use super::outcome_window::OutcomeCounts;
use crate::clock::Clock;
use crate::routing::{IncomingRequest, RequestId, TimeDelta, Timestamp};
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// A handle to the engine. All clones refer to the same engine.
pub struct EngineHandle<W, A> {
    inputs: Sender<Input<W, A>>,
    control: Sender<Control>,
    next_request_id: Arc<AtomicU64>,
    longest_client_timeout_micros: Arc<AtomicI64>,
    metrics: Arc<Metrics>,
    clock: Clock,
}

impl<W, A> Clone for EngineHandle<W, A> {
    fn clone(&self) -> Self {
        EngineHandle {
            inputs: self.inputs.clone(),
            control: self.control.clone(),
            next_request_id: self.next_request_id.clone(),
            longest_client_timeout_micros: self.longest_client_timeout_micros.clone(),
            metrics: self.metrics.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<W, A> EngineHandle<W, A> {
    pub(super) fn new(
        inputs: Sender<Input<W, A>>,
        control: Sender<Control>,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> EngineHandle<W, A> {
        EngineHandle {
            inputs,
            control,
            next_request_id: Arc::new(AtomicU64::new(1)),
            longest_client_timeout_micros: Arc::default(),
            metrics,
            clock,
        }
    }

    /// The clock that the engine's timestamps are read from.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The counters of the process. Unlike the gauges, they can be read after the engine has ended.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The current values of the gauges; `None` if the engine has ended.
    pub async fn gauges(&self) -> Option<Gauges> {
        self.query(Control::Gauges).await
    }

    /// The observations of endpoints since the last call; `None` if the engine has ended.
    pub async fn observations(&self) -> Option<Vec<Observation>> {
        self.query(Control::Observations).await
    }

    /// The recent attempt outcomes of each endpoint, keyed by endpoint name; `None` if the engine has ended.
    pub async fn outcome_counts(&self) -> Option<BTreeMap<String, OutcomeCounts>> {
        self.query(Control::OutcomeCounts).await
    }

    /// Builds a control message around the sender of its reply, sends it, and waits for the reply.
    async fn query<T>(&self, message: impl FnOnce(Sender<T>) -> Control) -> Option<T> {
        let (sender, reply) = async_channel::bounded(1);
        self.send_control(message(sender)).await;
        reply.recv().await.ok()
    }

    /// Submits a request and assigns its id; waits while the engine's queue is full. The returned receiver gets the
    /// final answer. Returns `None` if the engine has ended.
    pub async fn submit(
        &self,
        request: IncomingRequest,
        deadline: Timestamp,
        work: W,
    ) -> Option<(RequestId, Receiver<FinalAnswer<A>>)> {
        let id = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let client_timeout = deadline - self.clock.now();
        self.longest_client_timeout_micros.fetch_max(client_timeout.as_micros(), Ordering::Relaxed);
        let (reply, answer) = async_channel::bounded(1);
        let request = IncomingRequest { id, ..request };
        let submission = Submission { request, deadline, work, reply };
        self.inputs.send(Input::Request(submission)).await.ok()?;
        Some((id, answer))
    }

    /// The longest timeout that a client has set for a request so far; `None` before the first request.
    pub fn longest_client_timeout(&self) -> Option<TimeDelta> {
        let longest = TimeDelta::from_micros(self.longest_client_timeout_micros.load(Ordering::Relaxed));
        (longest > TimeDelta::ZERO).then_some(longest)
    }

    /// Sends an input that is not a request; waits while the engine's queue is full. Does nothing if the engine has
    /// ended.
    pub async fn send_input(&self, input: Input<W, A>) {
        let _ = self.inputs.send(input).await;
    }

    /// Sends a control message, which the engine handles before any waiting input. Does nothing if the engine has
    /// ended.
    pub async fn send_control(&self, control: Control) {
        let _ = self.control.send(control).await;
    }
}
