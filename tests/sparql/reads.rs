//! No read is answered from data that is older than its class allows.

use super::endpoint::{Reply, SparqlEndpoint};
use super::pooler::{OperatorFiles, entry, is_stale, query_request, start_pooler};
use super::stand_in::http::{HttpClient, call};
use super::stand_in::waiting::{eventually, now_ms};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How old the data of a `catalog-read` may be.
const CATALOG_READ_MAX_AGE_MS: i64 = 800;

/// How long before its own read the session in these tests has written.
const OWN_WRITE_AGE_MS: i64 = 300;

/// Guards against stale reads, the operators' hard case: replicas fall behind by more than 800 ms while reads
/// go on, and answer from the data that they have.
#[test]
fn no_read_is_stale_while_replicas_lag_on_purpose() {
    let primary = SparqlEndpoint::primary();
    let replicas = [SparqlEndpoint::replica(20), SparqlEndpoint::replica(30)];
    let files = OperatorFiles::write(
        "lag",
        &[entry("p", primary.address), entry("r1", replicas[0].address), entry("r2", replicas[1].address)],
    );
    let pooler = start_pooler(&files);
    let mut client = HttpClient::connect(pooler.client_address);
    let lags_by_round = [[20, 30], [1500, 30], [2500, 4000], [700, 5000], [20, 30]];
    for (round, lags) in lags_by_round.into_iter().enumerate() {
        for (replica, lag_ms) in replicas.iter().zip(lags) {
            replica.lag_ms.store(lag_ms, Ordering::SeqCst);
        }
        for number in 0..60 {
            // Every third read belongs to a session that has just written.
            check_read_is_fresh(&mut client, number % 3 == 2, round);
        }
        if round == 0 {
            let by_primary = primary.operation_count();
            let by_replicas = replicas[0].operation_count() + replicas[1].operation_count();
            let served = [by_primary, replicas[0].operation_count(), replicas[1].operation_count()];
            assert!(by_replicas > by_primary, "fresh replicas carry the reads: {served:?}");
        }
    }
    // Proof that the check can fail: a lagging replica that is called directly gives what it calls stale.
    replicas[0].lag_ms.store(1500, Ordering::SeqCst);
    let sent_at_ms = now_ms();
    let from_replica = call(replicas[0].address, &query_request(""));
    assert!(is_stale(&from_replica, sent_at_ms, CATALOG_READ_MAX_AGE_MS));
    let from_primary = call(primary.address, &query_request(""));
    assert!(!is_stale(&from_primary, sent_at_ms, CATALOG_READ_MAX_AGE_MS));
}

/// Sends one read and checks its answer's age. A read of a session that has written must see that write.
fn check_read_is_fresh(client: &mut HttpClient, after_own_write: bool, round: usize) {
    let sent_at_ms = now_ms();
    let write_position_ms = sent_at_ms - OWN_WRITE_AGE_MS;
    let session_headers = format!("Brookpass-Position: {write_position_ms}\r\nBrookpass-Session: s\r\n");
    let headers = if after_own_write { &session_headers } else { "" };
    let answer = client.call(&query_request(headers));
    assert_eq!(answer.status(), 200, "round {round}: {}", answer.text());
    let allowed_age_ms = if after_own_write { OWN_WRITE_AGE_MS } else { CATALOG_READ_MAX_AGE_MS };
    let is_stale = is_stale(&answer, sent_at_ms, allowed_age_ms);
    assert!(!is_stale, "round {round}: {} at {sent_at_ms}", answer.text());
}

/// Guards against a replica whose data went back: it was known as fresh, then restarted from an old copy.
#[test]
fn an_answer_that_is_older_than_its_read_allows_is_dropped() {
    let serves_old_copy = Arc::new(AtomicBool::new(false));
    let has_old_copy = serves_old_copy.clone();
    let primary = SparqlEndpoint::primary();
    let replica = SparqlEndpoint::replica_replying(10, move |_| {
        let position_ms = now_ms() - 7_000;
        let reply = Reply::AnswerAtPosition { position_ms, body: position_ms.to_string() };
        has_old_copy.load(Ordering::SeqCst).then_some(reply)
    });
    let entries = [entry("p", primary.address), entry("r", replica.address)];
    let pooler = start_pooler(&OperatorFiles::write("back", &entries));
    let mut client = HttpClient::connect(pooler.client_address);
    eventually("the replica serves", || {
        client.call(&query_request(""));
        replica.operation_count() > 3
    });
    serves_old_copy.store(true, Ordering::SeqCst);
    let replica_count_before = replica.operation_count();
    let primary_count_before = primary.operation_count();
    for _ in 0..20 {
        let sent_at_ms = now_ms();
        let answer = client.call(&query_request(""));
        assert_eq!(answer.status(), 200);
        assert!(!is_stale(&answer, sent_at_ms, CATALOG_READ_MAX_AGE_MS), "{}", answer.text());
    }
    let replica_was_asked = replica.operation_count() > replica_count_before;
    assert!(replica_was_asked, "the replica was believed, and its answer was dropped");
    assert!(primary.operation_count() > primary_count_before);
}
