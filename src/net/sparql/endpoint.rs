//! The endpoint side: sends operations to endpoints by the SPARQL protocol over HTTP, and receives their responses.

use super::operation::{AttemptParameters, Operation};
use super::response_head::{
    attempt_outcome, forwarded_headers, is_recent_enough, load_report, lost_commit_answer, replica_status,
    rolled_back_to,
};
use crate::config::Limits;
use crate::engine::Freshness;
use crate::net::answer_stream::StreamChunk;
use crate::net::backend_pool::{AttemptContext, BackendProtocol, ExchangeResult, ProbeOutcome, Probed};
use crate::net::http::body::BodyDecoder;
use crate::net::http::client::{BodyProgress, ServerConnection};
use crate::net::http::head::Head;
use crate::net::http::status;
use crate::net::until;
use crate::routing::{AttemptOutcome, LoadReport, ReplicaStatus};
use crate::time::{LogPosition, Timestamp};
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Name in the `Via` header if the pooler's own name has no character that is allowed there.
const DEFAULT_VIA_NAME: &str = "brookpass";

/// Fewest load report values with which a probe counts as successful; enough for role and position.
const MIN_PROBE_VALUES: u8 = 2;

/// The body of an endpoint's answer.
#[derive(Clone, Debug)]
pub enum AnswerBody {
    /// The complete body.
    Buffered(Vec<u8>),
    /// A body that is too long to be buffered, forwarded in chunks as they arrive.
    Streamed(Receiver<StreamChunk>),
}

/// An endpoint's answer, as the front sends it to the client.
#[derive(Clone, Debug)]
pub struct EndpointAnswer {
    /// Status code of the response to the client.
    pub status: u16,
    /// The forwarded headers, without those that frame the body.
    pub headers: Vec<(String, String)>,
    /// The body, complete or as a stream.
    pub body: AnswerBody,
}

/// The SPARQL protocol on connections to endpoints.
pub struct SparqlBackend {
    limits: Rc<Limits>,
    path: String,
    /// Value of the `Via` header (RFC 9110, section 7.6.3).
    via: String,
    report_fields: Vec<String>,
}

type OperationAttempt<'a> = AttemptContext<'a, Arc<Operation>, EndpointAnswer>;

/// A response whose head was read, and whose body may not be complete yet.
struct PendingResponse {
    head: Head,
    status: u16,
    framing: BodyDecoder,
    /// Outcome of the attempt if the body is received completely.
    outcome: AttemptOutcome,
    replica_status: Option<ReplicaStatus>,
    load_report: LoadReport,
    /// The log position to which the group was rolled back, if that lost the last commit of the session.
    rolled_back_to: Option<LogPosition>,
    /// Whether the connection can be used for another request once the body is complete.
    keeps_connection_open: bool,
}

impl PendingResponse {
    /// The result of an exchange whose response was read completely.
    fn into_completed(self, answer: Option<EndpointAnswer>) -> ExchangeResult<EndpointAnswer> {
        let reusable = self.keeps_connection_open;
        ExchangeResult { reusable, ..self.into_abandoned(answer) }
    }

    /// The result of an exchange whose response is not read to its end. The connection cannot be reused.
    fn into_abandoned(self, answer: Option<EndpointAnswer>) -> ExchangeResult<EndpointAnswer> {
        ExchangeResult {
            outcome: self.outcome,
            replica_status: self.replica_status,
            report: self.load_report,
            answer,
            reusable: false,
        }
    }

    /// The answer to the client, with this body.
    fn answer(&self, body: AnswerBody) -> EndpointAnswer {
        EndpointAnswer { status: self.status, headers: forwarded_headers(&self.head), body }
    }

    /// The answer that replaces the response if the group has lost the session's last commit.
    fn lost_commit_answer(&self) -> Option<EndpointAnswer> {
        self.rolled_back_to.filter(|_| self.outcome == AttemptOutcome::Served).map(lost_commit_answer)
    }
}

/// The value of the `Via` header. Characters of the pooler's name other than letters, digits, `-`, `_` and `.` are
/// removed: a line break in the name would add headers.
fn via_header(name: &str) -> String {
    let is_allowed = |character: &char| character.is_ascii_alphanumeric() || "-_.".contains(*character);
    let name: String = name.chars().filter(is_allowed).collect();
    format!("1.1 {}", if name.is_empty() { DEFAULT_VIA_NAME } else { &name })
}

impl SparqlBackend {
    /// `path` is the URL path at which endpoints accept operations, `name` identifies this pooler in the `Via` header,
    /// and `report_fields` names the load report fields that are read from responses.
    pub fn new(limits: Rc<Limits>, path: String, name: &str, report_fields: Vec<String>) -> SparqlBackend {
        SparqlBackend { limits, path, via: via_header(name), report_fields }
    }

    async fn send_and_receive(
        &self,
        connection: &mut ServerConnection,
        operation: &Operation,
        attempt: &OperationAttempt<'_>,
    ) -> io::Result<ExchangeResult<EndpointAnswer>> {
        let required_position = required_position(attempt);
        let request = operation.encode(AttemptParameters {
            host: connection.address(),
            path: &self.path,
            via: &self.via,
            time_left: attempt.time_left(),
            required_position,
        });
        connection.send(&request).await?;
        attempt.mark_sent();
        let mut response = self.read_head(connection, operation, required_position).await?;
        let mut body = Vec::new();
        while body.len() <= self.limits.http_answer_buffer_bytes {
            let progress = connection.read_body_part(&mut response.framing, &mut body, usize::MAX).await?;
            if progress == BodyProgress::Complete {
                return Ok(buffered_result(response, body));
            }
        }
        if response.outcome != AttemptOutcome::Served {
            return Ok(response.into_abandoned(None));
        }
        match response.lost_commit_answer() {
            Some(answer) => Ok(response.into_abandoned(Some(answer))),
            None => self.stream(connection, response, body, attempt).await,
        }
    }

    async fn read_head(
        &self,
        connection: &mut ServerConnection,
        operation: &Operation,
        required_position: Option<LogPosition>,
    ) -> io::Result<PendingResponse> {
        let head = connection.read_head(&self.limits).await?;
        let status = head.status()?;
        let replica_status = replica_status(&head);
        let framing = BodyDecoder::for_response(&head)?;
        let is_success = status < 300;
        let mut outcome = attempt_outcome(status);
        if outcome == AttemptOutcome::Served
            && is_success
            && !is_recent_enough(replica_status, required_position)
        {
            log::warn!("endpoint: response rejected: its data is older than the read allows");
            outcome = AttemptOutcome::Misdirected;
        }
        if outcome == AttemptOutcome::Served && framing.is_close_delimited() {
            // Such a response cannot be distinguished from a truncated one.
            log::warn!("endpoint: response rejected: neither Content-Length nor chunked transfer coding");
            outcome = AttemptOutcome::Error;
        }
        let session_commit = operation.position.filter(|_| !operation.is_update() && is_success);
        Ok(PendingResponse {
            status,
            outcome,
            replica_status,
            load_report: load_report(&head, &self.report_fields),
            rolled_back_to: rolled_back_to(replica_status, session_commit),
            keeps_connection_open: head.response_keeps_connection_open() && !framing.is_close_delimited(),
            framing,
            head,
        })
    }

    /// Streams a long answer to the client. Once it has started, the attempt cannot be retried.
    async fn stream(
        &self,
        connection: &mut ServerConnection,
        mut response: PendingResponse,
        body: Vec<u8>,
        attempt: &OperationAttempt<'_>,
    ) -> io::Result<ExchangeResult<EndpointAnswer>> {
        let (chunks, received_chunks) = async_channel::bounded(self.limits.answer_chunks);
        attempt.start_response(response.answer(AnswerBody::Streamed(received_chunks))).await;
        response.outcome = self.forward_body(connection, &mut response.framing, body, &chunks).await;
        if response.outcome == AttemptOutcome::Served {
            Ok(response.into_completed(None))
        } else {
            Ok(response.into_abandoned(None))
        }
    }

    /// Forwards a body until it is complete, and returns the outcome of the attempt. `body` holds the data that was
    /// decoded so far.
    async fn forward_body(
        &self,
        connection: &mut ServerConnection,
        framing: &mut BodyDecoder,
        mut body: Vec<u8>,
        chunks: &Sender<StreamChunk>,
    ) -> AttemptOutcome {
        loop {
            if !body.is_empty() {
                let data = StreamChunk::Data(std::mem::take(&mut body));
                if chunks.send(data).await.is_err() {
                    return AttemptOutcome::Cancelled;
                }
            }
            let read = connection.read_body_part(framing, &mut body, usize::MAX);
            match until(Instant::now() + self.limits.backend_stall_timeout, read).await {
                Some(Ok(BodyProgress::Partial)) => {}
                Some(Ok(BodyProgress::Complete)) => break,
                Some(Err(_)) | None => return AttemptOutcome::Reset,
            }
        }
        // The response is complete, so a client that has disconnected in the meantime does not change the outcome.
        if !body.is_empty() {
            let _ = chunks.send(StreamChunk::Data(body)).await;
        }
        let _ = chunks.send(StreamChunk::End).await;
        AttemptOutcome::Served
    }
}

/// The log position that the data of the response must have reached; `None` if any data is fresh enough. A maximum age
/// counts back from the time at which the request is sent, since the position is part of the request.
fn required_position(attempt: &OperationAttempt<'_>) -> Option<LogPosition> {
    let commit_time = match attempt.freshness {
        Freshness::Any => return None,
        Freshness::MaxAge(age) => attempt.now() - age,
        Freshness::CommittedSince(time) => time,
    };
    Some(LogPosition::of_commit(commit_time, Timestamp::ZERO))
}

/// The result of an exchange whose body was buffered completely.
fn buffered_result(response: PendingResponse, body: Vec<u8>) -> ExchangeResult<EndpointAnswer> {
    if response.outcome != AttemptOutcome::Served {
        return response.into_completed(None);
    }
    let answer = match response.lost_commit_answer() {
        Some(answer) => answer,
        None => response.answer(AnswerBody::Buffered(body)),
    };
    response.into_completed(Some(answer))
}

/// Whether an endpoint that answers a probe with this status cannot process any request at present.
fn rejects_all_requests(status: u16) -> bool {
    status >= status::INTERNAL_SERVER_ERROR || status == status::TOO_MANY_REQUESTS
}

impl BackendProtocol for SparqlBackend {
    type Request = Arc<Operation>;
    type Answer = EndpointAnswer;
    type Connection = ServerConnection;

    async fn handshake(&self, stream: Async<TcpStream>) -> Result<ServerConnection, AttemptOutcome> {
        Ok(ServerConnection::new(stream))
    }

    fn is_silent(&self, connection: &ServerConnection) -> bool {
        connection.is_silent()
    }

    fn probes_before_first_use(&self) -> bool {
        true
    }

    async fn probe(&self, connection: &mut ServerConnection) -> Probed {
        let request = format!(
            "GET {}?query=ASK%20%7B%7D HTTP/1.1\r\nHost: {}\r\nVia: {}\r\n\r\n",
            self.path,
            connection.address(),
            self.via
        );
        let Ok(response) = connection.call(request.as_bytes(), &self.limits).await else {
            return Probed::UNANSWERED;
        };
        let report = load_report(&response.head, &self.report_fields);
        let outcome = if report.count >= MIN_PROBE_VALUES {
            ProbeOutcome::Reported(report)
        } else if response.head.status().is_ok_and(rejects_all_requests) {
            ProbeOutcome::Unanswered
        } else {
            ProbeOutcome::Unsupported
        };
        Probed { outcome, reusable: response.is_reusable }
    }

    async fn exchange(
        &self,
        connection: &mut ServerConnection,
        operation: &Arc<Operation>,
        attempt: &OperationAttempt<'_>,
    ) -> ExchangeResult<EndpointAnswer> {
        let error = match self.send_and_receive(connection, operation, attempt).await {
            Ok(result) => return result,
            Err(error) => error,
        };
        log::debug!("endpoint: exchange failed: {error}");
        // After a malformed response the operation may have been executed. The connection itself did not fail.
        let is_malformed = attempt.was_sent() && error.kind() == io::ErrorKind::InvalidData;
        let outcome = if is_malformed { AttemptOutcome::Error } else { attempt.connection_lost() };
        ExchangeResult::outcome_only(outcome)
    }
}

#[cfg(test)]
mod tests;
