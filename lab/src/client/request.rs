//! The requests of clients and their HTTP text.

use super::LoadProfile;
use crate::{LogPosition, Timestamp};
use std::time::Instant;

/// A client's request: what all its attempts have in common.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) group: u32,
    pub(super) is_write: bool,
    /// The position of the session's last write, if the request reads it.
    pub(super) own_write: Option<LogPosition>,
    pub(super) due_at: Timestamp,
    /// The deadline of the request; every attempt states the time left until it.
    pub(super) deadline: Instant,
    pub(super) earlier_attempts: u32,
}

/// One attempt of a request, as it is sent.
pub(super) struct Attempt {
    pub(super) request: Request,
    pub(super) sent_at: Timestamp,
    pub(super) required_position: Option<LogPosition>,
    pub(super) text: String,
}

impl Attempt {
    /// Creates the next attempt of a request; `client` is the client's index.
    pub(super) fn new(client: usize, profile: &LoadProfile, request: Request, now: Instant) -> Attempt {
        let text = request_text(client, &request, now);
        let sent_at = Timestamp::now();
        let required_position = match request.own_write {
            _ if request.is_write => None,
            Some(own_write) => Some(own_write),
            None => Some(LogPosition::at(sent_at) - profile.max_staleness),
        };
        Attempt { request, sent_at, required_position, text }
    }
}

fn request_text(client: usize, request: &Request, now: Instant) -> String {
    let Request { id, group, .. } = *request;
    let time_left_ms = request.deadline.saturating_duration_since(now).as_millis();
    let position = match request.own_write {
        Some(own_write) => format!("Brookpass-Position: {}\r\n", own_write.as_millis()),
        None => String::new(),
    };
    let headers = format!(
        "Host: lab\r\nBrookpass-Group: {group}\r\nBrookpass-Session: c{client}\r\n\
         Brookpass-Time-Left-Ms: {time_left_ms}\r\n{position}"
    );
    if !request.is_write {
        return format!("GET /sparql?query=SELECT%20r%23{id} HTTP/1.1\r\n{headers}\r\n");
    }
    let body = format!("INSERT r#{id}");
    format!(
        "POST /sparql HTTP/1.1\r\n{headers}Content-Type: application/sparql-update\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
