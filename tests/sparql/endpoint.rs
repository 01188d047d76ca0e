//! A stand-in endpoint that speaks SPARQL over HTTP.

use super::stand_in::http::{HttpMessage, read_http_message};
use super::stand_in::network::spawn_server;
use super::stand_in::waiting::now_ms;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a stand-in endpoint does with an operation.
pub enum Reply {
    Answer {
        status: u16,
        content_type: &'static str,
        body: String,
    },
    /// An answer that states this position, whatever the position of the endpoint's data is.
    AnswerAtPosition {
        position_ms: i64,
        body: String,
    },
    /// No answer; the endpoint closes the connection.
    Close,
    /// No answer; the connection stays open until the other side closes it.
    NoResponse,
    /// A complete answer of this length.
    LongAnswer {
        length: usize,
    },
    /// An answer that states this length, without its last byte; the endpoint closes the connection.
    TruncatedAnswer {
        length: usize,
    },
    /// An answer that states this length, without its last byte; the connection stays open until the other
    /// side closes it.
    StalledAnswer {
        length: usize,
    },
    /// An answer that states no length, and a reset of the connection.
    ResetWithoutLength,
}

impl Reply {
    /// An answer with a text.
    pub fn text(status: u16, body: &str) -> Reply {
        Reply::Answer { status, content_type: "text/plain", body: body.to_string() }
    }
}

/// An endpoint that speaks SPARQL over HTTP and answers from whatever data it has. Unless a test says
/// otherwise, an answer's body is the position of the data that it was made from.
pub struct SparqlEndpoint {
    pub address: SocketAddr,
    pub is_primary: Arc<AtomicBool>,
    /// How far the endpoint's data is behind, in milliseconds.
    pub lag_ms: Arc<AtomicI64>,
    operations: Arc<Mutex<Vec<HttpMessage>>>,
    /// A message for each operation that was left unanswered: whether the other side then closed the
    /// connection.
    pub closed_connections: Receiver<bool>,
}

impl SparqlEndpoint {
    /// A primary that answers every operation.
    pub fn primary() -> SparqlEndpoint {
        SparqlEndpoint::primary_replying(|_| None)
    }

    /// A replica that answers every query from data that is this far behind.
    pub fn replica(lag_ms: i64) -> SparqlEndpoint {
        SparqlEndpoint::replica_replying(lag_ms, |_| None)
    }

    /// A primary that replies like this; `None`: as usual.
    pub fn primary_replying(
        reply: impl Fn(&HttpMessage) -> Option<Reply> + Send + Sync + 'static,
    ) -> SparqlEndpoint {
        SparqlEndpoint::start(true, 0, reply)
    }

    /// A replica that replies like this; `None`: as usual.
    pub fn replica_replying(
        lag_ms: i64,
        reply: impl Fn(&HttpMessage) -> Option<Reply> + Send + Sync + 'static,
    ) -> SparqlEndpoint {
        SparqlEndpoint::start(false, lag_ms, reply)
    }

    fn start(
        is_primary: bool,
        lag_ms: i64,
        reply: impl Fn(&HttpMessage) -> Option<Reply> + Send + Sync + 'static,
    ) -> SparqlEndpoint {
        let is_primary = Arc::new(AtomicBool::new(is_primary));
        let lag_ms = Arc::new(AtomicI64::new(lag_ms));
        let operations = Arc::new(Mutex::new(Vec::new()));
        let (close_sender, closed_connections) = channel();
        let behavior = Behavior {
            is_primary: is_primary.clone(),
            lag_ms: lag_ms.clone(),
            operations: operations.clone(),
            closed: Mutex::new(close_sender),
            reply,
        };
        let address = spawn_server(move |stream| {
            let _ = behavior.serve(stream);
        });
        SparqlEndpoint { address, is_primary, lag_ms, operations, closed_connections }
    }

    /// How many operations were received so far; health checks do not count.
    pub fn operation_count(&self) -> usize {
        self.operations.lock().unwrap().len()
    }

    /// The operation that was received last.
    pub fn last_operation(&self) -> HttpMessage {
        self.operations.lock().unwrap().last().cloned().unwrap()
    }
}

/// What the threads of an endpoint's connections share.
struct Behavior<F> {
    is_primary: Arc<AtomicBool>,
    lag_ms: Arc<AtomicI64>,
    operations: Arc<Mutex<Vec<HttpMessage>>>,
    closed: Mutex<Sender<bool>>,
    reply: F,
}

/// What an endpoint reports of itself in the headers of an answer.
struct Status {
    role: &'static str,
    position_ms: i64,
}

impl Status {
    fn headers(&self) -> String {
        format!("Brookpass-Role: {}\r\nBrookpass-Position: {}\r\n", self.role, self.position_ms)
    }
}

/// Whether a request is the pooler's health check, `ASK {}`.
fn is_health_check(request: &HttpMessage) -> bool {
    request.first_line.contains("ASK%20%7B%7D ")
}

fn is_update(request: &HttpMessage) -> bool {
    request.header("content-type") == Some("application/sparql-update")
}

/// What an endpoint answers unless the test says otherwise.
fn usual_reply(request: &HttpMessage, status: &Status) -> Reply {
    if is_update(request) && status.role != "primary" {
        return Reply::text(421, "not the primary");
    }
    Reply::text(200, &status.position_ms.to_string())
}

impl<F: Fn(&HttpMessage) -> Option<Reply>> Behavior<F> {
    /// Serves one connection; returns when it is over.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_http_message(&mut reader) {
            let is_health_check = is_health_check(&request);
            if !is_health_check {
                self.operations.lock().unwrap().push(request.clone());
            }
            // The position is of the moment before a reply that waits.
            let status = self.status();
            let reply = if is_health_check { None } else { (self.reply)(&request) };
            match reply.unwrap_or_else(|| usual_reply(&request, &status)) {
                Reply::Answer { status: code, content_type, body } => {
                    write_answer(&mut writer, code, content_type, &body, &status)?;
                }
                Reply::AnswerAtPosition { position_ms, body } => {
                    let status = Status { position_ms, ..status };
                    write_answer(&mut writer, 200, "text/plain", &body, &status)?;
                }
                Reply::Close => return None,
                Reply::NoResponse => return self.wait_for_close(&mut reader),
                Reply::LongAnswer { length } => write_long_answer(&mut writer, length, length, &status)?,
                Reply::TruncatedAnswer { length } => {
                    write_long_answer(&mut writer, length, length - 1, &status)?;
                    return None;
                }
                Reply::StalledAnswer { length } => {
                    write_long_answer(&mut writer, length, length - 1, &status)?;
                    return self.wait_for_close(&mut reader);
                }
                Reply::ResetWithoutLength => return write_then_reset(&mut writer, &status),
            }
        }
        Some(())
    }

    fn status(&self) -> Status {
        let role = if self.is_primary.load(Ordering::SeqCst) { "primary" } else { "replica" };
        Status { role, position_ms: now_ms() - self.lag_ms.load(Ordering::SeqCst) }
    }

    /// Waits for the other side, and tells the test whether it closed the connection or sent more.
    fn wait_for_close(&self, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let is_closed = read_http_message(reader).is_none();
        let _ = self.closed.lock().unwrap().send(is_closed);
        None
    }
}

fn write_answer(
    writer: &mut TcpStream,
    code: u16,
    content_type: &str,
    body: &str,
    status: &Status,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {code} S\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n{}\
         Brookpass-Load: util=0.2\r\n\r\n",
        body.len(),
        status.headers()
    );
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(body.as_bytes()).ok()
}

/// Writes an answer that states `length`, with as many bytes of its body as `written`.
fn write_long_answer(writer: &mut TcpStream, length: usize, written: usize, status: &Status) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{}\r\n", status.headers());
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(&vec![b'x'; written]).ok()
}

/// Writes the beginning of an answer that states no length, and resets the connection.
fn write_then_reset(writer: &mut TcpStream, status: &Status) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", status.headers());
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(b"half of it").ok()?;
    // A close without lingering is a reset.
    rustix::net::sockopt::set_socket_linger(&writer, Some(Duration::ZERO)).ok()?;
    None
}
