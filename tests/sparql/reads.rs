//! Reads never return data that is older than their class allows.

use super::endpoint::*;
use super::pooler::*;
use super::stand_in::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The operators' hard case. Replicas lag past 800 ms while reads go on, and answer from what they have.
#[test]
fn no_read_is_stale_while_replicas_lag_on_purpose() {
    let primary = Host::plain(true, 0);
    let replicas = [Host::plain(false, 20), Host::plain(false, 30)];
    let hosts = [("p", primary.address), ("r1", replicas[0].address), ("r2", replicas[1].address)];
    let running = start(&files("lag", &hosts, &[]));
    let mut client = HttpClient::connect(running.front);
    let mut served = [0; 3];
    for (round, lags) in [(20, 30), (1500, 30), (2500, 4000), (700, 5000), (20, 30)].into_iter().enumerate() {
        for (replica, lag) in replicas.iter().zip([lags.0, lags.1]) {
            replica.lag.store(lag, Ordering::SeqCst);
        }
        for n in 0..60 {
            let sent_at = now_ms();
            // Every third read belongs to a session that has just written.
            let own = n % 3 == 2;
            let token = format!("Brookpass-Position: {}\r\nBrookpass-Session: s\r\n", sent_at - 300);
            let answer = client.call(&query(if own { &token } else { "" }));
            assert_eq!(answer.status(), 200, "round {round}: {}", answer.text());
            let allowed = if own { 300 } else { 800 };
            assert!(!is_stale(&answer, sent_at, allowed), "round {round}: {} at {sent_at}", answer.text());
        }
        let counts = [primary.count(), replicas[0].count(), replicas[1].count()];
        served = [counts[0] - served[0], counts[1] - served[1], counts[2] - served[2]];
        if round == 0 {
            assert!(served[1] + served[2] > served[0], "fresh replicas carry the reads: {served:?}");
        }
        served = counts;
    }
    // The checker can fail: a lagging host that is asked directly gives what it calls stale.
    replicas[0].lag.store(1500, Ordering::SeqCst);
    let sent_at = now_ms();
    assert!(is_stale(&call(replicas[0].address, &query("")), sent_at, 800));
    assert!(!is_stale(&call(primary.address, &query("")), sent_at, 800));
}

/// Guards against a replica that went back: it was known as fresh, then came up from an old copy.
#[test]
fn an_answer_that_is_older_than_its_read_allows_is_dropped() {
    let old = Arc::new(AtomicBool::new(false));
    let went_back = old.clone();
    let primary = Host::plain(true, 0);
    let replica = Host::start(false, 10, move |_| {
        let at = now_ms() - 7_000;
        went_back.load(Ordering::SeqCst).then(|| Does::AnswerFrom(at, at.to_string()))
    });
    let running = start(&files("back", &[("p", primary.address), ("r", replica.address)], &[]));
    let mut client = HttpClient::connect(running.front);
    eventually("the replica serves", || {
        client.call(&query(""));
        replica.count() > 3
    });
    old.store(true, Ordering::SeqCst);
    let (asked, before) = (replica.count(), primary.count());
    for _ in 0..20 {
        let sent_at = now_ms();
        let answer = client.call(&query(""));
        assert_eq!(answer.status(), 200);
        assert!(!is_stale(&answer, sent_at, 800), "{}", answer.text());
    }
    assert!(replica.count() > asked, "the replica was believed, and its answer was dropped");
    assert!(primary.count() > before);
}
