//! Interprets the head of an endpoint's response: the outcome of the attempt, the state of the endpoint, and whether a
//! commit of the client's session was lost.

use super::endpoint::{AnswerBody, EndpointAnswer};
use super::headers::{LOAD, POSITION, ROLE};
use crate::engine::load_report::build_load_report;
use crate::net::backend_pool::load_report_value;
use crate::net::http::head::Head;
use crate::net::http::status;
use crate::routing::{AttemptOutcome, LoadReport, ReplicaStatus};
use crate::time::LogPosition;

/// Load report field that is taken from [`POSITION`]: the endpoint's log position in seconds of Unix time.
const POSITION_FIELD: &str = "x0";
/// Load report field that is taken from [`ROLE`]: 1 for a primary, 0 for a replica.
const ROLE_FIELD: &str = "x1";

/// Headers that are not forwarded because they apply to one connection only (RFC 9110, section 7.6.1), and
/// Content-Length, which the front sets itself.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];
/// Headers of endpoints that are meant for the pooler and not forwarded.
const POOLER_HEADERS: [&str; 2] = ["brookpass-load", "brookpass-role"];

/// The role and log position that an endpoint reports; `None` if it reports no role. A missing or invalid position is
/// [`LogPosition::UNKNOWN`].
pub(super) fn replica_status(head: &Head) -> Option<ReplicaStatus> {
    let primary = match head.header(ROLE)? {
        "primary" => true,
        "replica" => false,
        _ => return None,
    };
    let reported = head.header(POSITION).and_then(|millis| millis.parse().ok());
    let position = reported.and_then(LogPosition::try_from_millis).unwrap_or(LogPosition::UNKNOWN);
    // A position before the start of Unix time counts as unknown.
    Some(ReplicaStatus { primary, position: position.max(LogPosition::UNKNOWN) })
}

/// The load report of an endpoint, with the values of the given fields.
pub(super) fn load_report(head: &Head, fields: &[String]) -> LoadReport {
    let replica_status = replica_status(head);
    build_load_report(fields, |name| match name {
        POSITION_FIELD => replica_status.map(|status| status.position.as_micros() as f64 / 1e6),
        ROLE_FIELD => replica_status.map(|status| f64::from(u8::from(status.primary))),
        name => load_report_value(head.header(LOAD).unwrap_or(""), name),
    })
}

/// The outcome of an attempt by the status code of its response. A response about the operation itself, for example
/// that the query has a syntax error or that no acceptable media type is available, is forwarded to the client.
pub(super) fn attempt_outcome(status: u16) -> AttemptOutcome {
    match status {
        status::PRECONDITION_FAILED | status::MISDIRECTED_REQUEST => AttemptOutcome::Misdirected,
        status::TOO_MANY_REQUESTS | status::SERVICE_UNAVAILABLE => AttemptOutcome::Overloaded,
        // The endpoint did not receive the complete request, so this is not a response to the operation.
        status::REQUEST_TIMEOUT => AttemptOutcome::Error,
        200..=299 | 400..=499 => AttemptOutcome::Served,
        _ => AttemptOutcome::Error,
    }
}

/// Whether the data of a response reaches the required log position. The data of a primary always does. A replica must
/// prove it by the position in this response; its earlier reports do not count.
pub(super) fn is_recent_enough(
    replica_status: Option<ReplicaStatus>,
    required_position: Option<LogPosition>,
) -> bool {
    let Some(required) = required_position else { return true };
    let Some(status) = replica_status else { return false };
    status.primary || status.position.is_known() && status.position >= required
}

/// The log position of a primary that does not have the last commit of a session: the group was rolled back to this
/// position and has lost what the session wrote after it. `None` if the primary has the commit, and for a replica,
/// which may merely lag.
pub(super) fn rolled_back_to(
    replica_status: Option<ReplicaStatus>,
    session_commit: Option<LogPosition>,
) -> Option<LogPosition> {
    let status = replica_status.filter(|status| status.primary && status.position.is_known())?;
    status.position.lacks(session_commit?).then_some(status.position)
}

/// The answer to a read of a session whose last commit was lost because its group was rolled back to `position`. With
/// older data the client would assume that its own write is included.
pub(super) fn lost_commit_answer(position: LogPosition) -> EndpointAnswer {
    let position = position.as_millis().to_string();
    let text =
        format!("what this session wrote after position {position} is lost: its group went back to there");
    EndpointAnswer {
        status: status::PRECONDITION_FAILED,
        headers: vec![(POSITION.into(), position)],
        body: AnswerBody::Buffered(text.into_bytes()),
    }
}

/// The headers of an endpoint's response that are forwarded to the client.
pub(super) fn forwarded_headers(head: &Head) -> Vec<(String, String)> {
    head.headers.iter().filter(|(name, _)| is_forwarded(name)).cloned().collect()
}

fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    let is_dropped = HOP_BY_HOP_HEADERS.contains(&name.as_str()) || POOLER_HEADERS.contains(&name.as_str());
    !is_dropped && !name.starts_with("proxy-")
}

#[cfg(test)]
mod tests;
