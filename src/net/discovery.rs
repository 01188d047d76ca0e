//! Watches discovery and hands every list to the core at once.

use super::http::client::Client;
use super::until;
use crate::config::Limits;
use crate::core::members::Listing;
use crate::json;
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
}

impl<'a> Pace<'a> {
    fn new(limits: &'a Limits, seed: u64) -> Pace<'a> {
        Pace { rng: Rng::with_seed(seed), limits, pause: limits.pause.0 }
    }

    fn succeeded(&mut self) {
        self.pause = self.limits.pause.0;
    }

    fn failed(&mut self, e: &io::Error) -> Duration {
        let pause = self.pause.mul_f64(0.5 + self.rng.f64());
        self.pause = (self.pause * 2).min(self.limits.pause.1);
        // It has no room for a call: what waits there is what keeps the others out, so that the poolers of a
        // tier together must call less often than it answers.
        let busy = e.kind() == io::ErrorKind::ResourceBusy;
        if busy { pause.max(self.limits.overbooked.mul_f64(self.rng.f64())) } else { pause }
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
        let (head, body, keeps) = client.call(request.as_bytes(), limits).await?;
        *kept = keeps.then_some(client);
        if head.line[1] != "200" {
            let busy = matches!(head.line[1].as_str(), "429" | "503");
            let kind = if busy { io::ErrorKind::ResourceBusy } else { io::ErrorKind::InvalidData };
            return Err(io::Error::new(kind, format!("status {}", head.line[1])));
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
    seed: u64,
    fetch: &Receiver<()>,
    deliver: impl Fn(Listing) -> F,
) {
    let asked = async || match fetch.recv().await {
        Ok(()) => Some(()),
        Err(_) => future::pending().await,
    };
    let mut kept = None;
    let mut index = None;
    let mut pace = Pace::new(limits, seed);
    loop {
        let (path, time) = match index {
            None => ("/api/targets".to_string(), limits.first_list),
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
                pace.succeeded();
                let changed = !list.entries.is_empty() || list.whole;
                index = Some(list.index);
                if changed {
                    deliver(list).await;
                }
            }
            Err(e) => {
                log::warn!("discovery: {e}; the last list stays");
                kept = None;
                if until(Instant::now() + pace.failed(&e), asked()).await.is_some() {
                    index = None;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against poolers of a tier that come back together to a discovery that has no room for them, and so
    /// keep it that way.
    #[test]
    fn a_tier_that_was_refused_together_spreads_its_calls() {
        let mut limits = Limits::for_sockets(64);
        let busy = io::Error::from(io::ErrorKind::ResourceBusy);
        let calls = |limits: &Limits, e: &io::Error| -> Vec<Duration> {
            (0..100).map(|seed| Pace::new(limits, seed * 7919).failed(e)).collect()
        };
        limits.tier(Some(100));
        let mut at = calls(&limits, &busy);
        at.sort();
        let most =
            at.iter().map(|a| at.iter().filter(|b| **b >= *a && **b < *a + Duration::from_secs(1)).count());
        assert!(most.max().unwrap() <= 14, "{at:?}");
        let mean = at.iter().sum::<Duration>() / 100;
        assert!((8..12).contains(&mean.as_secs()), "{mean:?}");
        // One that is silent or noisy is called again soon, but not by all in the same moment.
        let silent = io::Error::from(io::ErrorKind::TimedOut);
        let mut soon = calls(&limits, &silent);
        soon.sort();
        assert!(soon[99] < Duration::from_millis(100) && soon[99] > soon[0] + Duration::from_millis(20));
        limits.tier(Some(1));
        assert!(
            calls(&limits, &busy).iter().max().unwrap() <= &Duration::from_millis(200),
            "nobody else calls"
        );
        limits.tier(Some(60_000));
        assert!(
            limits.overbooked <= Duration::from_secs(30),
            "within the time in which it must be asked again"
        );
    }
}
