//! Watches discovery and hands every list to the core at once.

use super::http::client::Client;
use super::until;
use crate::config::Limits;
use crate::core::members::Listing;
use crate::json;
use async_channel::Receiver;
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn bad(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.into())
}

async fn call(
    kept: &mut Option<Client>,
    address: SocketAddr,
    path: &str,
    limits: &Limits,
    time: Duration,
) -> io::Result<String> {
    let work = async {
        let mut client = match kept.take() {
            Some(client) => client,
            None => Client::connect(address).await?,
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        let (head, body, keeps) = client.call(request.as_bytes(), limits).await?;
        *kept = keeps.then_some(client);
        if head.line[1] != "200" {
            return Err(bad(format!("status {}", head.line[1])));
        }
        String::from_utf8(body).map_err(|_| bad("the list is not UTF-8"))
    };
    until(Instant::now() + time, work).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Watches for ever. `deliver` takes each list; a message on `fetch` asks for the whole list anew, at the
/// address that `address` then holds. Neither a call nor a pause that is under way holds that up: the old
/// address may say nothing any more.
pub async fn watch<F: Future<Output = ()>>(
    address: &Cell<SocketAddr>,
    zones: &[String],
    limits: &Limits,
    fetch: &Receiver<()>,
    deliver: impl Fn(Listing) -> F,
) {
    let asked = async || match fetch.recv().await {
        Ok(()) => Some(()),
        Err(_) => future::pending().await,
    };
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
        let answer = async { Some(call(&mut kept, address.get(), &path, limits, time).await) };
        let Some(answer) = future::or(answer, async { asked().await.and(None) }).await else {
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
                    deliver(list).await;
                }
            }
            Err(e) => {
                log::warn!("discovery: {e}; the last list stays");
                kept = None;
                if until(Instant::now() + pause, asked()).await.is_some() {
                    index = None;
                }
                pause = (pause * 2).min(limits.pause.1);
            }
        }
    }
}
