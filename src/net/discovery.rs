//! Watches discovery and hands every list to the core at once.

use super::buffer::Buffer;
use super::http::codec::{Body, head};
use super::until;
use crate::config::Limits;
use crate::core::Control;
use crate::core::members::Listing;
use crate::json;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// One kept connection to discovery.
struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

fn bad(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.into())
}

impl Connection {
    async fn get(&mut self, address: SocketAddr, path: &str, limits: &Limits) -> io::Result<(String, bool)> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        self.stream.write_all(request.as_bytes()).await?;
        let head = loop {
            if let Some((head, used)) =
                head(self.buffer.unread(), limits.head).map_err(|e| bad(e.to_string()))?
            {
                self.buffer.consume(used);
                break head;
            }
            if self.buffer.fill(&mut self.stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let keeps = head.keeps_open(&head.line[0]);
        let mut body = Body::of(&head, true).map_err(|e| bad(e.to_string()))?;
        let mut text = Vec::new();
        loop {
            let used =
                body.take(self.buffer.unread(), &mut text, limits.list).map_err(|e| bad(e.to_string()))?;
            self.buffer.consume(used);
            if body == Body::Done {
                break;
            }
            if self.buffer.fill(&mut self.stream).await? == 0 {
                if body == Body::UntilEnd {
                    break;
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        if head.line[1] != "200" {
            return Err(bad(format!("status {}", head.line[1])));
        }
        let text = String::from_utf8(text).map_err(|_| bad("the list is not UTF-8"))?;
        Ok((text, keeps))
    }
}

async fn call(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
    limits: &Limits,
    time: Duration,
) -> io::Result<String> {
    let work = async {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => {
                let stream = Async::<TcpStream>::connect(address).await?;
                stream.get_ref().set_nodelay(true)?;
                Connection { stream, buffer: Buffer::default() }
            }
        };
        let (text, keeps) = connection.get(address, path, limits).await?;
        *kept = keeps.then_some(connection);
        Ok(text)
    };
    until(Instant::now() + time, work).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Watches for ever. `deliver` takes each list; a message on `fetch` asks for the whole list anew.
pub async fn watch<F: Future<Output = ()>>(
    address: SocketAddr,
    zones: &[String],
    limits: &Limits,
    fetch: &Receiver<()>,
    deliver: impl Fn(Control) -> F,
) {
    let mut kept = None;
    let mut index = None;
    let mut pause = limits.pause.0;
    loop {
        let (path, time) = match index {
            None => ("/api/targets".to_string(), limits.discovery),
            Some(after) => {
                let wait = limits.watch.as_millis();
                (format!("/api/targets?after={after}&wait_ms={wait}"), limits.watch + limits.discovery)
            }
        };
        let answer = async { Some(call(&mut kept, address, &path, limits, time).await) };
        let asked = async {
            if fetch.recv().await.is_err() {
                future::pending::<()>().await;
            }
            None
        };
        let Some(answer) = future::or(answer, asked).await else {
            // The call was dropped half-way: its connection cannot be used again.
            (kept, index) = (None, None);
            continue;
        };
        // A list that is out of form must not cost the one that is held: it stays, and the call is repeated.
        match answer.and_then(|text| json::list(&text, zones).map_err(bad)) {
            Ok(list) => {
                pause = limits.pause.0;
                let changed = !list.entries.is_empty() || list.whole;
                index = Some(list.index);
                if changed {
                    deliver(Control::List { list, cached: false }).await;
                }
            }
            Err(e) => {
                log::warn!("discovery: {e}; the last list stays");
                kept = None;
                Timer::after(pause).await;
                pause = (pause * 2).min(limits.pause.1);
            }
        }
    }
}

/// The list that was remembered from before the start.
pub fn remembered(list: Listing) -> Control {
    Control::List { list: Listing { whole: true, ..list }, cached: true }
}
