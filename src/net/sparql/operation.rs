//! A client's operation: a query or an update, as the SPARQL 1.1 Protocol (section 2) puts them into HTTP.

use super::error::OperationError;
use super::headers::{CLASS, GROUP, KEY, POSITION, SESSION, TIME_LEFT};
use crate::ids::GroupId;
use crate::net::http::form::decode_parameters;
use crate::net::http::head::Head;
use crate::net::http::server::Request;
use crate::time::{LogPosition, TimeDelta};

/// The longest class, session or key.
const MAX_NAME_BYTES: usize = 256;
/// The longest time that a client may state: a day. A bound keeps sums of times from overflowing.
const MAX_TIME_LEFT_MILLIS: i64 = 86_400_000;
/// The latest position whose microseconds can be counted.
const MAX_POSITION_MILLIS: i64 = i64::MAX / 1000;

/// The media type of parameters in a body.
const FORM_TYPE: &str = "application/x-www-form-urlencoded";
/// The media type of a body that is a query.
const QUERY_TYPE: &str = "application/sparql-query";
/// The media type of a body that is an update.
const UPDATE_TYPE: &str = "application/sparql-update";

/// What an operation does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// It reads.
    Query,
    /// It changes data.
    Update,
}

/// The method that an operation came by, and is forwarded by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    Get,
    Post,
}

impl Method {
    fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
        }
    }
}

/// An operation with what its headers say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Whether it changes data.
    pub kind: OperationKind,
    method: Method,
    /// The query string as the client wrote it.
    query_string: String,
    /// Headers that pass through: content negotiation, type and coding of the body.
    headers: Vec<(String, String)>,
    /// The body as the client wrote it.
    body: Vec<u8>,
    /// The class that it names.
    pub class: Option<String>,
    /// The group that it names.
    pub group: Option<GroupId>,
    /// Its session.
    pub session: Option<String>,
    /// Its idempotency key.
    pub key: Option<String>,
    /// How long the client waits.
    pub client_timeout: Option<TimeDelta>,
    /// The position that its answer has to include, in Unix time.
    pub position: Option<LogPosition>,
}

/// What differs between the attempts of an operation.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParameters<'a> {
    /// Address of the host, for the `Host` header.
    pub host: &'a str,
    /// Path of the operation endpoint there.
    pub path: &'a str,
    /// The `Via` header: protocol version and name of this daemon.
    pub via: &'a str,
    /// How long this daemon waits, stated as at least 1 ms.
    pub time_left: TimeDelta,
    /// The position that the host's data must have reached, in Unix time.
    pub required_position: Option<LogPosition>,
}

impl Operation {
    /// Reads an operation out of a request to the operation endpoint.
    ///
    /// # Errors
    /// The request is not one of the protocol's forms, or a header is out of form.
    pub fn parse(request: &Request) -> Result<Operation, OperationError> {
        let head = &request.head;
        let (_, query_string) = request.path_and_query();
        let url = OperationCounts::decode(query_string)?;
        let (method, kind) = match head.method() {
            "GET" => (Method::Get, url.kind_of_get()?),
            "POST" => (Method::Post, kind_of_post(request, &url)?),
            other => return Err(OperationError::MethodNotAllowed(other.to_string())),
        };
        let body = match method {
            Method::Get => Vec::new(),
            Method::Post => request.body.clone(),
        };
        // In this order: of several headers that are out of form, the first one here is reported.
        let class = parse_name_header(head, CLASS)?;
        let group = parse_number_header(head, GROUP, i64::from(u32::MAX))?;
        let session = parse_name_header(head, SESSION)?;
        let key = parse_name_header(head, KEY)?;
        let time_left = parse_number_header(head, TIME_LEFT, MAX_TIME_LEFT_MILLIS)?;
        let position = parse_number_header(head, POSITION, MAX_POSITION_MILLIS)?;
        Ok(Operation {
            kind,
            method,
            query_string: query_string.to_string(),
            headers: forwarded_headers(head),
            body,
            class,
            group: group.and_then(|number| u32::try_from(number).ok()).map(GroupId),
            session,
            key,
            client_timeout: time_left.map(TimeDelta::from_millis),
            position: position.and_then(LogPosition::try_from_millis),
        })
    }

    /// Whether it changes data.
    pub fn is_update(&self) -> bool {
        self.kind == OperationKind::Update
    }

    /// The request as a host receives it. URL and body are as the client wrote them: nothing is decoded and encoded
    /// again.
    pub fn encode(&self, to: AttemptParameters<'_>) -> Vec<u8> {
        let AttemptParameters { host, path, via, time_left, required_position } = to;
        let method = self.method.as_str();
        let separator = if self.query_string.is_empty() { "" } else { "?" };
        let mut out = format!("{method} {path}{separator}{} HTTP/1.1\r\nHost: {host}\r\n", self.query_string);
        let mut put = |name: &str, value: &str| out += &format!("{name}: {value}\r\n");
        for (name, value) in &self.headers {
            put(name, value);
        }
        put("Via", via);
        put(TIME_LEFT, &time_left.as_millis().max(1).to_string());
        for (name, value) in [(CLASS, &self.class), (SESSION, &self.session), (KEY, &self.key)] {
            if let Some(value) = value {
                put(name, value);
            }
        }
        if let Some(group) = self.group {
            put(GROUP, &group.to_string());
        }
        if let Some(position) = required_position {
            // Rounded up: a host that has applied everything up to there has applied what is required.
            put(POSITION, &((position.as_micros() + 999) / 1000).to_string());
        }
        if self.method == Method::Post {
            put("Content-Length", &self.body.len().to_string());
        }
        out += "\r\n";
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How often a query string or a form holds an operation.
#[derive(Clone, Copy, Debug)]
struct OperationCounts {
    queries: usize,
    updates: usize,
}

impl OperationCounts {
    fn decode(text: &str) -> Result<OperationCounts, OperationError> {
        let mut counted = OperationCounts { queries: 0, updates: 0 };
        for (name, _) in decode_parameters(text)? {
            match name.as_str() {
                "query" => counted.queries += 1,
                "update" => counted.updates += 1,
                _ => {}
            }
        }
        Ok(counted)
    }

    fn kind_of_get(self) -> Result<OperationKind, OperationError> {
        match (self.queries, self.updates) {
            (1, 0) => Ok(OperationKind::Query),
            (_, 1..) => Err(OperationError::UpdateByGet),
            _ => Err(OperationError::GetWithoutQuery),
        }
    }

    fn kind_of_form(self) -> Result<OperationKind, OperationError> {
        match (self.queries, self.updates) {
            (1, 0) => Ok(OperationKind::Query),
            (0, 1) => Ok(OperationKind::Update),
            _ => Err(OperationError::FormWithoutOperation),
        }
    }

    fn is_empty(self) -> bool {
        self.queries + self.updates == 0
    }
}

fn kind_of_post(request: &Request, url: &OperationCounts) -> Result<OperationKind, OperationError> {
    let content_type = request.head.header("content-type").unwrap_or("");
    let media_type = content_type.split(';').next().unwrap_or("").trim().to_ascii_lowercase();
    match media_type.as_str() {
        FORM_TYPE => {
            let text = std::str::from_utf8(&request.body).map_err(|_| OperationError::FormNotUtf8)?;
            let form = OperationCounts::decode(text)?;
            check_no_operation_in_url(url)?;
            form.kind_of_form()
        }
        QUERY_TYPE => check_direct_operation(request, url).map(|()| OperationKind::Query),
        UPDATE_TYPE => check_direct_operation(request, url).map(|()| OperationKind::Update),
        _ => Err(OperationError::UnsupportedMediaType(media_type)),
    }
}

/// Checks a body that is the operation itself.
fn check_direct_operation(request: &Request, url: &OperationCounts) -> Result<(), OperationError> {
    check_no_operation_in_url(url)?;
    let text = std::str::from_utf8(&request.body).map_err(|_| OperationError::OperationNotUtf8)?;
    if text.trim().is_empty() { Err(OperationError::EmptyOperation) } else { Ok(()) }
}

fn check_no_operation_in_url(url: &OperationCounts) -> Result<(), OperationError> {
    if url.is_empty() { Ok(()) } else { Err(OperationError::OperationInUrlAndBody) }
}

/// The headers of a request that a host receives as they are.
fn forwarded_headers(head: &Head) -> Vec<(String, String)> {
    let is_forwarded = |name: &str| {
        let name = name.to_ascii_lowercase();
        name.starts_with("accept") || matches!(name.as_str(), "content-type" | "content-encoding")
    };
    head.headers.iter().filter(|(name, _)| is_forwarded(name)).cloned().collect()
}

/// A header that holds a number of digits alone, of `max` at most.
fn parse_number_header(head: &Head, header: &'static str, max: i64) -> Result<Option<i64>, OperationError> {
    let Some(text) = head.header(header) else { return Ok(None) };
    let has_only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if has_only_digits && number <= max => Ok(Some(number)),
        _ => Err(OperationError::InvalidNumber { header, value: text.to_string() }),
    }
}

/// A header that holds a name.
fn parse_name_header(head: &Head, header: &'static str) -> Result<Option<String>, OperationError> {
    let Some(text) = head.header(header) else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(OperationError::InvalidName(header));
    }
    Ok(Some(text.to_string()))
}

#[cfg(test)]
mod tests;
