//! The inputs of the engine and its outputs.
//!
//! `W` is the work of a request, which is sent to an endpoint, and `A` is its answer. Both are opaque to the engine.

use super::admission::AdmissionPolicy;
use super::endpoints::{EndpointState, EndpointUpdate};
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

/// Whether the deadline of a request had passed when the request got its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadlineStatus {
    /// The deadline had not passed, or the request was answered for a reason that does not depend on it.
    Pending,
    /// The deadline had passed.
    Passed,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<A> {
    /// An endpoint served the request; carries the endpoint's answer.
    Served(A),
    /// Rejected before any endpoint ran it, so a retry is safe.
    Rejected {
        /// How long the client should wait before it tries again; `None` if it may try again at any time.
        retry_after: Option<TimeDelta>,
        /// Whether the request's deadline had passed when it was answered.
        deadline: DeadlineStatus,
    },
    /// Failed; an endpoint may or may not have run the request.
    Failed {
        /// Whether the request's deadline had passed when it was answered.
        deadline: DeadlineStatus,
    },
    /// No endpoint list so far has contained the request's group.
    UnknownGroup,
}

/// A client's request, as a client connection submits it to the engine.
#[derive(Clone, Debug)]
pub struct Submission<W, A> {
    /// The request in the form that the router expects, with the id that the engine's handle assigned.
    pub request: IncomingRequest,
    /// When the client stops waiting for an answer.
    pub deadline: Timestamp,
    /// The work, which is sent to an endpoint.
    pub work: W,
    /// Where the engine sends the final answer.
    pub reply: Sender<FinalAnswer<A>>,
}

/// How an attempt ended, as the backend pool reports it.
#[derive(Clone, Debug)]
pub struct AttemptReport<A> {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u8,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The role and log position that the endpoint reported with its answer; `None` if it reported none.
    pub replica_status: Option<ReplicaStatus>,
    /// The load report that came with the answer; empty if there was none.
    pub load_report: LoadReport,
    /// The endpoint's answer; `None` if the attempt was not served, or if the answer was already handed over by
    /// [`Input::ResponseStarted`].
    pub answer: Option<A>,
}

/// Inputs from client connections, the backend pool and peers. The engine handles them in order of arrival.
#[derive(Clone, Debug)]
pub enum Input<W, A> {
    /// A client submitted a request.
    Request(Submission<W, A>),
    /// The client of a request has disconnected.
    RequestCancelled(RequestId),
    /// An endpoint has started to send an answer that is too long to buffer. The answer is handed to the client now,
    /// and [`Input::AttemptFinished`] follows when the stream ends.
    ResponseStarted {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u8,
        /// The answer, the rest of which is streamed.
        answer: A,
    },
    /// An attempt ended.
    AttemptFinished(AttemptReport<A>),
    /// A health check of an endpoint ended.
    ProbeFinished {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// When the probe was sent, or the connection for it was requested.
        sent_at: Timestamp,
        /// The endpoint's load report; `None` if the probe failed.
        report: Option<LoadReport>,
    },
    /// A gossip message from a peer's router.
    PeerMessage {
        /// The number of the peer that sent it.
        from: u16,
        /// The encoded message, which only the router decodes.
        bytes: Vec<u8>,
    },
}

/// An observation of an endpoint that was made by a peer, or by this process before it was restarted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerObservation {
    /// The name of the observed endpoint.
    pub endpoint_name: String,
    /// Whether the endpoint reported that it is the primary.
    pub primary: bool,
    /// The log position that the endpoint reported; [`LogPosition::UNKNOWN`] if it reported none.
    pub position: LogPosition,
    /// When the observation was made, converted to this process's clock.
    pub observed_at: Timestamp,
    /// Whether the observation is recent enough to replace this process's own poll. An older one only proves that the
    /// endpoint's log once reached `position`.
    pub replaces_poll: bool,
}

/// The poolers that share the polling of endpoints; see [`super::poll_scheduler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollParticipants {
    /// The node id of this process.
    pub local: NodeId,
    /// The peers from which this process currently receives messages.
    pub peers: Vec<NodeId>,
}

/// Control messages, which the engine handles before any waiting [`Input`].
#[derive(Clone, Debug)]
pub enum Control {
    /// A new endpoint list, or changes to the last one.
    EndpointList {
        /// The whole list or the changes.
        list: EndpointUpdate,
        /// Whether the list was stored before this process started, and so may be out of date.
        cached: bool,
    },
    /// The source of the endpoint list does not respond. The next list ends this.
    EndpointListUnconfirmed,
    /// Requests the current values of the gauges.
    Gauges(Sender<Gauges>),
    /// Requests the observations of endpoints since the last such message.
    Observations(Sender<Vec<Observation>>),
    /// Requests the recent attempt outcomes of each endpoint, keyed by endpoint name.
    OutcomeCounts(Sender<BTreeMap<String, OutcomeCounts>>),
    /// Cancels overdue reads in flight at the named endpoints, so that the router retries them elsewhere.
    CancelOverdueReads(BTreeSet<String>),
    /// Observations that were made by peers, or by this process before it was restarted.
    PeerObservations(Vec<PeerObservation>),
    /// Sets the admission policy; with `None`, every request is admitted.
    SetAdmission(Option<AdmissionPolicy>),
    /// Sets the poolers that share the polling of endpoints; with `None`, this process polls for itself alone.
    SetPollParticipants(Option<PollParticipants>),
    /// Gives every open request its final answer and rejects all later ones. Sent when the process is about to exit.
    FinishAll,
    /// Ends the engine's thread.
    Stop,
}

/// How current the data of an answer must be. The router sends an attempt only to endpoints that are known to be
/// current enough. A backend protocol that reports the log position of each answer checks the answer as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Data of any age.
    Any,
    /// The data is at most this old when the attempt is sent.
    MaxAge(TimeDelta),
    /// The data includes every commit made before this time.
    CommittedSince(Timestamp),
}

/// Instructions of the engine to the backend pool, discovery or gossip.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<W> {
    /// Send an attempt to an endpoint.
    SendAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u8,
        /// The endpoint's id, to be returned with what the endpoint reports about itself.
        endpoint: EndpointId,
        /// The endpoint's name, which is its key in the backend pool.
        endpoint_name: String,
        /// The work of the request.
        work: W,
        /// When to stop waiting for the answer.
        deadline: Timestamp,
        /// The attempt must not be sent after this time: an earlier attempt may have run, and endpoints then forget the
        /// request's idempotency key, so it might run twice. `None` if there is no such limit.
        send_by: Option<Timestamp>,
        /// How current the data of the answer has to be.
        freshness: Freshness,
        /// The last time at which the endpoint's known position proves that its data is that current; `None` if there is
        /// no such limit.
        fresh_until: Option<Timestamp>,
    },
    /// Request an endpoint's load report.
    Probe {
        /// The endpoint's id, to be returned with the report.
        endpoint: EndpointId,
        /// The endpoint's name, which is its key in the backend pool.
        endpoint_name: String,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u8,
    },
    /// Update the backend pool's endpoints: these are new, changed or gone.
    UpdateEndpoints(Vec<EndpointState>),
    /// Close the idle connections to the endpoint with this name.
    CloseIdle(String),
    /// Send a gossip message to the routers of peers.
    SendToPeers {
        /// The number of the peer; `None` for all peers.
        to: Option<u16>,
        /// The message, as the router encoded it.
        bytes: Vec<u8>,
    },
    /// Fetch the whole endpoint list from discovery.
    FetchList,
    /// Skip the probe before the first use of connections to the endpoint with this name, since a peer has just
    /// observed it.
    SkipInitialProbe(String),
    /// Read the observations at once, since an endpoint has restarted or its log went back.
    ObservationsPending,
}
