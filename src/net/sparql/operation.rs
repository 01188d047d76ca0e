//! What a client asks for: a query or an update, as the SPARQL 1.1 Protocol puts them into HTTP.

use super::{CLASS, GROUP, KEY, POSITION, SESSION, TIME_LEFT};
use crate::net::http::codec::Head;
use crate::net::http::form;
use crate::net::http::server::Request;
use crate::routing::{GroupId, LogPosition, TimeDelta};

/// A refusal by the front itself: a status and its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub u16, pub String);

fn bad(why: impl Into<String>) -> Refusal {
    Refusal(400, why.into())
}

/// An operation on its way to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// It changes data.
    pub update: bool,
    method: &'static str,
    query: String,
    /// Headers that pass through: content negotiation and the body's type.
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// The class it names.
    pub class: Option<String>,
    /// The group it names.
    pub group: Option<GroupId>,
    /// Its session.
    pub session: Option<String>,
    /// Its key.
    pub key: Option<String>,
    /// How long the client waits.
    pub client_timeout: Option<TimeDelta>,
    /// The position that it has to see, as Unix time.
    pub position: Option<LogPosition>,
}

fn number(head: &Head, name: &str, most: i64) -> Result<Option<i64>, Refusal> {
    let Some(text) = head.get(name) else { return Ok(None) };
    let number =
        text.parse().ok().filter(|n| (0..=most).contains(n) && text.bytes().all(|b| b.is_ascii_digit()));
    number.map(Some).ok_or_else(|| bad(format!("{name}: {text:?} is no such value")))
}

fn word(head: &Head, name: &str) -> Result<Option<String>, Refusal> {
    match head.get(name) {
        Some(text) if text.is_empty() || text.len() > 256 => Err(bad(format!("{name}: no such value"))),
        text => Ok(text.map(str::to_string)),
    }
}

/// Reads an operation out of a request to the endpoint.
pub fn read(request: &Request) -> Result<Operation, Refusal> {
    let head = &request.head;
    let (_, query) = request.target();
    let malformed = |e: crate::net::http::codec::Malformed| bad(e.to_string());
    let in_url = form::pairs(query).map_err(malformed)?;
    let count = |pairs: &[(String, String)], name: &str| pairs.iter().filter(|(n, _)| n == name).count();
    let kind =
        head.get("content-type").unwrap_or("").split(';').next().unwrap_or("").trim().to_ascii_lowercase();
    let direct = |update| {
        if count(&in_url, "query") + count(&in_url, "update") > 0 {
            return Err(bad("an operation in the URL and one in the body"));
        }
        let text = std::str::from_utf8(&request.body).map_err(|_| bad("the operation is not UTF-8"))?;
        if text.trim().is_empty() {
            return Err(bad("the operation is empty"));
        }
        Ok(update)
    };
    let (method, update) = match (head.line[0].as_str(), kind.as_str()) {
        ("GET", _) => match (count(&in_url, "query"), count(&in_url, "update")) {
            (1, 0) => ("GET", false),
            (_, 1..) => return Err(bad("an update is not sent by GET")),
            _ => return Err(bad("a GET has one parameter named query")),
        },
        ("POST", "application/x-www-form-urlencoded") => {
            let text = std::str::from_utf8(&request.body).map_err(|_| bad("the form is not UTF-8"))?;
            let pairs = form::pairs(text).map_err(malformed)?;
            if count(&in_url, "query") + count(&in_url, "update") > 0 {
                return Err(bad("an operation in the URL and one in the body"));
            }
            match (count(&pairs, "query"), count(&pairs, "update")) {
                (1, 0) => ("POST", false),
                (0, 1) => ("POST", true),
                _ => return Err(bad("a form has one parameter, query or update")),
            }
        }
        ("POST", "application/sparql-query") => ("POST", direct(false)?),
        ("POST", "application/sparql-update") => ("POST", direct(true)?),
        ("POST", other) => return Err(Refusal(415, format!("{other:?} is no form of a SPARQL operation"))),
        (other, _) => return Err(Refusal(405, format!("{other} is not used here"))),
    };
    // A host reads the URL and the body as the client wrote them; nothing is decoded and written anew.
    let passes = |n: &str| n.starts_with("accept") || matches!(n, "content-type" | "content-encoding");
    let headers = head.headers.iter().filter(|(n, _)| passes(&n.to_ascii_lowercase())).cloned().collect();
    Ok(Operation {
        update,
        method,
        query: query.to_string(),
        headers,
        body: if method == "GET" { Vec::new() } else { request.body.clone() },
        class: word(head, CLASS)?,
        group: number(head, GROUP, u32::MAX.into())?.map(|g| GroupId(g as u32)),
        session: word(head, SESSION)?,
        key: word(head, KEY)?,
        client_timeout: number(head, TIME_LEFT, 86_400_000)?.map(TimeDelta::from_millis),
        position: number(head, POSITION, i64::MAX / 1000)?.and_then(LogPosition::try_from_millis),
    })
}

impl Operation {
    /// The request as a host gets it: `since` is the position that its data has to see, as Unix time; `via` is who passes it on.
    pub fn request(
        &self,
        host: &str,
        path: &str,
        via: &str,
        left: TimeDelta,
        since: Option<LogPosition>,
    ) -> Vec<u8> {
        let question = if self.query.is_empty() { "" } else { "?" };
        let mut out = format!("{} {path}{question}{} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.query);
        let mut put = |name: &str, value: &str| out += &format!("{name}: {value}\r\n");
        self.headers.iter().for_each(|(n, v)| put(n, v));
        put("Via", via);
        put(TIME_LEFT, &left.as_millis().max(1).to_string());
        for (name, value) in [(CLASS, &self.class), (SESSION, &self.session), (KEY, &self.key)] {
            value.iter().for_each(|v| put(name, v));
        }
        self.group.iter().for_each(|g| put(GROUP, &g.to_string()));
        // Rounded up: a host that has applied all up to there has applied what is needed.
        since.iter().for_each(|t| put(POSITION, &((t.as_micros() + 999) / 1000).to_string()));
        if self.method == "POST" {
            put("Content-Length", &self.body.len().to_string());
        }
        out += "\r\n";
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

#[cfg(test)]
mod tests;
