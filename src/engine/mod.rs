//! The core: the thread that owns the decision module, and the queue by which fronts reach it.
//!
//! Nothing here knows a wire. A front hands in a request with its work `W` as an opaque value and gets one
//! [`Final`] with an answer `A`; a host side carries out [`Command`]s and reports how each attempt ended.

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
use endpoints::{Host, Listing};
use futures_lite::future;
use metrics::{Figures, Gauges};
use request_engine::Owner;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Final<A> {
    /// Served, with what the host gave.
    Served(A),
    /// Not done; trying again is harmless.
    Refused {
        /// When to come back.
        retry_in: Option<TimeDelta>,
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
    pub ask: Ask,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// What is sent to a host, opaque to the core.
    pub work: W,
    /// Where the final answer goes.
    pub reply: Sender<Final<A>>,
}

/// How an attempt ended, as the host side saw it.
#[derive(Clone, Debug)]
pub struct Ended<A> {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u8,
    /// The outcome.
    pub outcome: Outcome,
    /// What the host told about itself.
    pub mark: Option<Mark>,
    /// Its load report.
    pub report: Report,
    /// The answer, where it was served.
    pub answer: Option<A>,
}

/// What comes in from fronts and host sides.
#[derive(Clone, Debug)]
pub enum Input<W, A> {
    /// A request.
    Request(Submission<W, A>),
    /// The client of a request has gone.
    Lapsed(RequestId),
    /// An answer too long to be held back has begun: what it is, while the rest is still to come.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
        /// The answer.
        answer: A,
    },
    /// An attempt ended.
    Ended(Ended<A>),
    /// A probe came back, with what the host told; `None`: nothing.
    Probed {
        /// The member.
        member: EndpointId,
        /// Time since it was sent.
        took: TimeDelta,
        /// Its load report.
        report: Option<Report>,
    },
    /// A message of a peer.
    Peer {
        /// Its number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// What another daemon heard a host say of itself, or this one before its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The host's name.
    pub host: String,
    /// It called itself the primary.
    pub primary: bool,
    /// The position that it told; [`LogPosition::UNKNOWN`]: none.
    pub position: LogPosition,
    /// When that was heard, by this daemon's clock.
    pub at: Timestamp,
    /// It was heard since the host's last start, as far as is known, and a moment ago: it does for an answer to
    /// the module's own question. Otherwise it tells only how far the host once was.
    pub fresh: bool,
}

/// Who asks hosts in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turns {
    /// This daemon.
    pub me: NodeId,
    /// Others that are heard.
    pub others: Vec<NodeId>,
}

/// What comes in ahead of everything else.
#[derive(Clone, Debug)]
pub enum Control {
    /// A list, or changes to it.
    List {
        /// The list.
        list: Listing,
        /// It was remembered from before the start.
        cached: bool,
    },
    /// What holds now is told there.
    Gauges(Sender<Gauges>),
    /// What hosts have told since the last time is told there.
    Facts(Sender<Vec<observations::Fact>>),
    /// What was seen of each host within the last moment is told there, by its name.
    Sights(Sender<BTreeMap<String, outcome_window::Seen>>),
    /// Nothing more is to be waited for from these hosts: reads that are out there and overdue are asked elsewhere.
    CallOff(BTreeSet<String>),
    /// What other daemons heard hosts say, or this one before its start.
    Told(Vec<Told>),
    /// The terms on which requests are let in; `None`: all are.
    Admit(Option<admission::Terms>),
    /// Hosts are asked in turn with these other daemons; `None`: whenever the module wants it.
    Turns(Option<Turns>),
    /// Whatever is open gets its final answer now: the program ends.
    End,
    /// End the thread.
    Stop,
}

/// How current the data of an answer must be. The module sends only where it knows that; a host side that
/// is told the position of each answer checks it once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// As it comes.
    Any,
    /// No older than this when it is sent.
    Age(TimeDelta),
    /// From this point in time or later.
    Since(Timestamp),
}

/// What a host side is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<W> {
    /// Send an attempt.
    Attempt {
        /// The request.
        id: RequestId,
        /// Its number among the request's attempts.
        attempt: u8,
        /// The module's name for the host, handed back with what it tells of itself.
        member: EndpointId,
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
        need: Need,
    },
    /// Ask a host about itself.
    Probe {
        /// The module's name for it, handed back.
        member: EndpointId,
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
    Hosts(Vec<Host>),
    /// Close idle connections to a host.
    CloseIdle(String),
    /// A message for peers.
    Tell {
        /// Its number; `None`: all.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The whole list is wanted.
    FetchList,
    /// Another daemon has just heard this host: it need not be asked about itself before anything else.
    Heard(String),
    /// A host has begun anew: what hosts have told is to be read now.
    News,
}

/// A front's and a host side's way to the core.
pub struct Handle<W, A> {
    inputs: Sender<Input<W, A>>,
    control: Sender<Control>,
    next: Arc<AtomicU64>,
    /// The longest time that a client gave a request, in microseconds.
    patience: Arc<AtomicI64>,
    figures: Arc<Figures>,
    clock: Clock,
}

impl<W, A> Clone for Handle<W, A> {
    fn clone(&self) -> Self {
        Handle {
            inputs: self.inputs.clone(),
            control: self.control.clone(),
            next: self.next.clone(),
            patience: self.patience.clone(),
            figures: self.figures.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<W, A> Handle<W, A> {
    /// The program's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What is counted.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What holds now; the core answers ahead of requests that wait. `None`: it has ended.
    pub async fn gauges(&self) -> Option<Gauges> {
        let (reply, gauges) = async_channel::bounded(1);
        self.control(Control::Gauges(reply)).await;
        gauges.recv().await.ok()
    }

    /// What hosts have told since the last time. `None`: the core has ended.
    pub async fn facts(&self) -> Option<Vec<observations::Fact>> {
        let (reply, facts) = async_channel::bounded(1);
        self.control(Control::Facts(reply)).await;
        facts.recv().await.ok()
    }

    /// Hands in a request; waits while the queue is full. `None`: the core has ended.
    pub async fn submit(
        &self,
        ask: Ask,
        deadline: Timestamp,
        work: W,
    ) -> Option<(RequestId, Receiver<Final<A>>)> {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        self.patience.fetch_max((deadline - self.clock.now()).as_micros(), Ordering::Relaxed);
        let (reply, answer) = async_channel::bounded(1);
        let request = Submission { ask: Ask { id, ..ask }, deadline, work, reply };
        self.inputs.send(Input::Request(request)).await.ok()?;
        Some((id, answer))
    }

    /// What was seen of each host within the last moment. `None`: the core has ended.
    pub async fn sights(&self) -> Option<BTreeMap<String, outcome_window::Seen>> {
        let (reply, sights) = async_channel::bounded(1);
        self.control(Control::Sights(reply)).await;
        sights.recv().await.ok()
    }

    /// The longest time that a client has given a request; `None` before the first.
    pub fn patience(&self) -> Option<TimeDelta> {
        let longest = TimeDelta::from_micros(self.patience.load(Ordering::Relaxed));
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
pub type Started<W, A> = (Handle<W, A>, Receiver<Command<W>>);

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
    let (inputs, queue) = async_channel::bounded(limits.queue);
    let (control, urgent) = async_channel::bounded(limits.queue);
    // Never full to block on: each open request has one attempt out at the most.
    let (commands, out) = async_channel::unbounded();
    let figures = Arc::new(Figures::new(classes));
    let owner = Owner::new(settings, seed, limits, figures.clone());
    let own_clock = clock.clone();
    let thread = std::thread::Builder::new().name("module".into());
    thread.spawn(move || run(owner, &own_clock, &urgent, &queue, &commands))?;
    let (next, patience) = (Arc::new(AtomicU64::new(1)), Arc::default());
    Ok((Handle { inputs, control, next, patience, figures, clock }, out))
}

enum Woken<W, A> {
    Control(Control),
    Input(Input<W, A>),
    Timer,
    Over,
}

fn run<W: Clone, A>(
    mut owner: Owner<W, A>,
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
            Woken::Control(Control::List { list, cached }) => {
                owner.list(clock.now(), &list, cached, &mut out)
            }
            Woken::Control(Control::Gauges(reply)) => drop(reply.try_send(owner.gauges(clock.now()))),
            Woken::Control(Control::Facts(reply)) => drop(reply.try_send(owner.facts())),
            Woken::Control(Control::Sights(reply)) => drop(reply.try_send(owner.sights(clock.now()))),
            Woken::Control(Control::CallOff(hosts)) => owner.call_off(clock.now(), &hosts, &mut out),
            Woken::Control(Control::Told(told)) => owner.told(clock.now(), told, &mut out),
            Woken::Control(Control::Admit(terms)) => owner.admit(clock.now(), terms),
            Woken::Control(Control::Turns(turns)) => owner.turns(clock.now(), turns, &mut out),
            Woken::Control(Control::End) => owner.end(clock.now(), &mut out),
            Woken::Input(input) => owner.input(clock.now(), input, &mut out),
            Woken::Timer => {}
            Woken::Control(Control::Stop) | Woken::Over => return,
        }
    }
}
