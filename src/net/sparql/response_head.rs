//! What the head of a host's response means: for the attempt, about the host, and for the session of the client.

use super::endpoint::{AnswerBody, EndpointAnswer};
use super::headers::{LOAD, POSITION, ROLE};
use crate::engine::load_report::build_load_report;
use crate::net::backend_pool::load_report_value;
use crate::net::http::head::Head;
use crate::net::http::status;
use crate::routing::{AttemptOutcome, LoadReport, ReplicaStatus};
use crate::time::LogPosition;

/// Field of a load report that the pooler fills in itself: the position in seconds of Unix time.
const POSITION_FIELD: &str = "x0";
/// Field of a load report that the pooler fills in itself: 1 for a primary, 0 for a replica.
const ROLE_FIELD: &str = "x1";

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and the length, which the front states itself.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];
/// Headers of hosts that are meant for the pooler alone.
const POOLER_HEADERS: [&str; 2] = ["brookpass-load", "brookpass-role"];

/// Role and log position that a host states; `None` where it states no role.
pub(super) fn replica_status(head: &Head) -> Option<ReplicaStatus> {
    let primary = match head.header(ROLE)? {
        "primary" => true,
        "replica" => false,
        _ => return None,
    };
    let stated = head.header(POSITION).and_then(|millis| millis.parse().ok());
    let position = stated.and_then(LogPosition::try_from_millis).unwrap_or(LogPosition::UNKNOWN);
    // A position before the zero of Unix time is none.
    Some(ReplicaStatus { primary, position: position.max(LogPosition::UNKNOWN) })
}

/// The load report of a host, with the values of `fields`.
pub(super) fn load_report(head: &Head, fields: &[String]) -> LoadReport {
    let replica_status = replica_status(head);
    build_load_report(fields, |name| match name {
        POSITION_FIELD => replica_status.map(|status| status.position.as_micros() as f64 / 1e6),
        ROLE_FIELD => replica_status.map(|status| f64::from(u8::from(status.primary))),
        name => load_report_value(head.header(LOAD).unwrap_or(""), name),
    })
}

/// What a status means for the attempt. A response about the operation itself (a query that does not parse, a type that
/// is not offered) is the client's.
pub(super) fn attempt_outcome(status: u16) -> AttemptOutcome {
    match status {
        status::PRECONDITION_FAILED | status::MISDIRECTED_REQUEST => AttemptOutcome::Misdirected,
        status::TOO_MANY_REQUESTS | status::SERVICE_UNAVAILABLE => AttemptOutcome::Overloaded,
        // The host has not received the request completely: that is no response to the operation.
        status::REQUEST_TIMEOUT => AttemptOutcome::Error,
        200..=299 | 400..=499 => AttemptOutcome::Served,
        _ => AttemptOutcome::Error,
    }
}

/// Whether the data of a response is as recent as it has to be. A primary has everything; from a replica only a
/// position that came with this very response counts.
pub(super) fn is_recent_enough(
    replica_status: Option<ReplicaStatus>,
    required_position: Option<LogPosition>,
) -> bool {
    let Some(required) = required_position else { return true };
    let Some(status) = replica_status else { return false };
    status.primary || status.position.is_known() && status.position >= required
}

/// The position up to which a primary has its group's log, where it lacks the last commit of a session: the group has
/// lost what the session wrote.
pub(super) fn rolled_back_to(
    replica_status: Option<ReplicaStatus>,
    session_commit: Option<LogPosition>,
) -> Option<LogPosition> {
    let status = replica_status.filter(|status| status.primary && status.position.is_known())?;
    (status.position < session_commit?).then_some(status.position)
}

/// The answer to a read whose session wrote what its group has lost: older data would be taken for the session's own.
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

/// The headers of a host's response that its client receives.
pub(super) fn forwarded_headers(head: &Head) -> Vec<(String, String)> {
    head.headers.iter().filter(|(name, _)| is_forwarded(name)).cloned().collect()
}

fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    let is_internal = HOP_BY_HOP_HEADERS.contains(&name.as_str()) || POOLER_HEADERS.contains(&name.as_str());
    !is_internal && !name.starts_with("proxy-")
}

#[cfg(test)]
mod tests;
