//! A stand-in endpoint that speaks SPARQL over HTTP.

use super::stand_in::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// What a host does with an operation.
pub enum Does {
    Answer(u16, &'static str, String),
    /// The answer's own position, whatever the host's is.
    AnswerFrom(i64, String),
    LogRollback,
    Silence,
    /// Begins a long answer; ends it, or breaks off.
    Long(usize, bool),
    /// Begins a long answer, then says nothing until the other side closes.
    LongThenSilence(usize),
    /// Answers without a length, and resets the connection.
    ResetWithoutLength,
}

/// A host that speaks SPARQL over HTTP and answers from whatever data it has.
pub struct Host {
    pub address: SocketAddr,
    pub primary: Arc<AtomicBool>,
    /// How far its data trails, in milliseconds.
    pub lag: Arc<AtomicI64>,
    pub operations: Arc<Mutex<Vec<Http>>>,
    /// A message for each operation that was left unanswered: whether its connection then ended.
    pub dropped: Receiver<bool>,
}

fn serve(
    stream: TcpStream,
    primary: &AtomicBool,
    lag: &AtomicI64,
    seen: &Mutex<Vec<Http>>,
    gone: &Mutex<std::sync::mpsc::Sender<bool>>,
    does: &impl Fn(&Http) -> Option<Does>,
) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_http(&mut reader) {
        let probe = request.first.contains("ASK%20%7B%7D ");
        if !probe {
            seen.lock().unwrap().push(request.clone());
        }
        let role = if primary.load(Ordering::SeqCst) { "primary" } else { "replica" };
        let mut position = now_ms() - lag.load(Ordering::SeqCst);
        let update = request.header("content-type") == Some("application/sparql-update");
        let done = if probe { None } else { does(&request) };
        // By itself an answer's text is the position of the data that it was made from.
        let done = done.unwrap_or_else(|| {
            if update && role != "primary" {
                Does::Answer(421, "text/plain", "not the primary".into())
            } else {
                Does::Answer(200, "text/plain", position.to_string())
            }
        });
        let (status, kind, body) = match done {
            Does::Answer(status, kind, body) => (status, kind, body),
            Does::AnswerFrom(at, body) => {
                position = at;
                (200, "text/plain", body)
            }
            Does::LogRollback => return None,
            Does::Silence => {
                let _ = gone.lock().unwrap().send(read_http(&mut reader).is_none());
                return None;
            }
            Does::ResetWithoutLength => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nBrookpass-Role: {role}\r\nBrookpass-Position: {position}\r\n\r\n"
                );
                writer.write_all(head.as_bytes()).ok()?;
                writer.write_all(b"half of it").ok()?;
                // A close without lingering is a reset.
                rustix::net::sockopt::set_socket_linger(&writer, Some(std::time::Duration::ZERO)).ok()?;
                return None;
            }
            Does::LongThenSilence(size) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nBrookpass-Role: {role}\r\n\
                     Brookpass-Position: {position}\r\n\r\n"
                );
                writer.write_all(head.as_bytes()).ok()?;
                writer.write_all(&vec![b'x'; size - 1]).ok()?;
                let _ = gone.lock().unwrap().send(read_http(&mut reader).is_none());
                return None;
            }
            Does::Long(size, ends) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nBrookpass-Role: {role}\r\n\
                     Brookpass-Position: {position}\r\n\r\n"
                );
                writer.write_all(head.as_bytes()).ok()?;
                let part = if ends { size } else { size - 1 };
                writer.write_all(&vec![b'x'; part]).ok()?;
                if !ends {
                    return None;
                }
                continue;
            }
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nBrookpass-Role: {role}\r\n\
             Brookpass-Position: {position}\r\nBrookpass-Load: util=0.2\r\n\r\n",
            body.len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(body.as_bytes()).ok()?;
    }
    Some(())
}

impl Host {
    pub fn start(
        primary: bool,
        lag: i64,
        does: impl Fn(&Http) -> Option<Does> + Send + Sync + 'static,
    ) -> Host {
        let (primary, lag) = (Arc::new(AtomicBool::new(primary)), Arc::new(AtomicI64::new(lag)));
        let operations = Arc::new(Mutex::new(Vec::new()));
        let (gone, dropped) = channel();
        let (p, l, seen, gone) = (primary.clone(), lag.clone(), operations.clone(), Mutex::new(gone));
        let address = listen(move |stream| {
            let _ = serve(stream, &p, &l, &seen, &gone, &does);
        });
        Host { address, primary, lag, operations, dropped }
    }

    pub fn plain(primary: bool, lag: i64) -> Host {
        Host::start(primary, lag, |_| None)
    }

    pub fn count(&self) -> usize {
        self.operations.lock().unwrap().len()
    }
}
