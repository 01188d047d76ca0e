//! Operations of clients: queries and updates in the HTTP forms of the SPARQL 1.1 Protocol (section 2).

use super::error::OperationError;
use super::headers::{CLASS, GROUP, KEY, POSITION, SESSION, TIME_LEFT};
use crate::ids::GroupId;
use crate::net::excerpt::excerpt;
use crate::net::http::form::decode_parameters;
use crate::net::http::head::Head;
use crate::net::http::server::Request;
use crate::time::{LogPosition, TimeDelta};

/// Limits the length of a class, session or key.
const MAX_NAME_BYTES: usize = 256;
/// Limits the timeout that a client may send, to one day, so that sums of times do not overflow.
const MAX_TIME_LEFT_MILLIS: i64 = 86_400_000;
/// Limits a log position to what can be represented in microseconds.
const MAX_POSITION_MILLIS: i64 = i64::MAX / 1000;

/// Media type of a body with URL-encoded parameters.
const FORM_TYPE: &str = "application/x-www-form-urlencoded";
/// Media type of a body that is a query.
const QUERY_TYPE: &str = "application/sparql-query";
/// Media type of a body that is an update.
const UPDATE_TYPE: &str = "application/sparql-update";

/// The two kinds of operations of the SPARQL 1.1 Protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Reads data.
    Query,
    /// Changes data.
    Update,
}

/// The HTTP method with which an operation was received and is forwarded.
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

/// An operation, with the values of the pooler's headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Whether the operation is a query or an update.
    pub kind: OperationKind,
    method: Method,
    /// The query string of the URL, as the client sent it.
    query_string: String,
    /// The forwarded headers: content negotiation, media type and content coding.
    headers: Vec<(String, String)>,
    /// The body, as the client sent it; empty for a GET.
    body: Vec<u8>,
    /// The class named by the client; `None` selects the front's default class.
    pub class: Option<String>,
    /// The group named by the client; `None` selects the front's default group.
    pub group: Option<GroupId>,
    /// The name of the client's session, if there is one.
    pub session: Option<String>,
    /// The idempotency key, if there is one.
    pub key: Option<String>,
    /// How long the client waits for the response; `None` if it sent no timeout.
    pub client_timeout: Option<TimeDelta>,
    /// The log position that the answer must include, in Unix time, if the client sent one.
    pub position: Option<LogPosition>,
}

/// The parts of a forwarded request that differ between the attempts of an operation.
#[derive(Clone, Copy, Debug)]
pub struct AttemptParameters<'a> {
    /// Value of the `Host` header: the endpoint's address.
    pub host: &'a str,
    /// URL path at which the endpoint accepts operations.
    pub path: &'a str,
    /// Value of the `Via` header: the received protocol version and the pooler's name.
    pub via: &'a str,
    /// How long the pooler waits for the response; sent as at least 1 ms.
    pub time_left: TimeDelta,
    /// The log position that the endpoint's data must have reached, in Unix time, if there is a requirement.
    pub required_position: Option<LogPosition>,
}

impl Operation {
    /// Parses a request that was sent to the path of operations.
    ///
    /// # Errors
    /// The request does not have one of the protocol's forms, or the value of a header is invalid.
    pub fn parse(request: &Request) -> Result<Operation, OperationError> {
        let head = &request.head;
        let (_, query_string) = request.path_and_query();
        let url = OperationCounts::decode(query_string)?;
        let (method, kind) = match head.method() {
            "GET" => (Method::Get, url.kind_of_get()?),
            "POST" => (Method::Post, kind_of_post(request, &url)?),
            other => return Err(OperationError::MethodNotAllowed(excerpt(other))),
        };
        let body = match method {
            Method::Get => Vec::new(),
            Method::Post => request.body.clone(),
        };
        // The order determines which error is reported if several headers are invalid.
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

    /// Whether the operation is an update.
    pub fn is_update(&self) -> bool {
        self.kind == OperationKind::Update
    }

    /// Encodes the request that is sent to an endpoint. Query string and body are those of the client, without decoding
    /// and encoding them again.
    pub fn encode(&self, parameters: AttemptParameters<'_>) -> Vec<u8> {
        let AttemptParameters { host, path, via, time_left, required_position } = parameters;
        let method = self.method.as_str();
        let separator = if self.query_string.is_empty() { "" } else { "?" };
        let mut head =
            format!("{method} {path}{separator}{} HTTP/1.1\r\nHost: {host}\r\n", self.query_string);
        let mut add_header = |name: &str, value: &str| head += &format!("{name}: {value}\r\n");
        for (name, value) in &self.headers {
            add_header(name, value);
        }
        add_header("Via", via);
        add_header(TIME_LEFT, &time_left.as_millis().max(1).to_string());
        for (name, value) in [(CLASS, &self.class), (SESSION, &self.session), (KEY, &self.key)] {
            if let Some(value) = value {
                add_header(name, value);
            }
        }
        if let Some(group) = self.group {
            add_header(GROUP, &group.to_string());
        }
        if let Some(position) = required_position {
            // Rounded up, so that an endpoint that has reached the rounded position has reached the required one.
            add_header(POSITION, &((position.as_micros() + 999) / 1000).to_string());
        }
        if self.method == Method::Post {
            add_header("Content-Length", &self.body.len().to_string());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How many `query` and `update` parameters a query string or a form has.
#[derive(Clone, Copy, Debug)]
struct OperationCounts {
    queries: usize,
    updates: usize,
}

impl OperationCounts {
    fn decode(text: &str) -> Result<OperationCounts, OperationError> {
        let mut counts = OperationCounts { queries: 0, updates: 0 };
        for (name, _) in decode_parameters(text)? {
            match name.as_str() {
                "query" => counts.queries += 1,
                "update" => counts.updates += 1,
                _ => {}
            }
        }
        Ok(counts)
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
        _ => Err(OperationError::UnsupportedMediaType(excerpt(&media_type))),
    }
}

/// Validates a request whose body is the operation itself, in contrast to a form.
fn check_direct_operation(request: &Request, url: &OperationCounts) -> Result<(), OperationError> {
    check_no_operation_in_url(url)?;
    let text = std::str::from_utf8(&request.body).map_err(|_| OperationError::OperationNotUtf8)?;
    if text.trim().is_empty() { Err(OperationError::EmptyOperation) } else { Ok(()) }
}

fn check_no_operation_in_url(url: &OperationCounts) -> Result<(), OperationError> {
    if url.is_empty() { Ok(()) } else { Err(OperationError::OperationInUrlAndBody) }
}

/// The headers of a client's request that are forwarded to endpoints unchanged.
fn forwarded_headers(head: &Head) -> Vec<(String, String)> {
    let is_forwarded = |name: &str| {
        let name = name.to_ascii_lowercase();
        name.starts_with("accept") || matches!(name.as_str(), "content-type" | "content-encoding")
    };
    head.headers.iter().filter(|(name, _)| is_forwarded(name)).cloned().collect()
}

/// Parses a header whose value is a decimal number from 0 to `max`; `None` if it is absent.
fn parse_number_header(head: &Head, header: &'static str, max: i64) -> Result<Option<i64>, OperationError> {
    let Some(text) = head.header(header) else { return Ok(None) };
    let has_only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if has_only_digits && number <= max => Ok(Some(number)),
        _ => Err(OperationError::InvalidNumber { header, value: excerpt(text) }),
    }
}

/// Parses a header whose value is a name of 1 to [`MAX_NAME_BYTES`] bytes; `None` if it is absent.
fn parse_name_header(head: &Head, header: &'static str) -> Result<Option<String>, OperationError> {
    let Some(text) = head.header(header) else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(OperationError::InvalidName(header));
    }
    Ok(Some(text.to_string()))
}

#[cfg(test)]
mod tests;
