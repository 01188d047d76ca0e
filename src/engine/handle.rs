//! The handle by which other parts reach the engine's thread.

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

/// A handle to the engine; clones reach the same engine.
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

    /// The process's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The process's counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The values of the gauges. `None`: the engine has ended.
    pub async fn gauges(&self) -> Option<Gauges> {
        self.ask(Control::Gauges).await
    }

    /// The observations of endpoints since the last call. `None`: the engine has ended.
    pub async fn observations(&self) -> Option<Vec<Observation>> {
        self.ask(Control::Observations).await
    }

    /// How attempts at each endpoint ended lately, by the endpoint's name. `None`: the engine has ended.
    pub async fn outcome_counts(&self) -> Option<BTreeMap<String, OutcomeCounts>> {
        self.ask(Control::OutcomeCounts).await
    }

    /// Sends a control message that carries the sender of its reply, and waits for the reply.
    async fn ask<T>(&self, question: impl FnOnce(Sender<T>) -> Control) -> Option<T> {
        let (sender, reply) = async_channel::bounded(1);
        self.control(question(sender)).await;
        reply.recv().await.ok()
    }

    /// Submits a request, whose id is assigned here; waits while the engine's queue is full. The final answer arrives
    /// at the receiver. `None`: the engine has ended.
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

    /// The longest time that a client has given a request; `None` before the first request.
    pub fn client_timeout(&self) -> Option<TimeDelta> {
        let longest = TimeDelta::from_micros(self.longest_client_timeout_micros.load(Ordering::Relaxed));
        (longest > TimeDelta::ZERO).then_some(longest)
    }

    /// Sends any other input; waits while the engine's queue is full. An engine that has ended ignores it.
    pub async fn input(&self, input: Input<W, A>) {
        let _ = self.inputs.send(input).await;
    }

    /// Sends a control message, which is handled before any input that waits. An engine that has ended ignores it.
    pub async fn control(&self, control: Control) {
        let _ = self.control.send(control).await;
    }
}
