//! Watches discovery and hands every list to the core at once.

use super::http::client::{Client, Response};
use super::until;
use crate::config::Limits;
use crate::endpoint_list_json;
use crate::engine::endpoints::EndpointUpdate;
use async_channel::Receiver;
use fastrand::Rng;
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn bad(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.into())
}

/// When to call again after a call that failed. Poolers start, fail and come back together: each chooses its own
/// moment, or discovery would get all calls at once again.
struct Pace<'a> {
    rng: Rng,
    limits: &'a Limits,
    pause: Duration,
    /// How long the next call may take to be answered, beyond what it asks discovery to wait; `None`: none has
    /// failed since the last answer.
    client_timeout: Option<Duration>,
}

impl<'a> Pace<'a> {
    fn new(limits: &'a Limits, seed: u64) -> Pace<'a> {
        Pace { rng: Rng::with_seed(seed), limits, pause: limits.discovery_backoff.0, client_timeout: None }
    }

    fn succeeded(&mut self) {
        self.pause = self.limits.discovery_backoff.0;
        self.client_timeout = None;
    }

    /// How long the next call asks discovery to wait for a change, and how long it may take in all. After a failure
    /// an answer is wanted at once: what discovery has to tell counts whether or not a watch is open, and the time
    /// in which a call says nothing is lost. It may take longer each time, since it may have others to answer.
    fn next(&self, is_watch: bool) -> (Duration, Duration) {
        let Limits {
            discovery_watch_timeout: watch,
            discovery_timeout: discovery,
            discovery_recheck_timeout: recheck,
            discovery_timeout_after_failure: first_list,
            ..
        } = *self.limits;
        match (is_watch, self.client_timeout) {
            (true, None) => (watch, watch + discovery),
            (true, Some(client_timeout)) => (recheck, recheck + client_timeout),
            (false, _) => (Duration::ZERO, first_list),
        }
    }

    fn failed(&mut self, e: &io::Error) -> Duration {
        let pause = self.pause.mul_f64(0.5 + self.rng.f64());
        self.pause = (self.pause * 2).min(self.limits.discovery_backoff.1);
        let client_timeout = self.client_timeout.map_or(self.limits.discovery_timeout, |p| p * 2);
        self.client_timeout = Some(client_timeout.min(self.limits.discovery_timeout_after_failure));
        // It has no room for a call: what waits there is what keeps the others out, so that the poolers of a
        // tier together must call less often than it answers.
        let busy = e.kind() == io::ErrorKind::ResourceBusy;
        if busy { pause.max(self.limits.discovery_spread.mul_f64(self.rng.f64())) } else { pause }
    }
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
        let Response { head, body, is_reusable } = client.call(request.as_bytes(), limits).await?;
        *kept = is_reusable.then_some(client);
        if head.line[1] != "200" {
            let busy = matches!(head.line[1].as_str(), "429" | "503");
            let kind = if busy { io::ErrorKind::ResourceBusy } else { io::ErrorKind::InvalidData };
            return Err(io::Error::new(kind, format!("status {}", head.line[1])));
        }
        String::from_utf8(body).map_err(|_| bad("the list is not UTF-8"))
    };
    until(Instant::now() + time, work).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// A list that can be added to what is held. Changes to an older list than that one are changes to something else:
/// discovery has begun anew, and has to be asked for all.
fn follows(held: Option<u64>, list: EndpointUpdate) -> io::Result<EndpointUpdate> {
    match held {
        Some(held) if !list.whole && list.index < held => {
            let why = format!("the index went back from {held} to {}", list.index);
            Err(io::Error::new(io::ErrorKind::NotFound, why))
        }
        None if !list.whole => Err(bad("changes where the whole list was asked for")),
        _ => Ok(list),
    }
}

/// Watches for ever. `deliver` takes each list; a message on `fetch` asks for the whole list anew, at the
/// address that `address` then holds. Neither a call nor a pause that is under way holds that up: the old
/// address may say nothing any more.
pub async fn watch<F: Future<Output = ()>>(
    address: &Cell<SocketAddr>,
    zones: &[String],
    limits: &Limits,
    seed: u64,
    fetch: &Receiver<()>,
    deliver: impl Fn(EndpointUpdate) -> F,
) {
    let asked = async || match fetch.recv().await {
        Ok(()) => Some(()),
        Err(_) => future::pending().await,
    };
    let mut kept = None;
    let mut index = None;
    let mut pace = Pace::new(limits, seed);
    loop {
        let (wait, time) = pace.next(index.is_some());
        let path = match index {
            None => "/api/targets".to_string(),
            Some(after) => format!("/api/targets?after={after}&wait_ms={}", wait.as_millis()),
        };
        let began = Instant::now();
        let answer = async { Some(call(&mut kept, address.get(), &path, limits, time).await) };
        let Some(answer) = future::or(answer, async { asked().await.and(None) }).await else {
            // The call was dropped half-way: its connection cannot be used again. What failed at another address
            // says nothing of this one.
            (kept, index) = (None, None);
            pace.succeeded();
            continue;
        };
        // A list that is out of form must not cost the one that is held: it stays, and the call is repeated.
        let list = answer
            .and_then(|text| endpoint_list_json::parse(&text, zones).map_err(|error| bad(error.to_string())));
        match list.and_then(|list| follows(index, list)) {
            Ok(list) => {
                pace.succeeded();
                let changed = !list.entries.is_empty() || list.whole;
                let is_new = index != Some(list.index);
                index = Some(list.index);
                if changed {
                    deliver(list).await;
                }
                // One that does not wait must not be called without a pause.
                if !is_new && began.elapsed() < limits.discovery_backoff.0 {
                    let pause = until(Instant::now() + limits.discovery_backoff.0, asked());
                    if pause.await.is_some() {
                        index = None;
                    }
                }
            }
            Err(e) => {
                log::warn!("discovery: {e}; the last list stays");
                kept = None;
                if e.kind() == io::ErrorKind::NotFound {
                    index = None;
                }
                if until(Instant::now() + pace.failed(&e), asked()).await.is_some() {
                    index = None;
                    pace.succeeded();
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
