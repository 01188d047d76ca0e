//! What goes into the engine and what comes out of it.

use super::endpoints::{EndpointChange, EndpointUpdate};
use super::metrics::Gauges;
use super::{admission, observations, outcome_window};
use crate::ids::NodeId;
use crate::routing::*;
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};

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
