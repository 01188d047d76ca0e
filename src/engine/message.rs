//! What goes into the engine and what comes out of it.
//!
//! `W` is the work of a request and `A` its answer; both are opaque to the engine.

use super::admission::AdmissionPolicy;
use super::endpoints::{EndpointChange, EndpointUpdate};
use super::metrics::Gauges;
use super::observations::Observation;
use super::outcome_window::OutcomeCounts;
use crate::ids::NodeId;
use crate::routing::{
    AttemptOutcome, EndpointId, IncomingRequest, LoadReport, LogPosition, ReplicaStatus, RequestId,
    TimeDelta, Timestamp,
};
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<A> {
    /// Served, with the endpoint's answer.
    Served(A),
    /// Rejected without effect; trying again is harmless.
    Rejected {
        /// When the client should try again; `None`: at any time.
        retry_after: Option<TimeDelta>,
        /// The request's deadline has passed.
        overdue: bool,
    },
    /// Failed; it may or may not have had an effect.
    Failed {
        /// The request's deadline has passed.
        overdue: bool,
    },
    /// The endpoint list has never named the request's group.
    UnknownGroup,
}

/// A client's request as it is submitted to the engine.
#[derive(Clone, Debug)]
pub struct Submission<W, A> {
    /// The request as the router takes it, with the id that the engine's handle assigned.
    pub request: IncomingRequest,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// What is sent to an endpoint.
    pub work: W,
    /// Receives the final answer.
    pub reply: Sender<FinalAnswer<A>>,
}

/// How an attempt ended, as the backend pool reports it.
#[derive(Clone, Debug)]
pub struct AttemptReport<A> {
    /// The request.
    pub id: RequestId,
    /// The attempt's number among those of the request.
    pub attempt: u8,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The role and log position that the endpoint reported with its answer.
    pub replica_status: Option<ReplicaStatus>,
    /// The load report that came with the answer; empty where there is none.
    pub report: LoadReport,
    /// The answer, if the attempt was served.
    pub answer: Option<A>,
}

/// Inputs from client connections, the backend pool and peers, handled in order of arrival.
#[derive(Clone, Debug)]
pub enum Input<W, A> {
    /// A client's request.
    Request(Submission<W, A>),
    /// The client of a request has disconnected.
    RequestCancelled(RequestId),
    /// An endpoint has begun to send an answer that is too long to be buffered. The answer is the client's from now
    /// on; the end of the attempt is still to come.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request.
        attempt: u8,
        /// The answer, whose remainder is streamed.
        answer: A,
    },
    /// An attempt ended.
    AttemptFinished(AttemptReport<A>),
    /// A probe of an endpoint ended.
    ProbeFinished {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long it took.
        took: TimeDelta,
        /// The endpoint's load report; `None`: the probe failed.
        report: Option<LoadReport>,
    },
    /// A gossip message of a peer's router.
    PeerMessage {
        /// The peer's number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// An observation of an endpoint that a peer made, or this process before its last start.
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

/// The poolers that share the polling of endpoints; see [`super::poll_scheduler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollParticipants {
    /// This process.
    pub local: NodeId,
    /// The peers that it currently receives messages from.
    pub peers: Vec<NodeId>,
}

/// Inputs that are handled before any [`Input`] that waits.
#[derive(Clone, Debug)]
pub enum Control {
    /// A new endpoint list or changes to the last one.
    EndpointList {
        /// The update.
        list: EndpointUpdate,
        /// It is a list from before the start of the process and may be out of date.
        cached: bool,
    },
    /// Asks for the values of the gauges.
    Gauges(Sender<Gauges>),
    /// Asks for the observations of endpoints since the last such request.
    Observations(Sender<Vec<Observation>>),
    /// Asks how attempts at each endpoint ended lately, by the endpoint's name.
    OutcomeCounts(Sender<BTreeMap<String, OutcomeCounts>>),
    /// Cancels reads in flight at the named endpoints that are overdue, so that the router retries them elsewhere.
    CancelOverdueReads(BTreeSet<String>),
    /// Observations that peers made, or this process before its last start.
    PeerObservations(Vec<PeerObservation>),
    /// Sets the admission policy; `None`: everything is admitted.
    SetAdmission(Option<AdmissionPolicy>),
    /// Sets with whom the polling of endpoints is shared; `None`: with nobody.
    SetPollParticipants(Option<PollParticipants>),
    /// The process is about to exit: every open request gets its final answer now, and no new one is taken.
    FinishAll,
    /// Ends the engine's thread.
    Stop,
}

/// How current the data of an answer must be. The router sends an attempt only to endpoints of which it knows that; a
/// backend protocol that reports the position of each answer checks the answer as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Data of any age.
    Any,
    /// No older than this when the attempt is sent.
    MaxAge(TimeDelta),
    /// Including every commit before this point in time.
    CommittedSince(Timestamp),
}

/// What the engine wants done: by the backend pool, discovery or gossip.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<W> {
    /// Send an attempt.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request.
        attempt: u8,
        /// The endpoint's id, to be returned with what it reports about itself.
        endpoint: EndpointId,
        /// The endpoint's name.
        host: String,
        /// The work.
        work: W,
        /// When to stop waiting for the answer.
        until: Timestamp,
        /// The attempt must not be sent after this: an earlier attempt may have run, and its idempotency key is
        /// forgotten then.
        send_by: Option<Timestamp>,
        /// How current the data of the answer must be.
        freshness: Freshness,
    },
    /// Ask an endpoint for its load report.
    Probe {
        /// The endpoint's id, to be returned with the report.
        endpoint: EndpointId,
        /// The endpoint's name.
        host: String,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request.
        attempt: u8,
    },
    /// Endpoints that are new, changed or gone.
    UpdateEndpoints(Vec<EndpointChange>),
    /// Close idle connections to the endpoint with this name.
    CloseIdle(String),
    /// Send a gossip message to peers' routers.
    SendToPeers {
        /// The peer's number; `None`: all peers.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Fetch the whole endpoint list.
    FetchList,
    /// A peer has just observed the endpoint with this name: its connections need no probe before their first use.
    SkipInitialProbe(String),
    /// An endpoint has restarted or its log went back: observations should be read at once.
    ObservationsPending,
}
