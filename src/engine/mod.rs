//! The core: the thread that owns the decision module, and the queue by which fronts reach it.
//!
//! Nothing here knows a wire. A front hands in a request with its work `W` as an opaque value and gets one
//! [`FinalAnswer`] with an answer `A`; a host side carries out [`Command`]s and reports how each attempt ended.

pub mod admission;
pub mod classes;
pub mod endpoints;
pub mod load_report;
pub mod log_rollback;
pub mod metrics;
pub mod observations;
pub mod outcome_window;
pub mod poll_scheduler;
pub mod request_engine;

use crate::clock::Clock;
use crate::config::Limits;
use crate::ids::NodeId;
use crate::routing::*;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use classes::Classes;
use endpoints::{EndpointChange, EndpointUpdate};
use futures_lite::future;
use metrics::{Gauges, Metrics};
use request_engine::RequestEngine;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<A> {
    /// Served, with what the host gave.
    Served(A),
    /// Not done; trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<TimeDelta>,
        /// The time of the request was over.
        overdue: bool,
    },
    /// Failed; nothing is promised about its effect.
    Failed {
        /// The time of the request was over.
        overdue: bool,
    },
    /// No list names the group that was asked for.
    UnknownGroup,
}

/// A client's request as a front hands it in; the core numbers it.
#[derive(Clone, Debug)]
pub struct Submission<W, A> {
    /// What the module is asked; its id is the ticket's.
    pub ask: IncomingRequest,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// What is sent to a host, opaque to the core.
    pub work: W,
    /// Where the final answer goes.
    pub reply: Sender<FinalAnswer<A>>,
}

/// How an attempt ended, as the host side saw it.
#[derive(Clone, Debug)]
pub struct AttemptReport<A> {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u8,
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// What the host told about itself.
    pub replica_status: Option<ReplicaStatus>,
    /// Its load report.
    pub report: LoadReport,
    /// The answer, where it was served.
    pub answer: Option<A>,
}

/// What comes in from fronts and host sides.
#[derive(Clone, Debug)]
pub enum Input<W, A> {
    /// A request.
    Request(Submission<W, A>),
    /// The client of a request has gone.
    RequestCancelled(RequestId),
    /// An answer too long to be held back has begun: what it is, while the rest is still to come.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
        /// The answer.
        answer: A,
    },
    /// An attempt ended.
    AttemptFinished(AttemptReport<A>),
    /// A probe came back, with what the host told; `None`: nothing.
    ProbeFinished {
        /// The member.
        endpoint: EndpointId,
        /// Time since it was sent.
        took: TimeDelta,
        /// Its load report.
        report: Option<LoadReport>,
    },
    /// A message of a peer.
    PeerMessage {
        /// Its number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// What another daemon heard a host say of itself, or this one before its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// The endpoint's name.
    pub endpoint_name: String,
    /// It reported to be the primary.
    pub primary: bool,
    /// The log position that it reported; [`LogPosition::UNKNOWN`] where it reported none.
    pub position: LogPosition,
    /// When it was observed, by this process's clock.
    pub observed_at: Timestamp,
    /// Recent enough to stand in for an answer to this process's own poll. Otherwise it proves only how far the
    /// endpoint's log once reached.
    pub replaces_poll: bool,
}

/// Who asks hosts in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollParticipants {
    /// This process.
    pub local: NodeId,
    /// The peers that it currently receives messages from.
    pub peers: Vec<NodeId>,
}

/// What comes in ahead of everything else.
#[derive(Clone, Debug)]
pub enum Control {
    /// A list, or changes to it.
    EndpointList {
        /// The list.
        list: EndpointUpdate,
        /// It was remembered from before the start.
        cached: bool,
    },
    /// What holds now is told there.
    Gauges(Sender<Gauges>),
    /// What hosts have told since the last time is told there.
    Observations(Sender<Vec<observations::Observation>>),
    /// What was seen of each host within the last moment is told there, by its name.
    OutcomeCounts(Sender<BTreeMap<String, outcome_window::OutcomeCounts>>),
    /// Nothing more is to be waited for from these hosts: reads that are out there and overdue are asked elsewhere.
    CancelOverdueReads(BTreeSet<String>),
    /// What other daemons heard hosts say, or this one before its start.
    PeerObservations(Vec<PeerObservation>),
    /// The terms on which requests are let in; `None`: all are.
    SetAdmission(Option<admission::AdmissionPolicy>),
    /// Hosts are asked in turn with these other daemons; `None`: whenever the module wants it.
    SetPollParticipants(Option<PollParticipants>),
    /// Whatever is open gets its final answer now: the program ends.
    FinishAll,
    /// End the thread.
    Stop,
}

/// How current the data of an answer must be. The module sends only where it knows that; a host side that
/// is told the position of each answer checks it once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As it comes.
    Any,
    /// No older than this when it is sent.
    MaxAge(TimeDelta),
    /// From this point in time or later.
    CommittedSince(Timestamp),
}

/// What a host side is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<W> {
    /// Send an attempt.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// Its number among the request's attempts.
        attempt: u8,
        /// The module's name for the host, handed back with what it tells of itself.
        endpoint: EndpointId,
        /// The host's name.
        host: String,
        /// The work.
        work: W,
        /// When to abandon it.
        until: Timestamp,
        /// After this it may not be sent any more: an earlier attempt may have run, and what drops repeats of it
        /// forgets it then.
        send_by: Option<Timestamp>,
        /// How current its answer must be.
        freshness: Freshness,
    },
    /// Ask a host about itself.
    Probe {
        /// The module's name for it, handed back.
        endpoint: EndpointId,
        /// The host's name.
        host: String,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// These hosts are new or changed.
    UpdateEndpoints(Vec<EndpointChange>),
    /// Close idle connections to a host.
    CloseIdle(String),
    /// A message for peers.
    SendToPeers {
        /// Its number; `None`: all.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The whole list is wanted.
    FetchList,
    /// Another daemon has just heard this host: it need not be asked about itself before anything else.
    SkipInitialProbe(String),
    /// A host has begun anew: what hosts have told is to be read now.
    ObservationsPending,
}

/// A front's and a host side's way to the core.
pub struct EngineHandle<W, A> {
    inputs: Sender<Input<W, A>>,
    control: Sender<Control>,
    next: Arc<AtomicU64>,
    /// The longest time that a client gave a request, in microseconds.
    client_timeout: Arc<AtomicI64>,
    metrics: Arc<Metrics>,
    clock: Clock,
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

/// The way to the core, and the commands that come out of it.
pub type Started<W, A> = (EngineHandle<W, A>, Receiver<Command<W>>);

/// Starts the thread that owns the module.
pub fn start<W, A>(
    settings: Settings,
    classes: &Classes,
    seed: u64,
    limits: &Limits,
    clock: Clock,
) -> std::io::Result<Started<W, A>>
where
    W: Clone + Send + 'static,
    A: Send + 'static,
{
    let (inputs, queue) = async_channel::bounded(limits.input_queue);
    let (control, urgent) = async_channel::bounded(limits.input_queue);
    // Never full to block on: each open request has one attempt out at the most.
    let (commands, out) = async_channel::unbounded();
    let metrics = Arc::new(Metrics::new(classes));
    let owner = RequestEngine::new(settings, seed, limits, metrics.clone());
    let own_clock = clock.clone();
    let thread = std::thread::Builder::new().name("module".into());
    thread.spawn(move || run(owner, &own_clock, &urgent, &queue, &commands))?;
    let (next, client_timeout) = (Arc::new(AtomicU64::new(1)), Arc::default());
    Ok((EngineHandle { inputs, control, next, client_timeout, metrics, clock }, out))
}

enum Woken<W, A> {
    Control(Control),
    Input(Input<W, A>),
    Timer,
    Over,
}

fn run<W: Clone, A>(
    mut owner: RequestEngine<W, A>,
    clock: &Clock,
    urgent: &Receiver<Control>,
    queue: &Receiver<Input<W, A>>,
    commands: &Sender<Command<W>>,
) {
    let mut out = Vec::new();
    loop {
        owner.due(clock.now(), &mut out);
        for command in out.drain(..) {
            if commands.try_send(command).is_err() {
                return;
            }
        }
        let next = owner.next_due();
        let control = async { urgent.recv().await.map_or(Woken::Over, Woken::Control) };
        let input = async { queue.recv().await.map_or(Woken::Over, Woken::Input) };
        let timer = async {
            match next {
                Some(at) => drop(Timer::at(clock.instant(at)).await),
                None => future::pending().await,
            }
            Woken::Timer
        };
        // In this order: what discovery told counts before any request that waits.
        match future::block_on(future::or(control, future::or(input, timer))) {
            Woken::Control(Control::EndpointList { list, cached }) => {
                owner.list(clock.now(), &list, cached, &mut out)
            }
            Woken::Control(Control::Gauges(reply)) => drop(reply.try_send(owner.gauges(clock.now()))),
            Woken::Control(Control::Observations(reply)) => drop(reply.try_send(owner.facts())),
            Woken::Control(Control::OutcomeCounts(reply)) => {
                drop(reply.try_send(owner.outcomes(clock.now())))
            }
            Woken::Control(Control::CancelOverdueReads(hosts)) => {
                owner.call_off(clock.now(), &hosts, &mut out)
            }
            Woken::Control(Control::PeerObservations(told)) => owner.told(clock.now(), told, &mut out),
            Woken::Control(Control::SetAdmission(terms)) => owner.admit(clock.now(), terms),
            Woken::Control(Control::SetPollParticipants(turns)) => owner.turns(clock.now(), turns, &mut out),
            Woken::Control(Control::FinishAll) => owner.end(clock.now(), &mut out),
            Woken::Input(input) => owner.input(clock.now(), input, &mut out),
            Woken::Timer => {}
            Woken::Control(Control::Stop) | Woken::Over => return,
        }
    }
}
