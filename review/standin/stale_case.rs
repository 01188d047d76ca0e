//! Reads whose connection comes up late while replicas lag.

use crate::pg::{self, Client, Host};
use crate::util::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The age that `site-board` allows (200 ms), and what every limit is longer by on sockets (50 ms).
const BOUND_US: i64 = 250_000;
/// A third of the connections comes up this late; the page says up to 1.5 s.
const LATE_MS: u64 = 200;
/// Replicas apply the log 15 times more slowly; the page says 3.2 to 19 times. The thread that applies it is busy for
/// 0.56 of the time before (46 to 66%), so it applies this many seconds of log in a second.
const SLOW_RATE: f64 = 1.0 / (15.0 * 0.56);
/// And at this rate it catches up.
const FAST_RATE: f64 = 1.0 / 0.56;
const EPISODES: u64 = 3;

const SETTINGS: &str = r#"{"balancers":3,"me":0,"discovery":"automatic","zones":["hall-kita","hall-higashi","hall-minami"],"zone":0,
 "stage":0,"stages":"timecard-db","step":0.005,"kinds":"large,small","weight-kind":"rough","worth-by":"request","over-share-worth":0.05,
 "services":[
  {"name":"site-board","target":0.75,"deadline":2.5,"repeat":"repeatable","group":"all","stream":false,"dedup-window":5.0,"worth":1,"late-worth":0},
  {"name":"my-hours","target":0.6,"deadline":2.5,"repeat":"repeatable","group":"all","stream":false,"dedup-window":5.0,"worth":1,"late-worth":0},
  {"name":"gate-check","target":0.4,"deadline":1.0,"repeat":"repeatable","group":"all","stream":false,"dedup-window":5.0,"worth":2,"late-worth":0},
  {"name":"payroll-check","target":0.75,"deadline":2.5,"repeat":"repeatable","group":"all","stream":false,"dedup-window":5.0,"worth":2,"late-worth":0},
  {"name":"hours-entry","target":1.5,"deadline":3.0,"repeat":"once","group":"cell","stream":false,"dedup-window":5.0,"worth":4,"late-worth":0.7}],
 "family-info":{"consistency":["lag_bound","causal","eventual","strong","mutate"],"max-age":[0.2,0.0,0.0,0.0,0.0],"behind":"none",
  "commit-waits":false,"list-role":"static","session-marks":"brought","tells-position":true,"zero":0},
 "limits":{"may-cancel":true,"second-copies":true,"retry-after":true,"max-retry-after":2.0,"max-attempts":8,"probes":true,
  "peer-messages":false,"connect-timeout":0.25,"conn-idle":15.0,"streams-per-conn":1},
 "guarantees":{"cold-share":0.26,"warm-up":15.0,"fall-multiple":3.0,"tip-after":1.0,"stop-sending-within":2.0,"grace-to-answer":0.02},
 "report":{"via":"probe","fields":["x0","x1","util","inflight"]}}"#;

pub fn run(place: &Place) -> i32 {
    let record = &place.record;
    let primary = Host::start("d-1", true, 0, 40);
    let replicas: Vec<Arc<Host>> =
        (2..=5).map(|n| Host::start(&format!("d-{n}"), false, 6_000, 40)).collect();
    let mut hosts = vec![primary.clone()];
    hosts.extend(replicas.iter().cloned());
    let entries = hosts.iter().map(|host| pg::host_json(host, 1, "hall-kita")).collect();
    let discovery = pg::start_discovery(entries);
    let front = free_address();
    let config = format!(
        "{{\"name\":\"n0\",\"listen\":\"{front}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n\"settings\":{SETTINGS}}}"
    );
    let path = place.temporary.join("config.json");
    std::fs::write(&path, config).expect("the configuration");
    let _program = Program::start(
        &place.root,
        "",
        &[("GW_CONFIG", path.to_str().expect("a path"))],
        &place.temporary.join("n0.log"),
    );
    if !wait_for(25.0, || pg::is_ready(front)) {
        record.say("could not run: the pooler is not ready");
        return COULD_NOT_RUN;
    }
    let ids = Arc::new(AtomicU64::new(1));
    let served = Arc::new(Mutex::new(Vec::new()));
    let ask = {
        let (ids, served) = (ids.clone(), served.clone());
        move |client: &mut Client, class: &str| {
            let id = format!("{class}-{}", ids.fetch_add(1, Ordering::SeqCst));
            let (deadline, text) = match class {
                "hours-entry" => {
                    (3000, "INSERT INTO entries (ref, payload) VALUES ('a', '\\x9f03') RETURNING payload")
                }
                "gate-check" => (1000, "SELECT payload FROM entries WHERE ref = 'a'"),
                _ => (2500, "SELECT payload FROM entries WHERE ref = 'a'"),
            };
            let statement =
                format!("/* id={id},c={class},t=ishikari-kensetsu,d={deadline},cluster=1 */ {text}");
            let sent_us = now_us();
            let answer = client.query(&statement)?;
            served.lock().expect("lock").push((id, sent_us, now_us(), answer.clone()));
            Some(answer)
        }
    };
    let Some(mut writer) = Client::connect(front) else { return COULD_NOT_RUN };
    for _ in 0..5 {
        ask(&mut writer, "hours-entry");
    }
    // Some clients ask all the time; their answers tell the pooler how far the replicas are.
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for _ in 0..6 {
        let (stop, ask) = (stop.clone(), ask.clone());
        threads.push(thread::spawn(move || {
            let mut client = Client::connect(front);
            while !stop.load(Ordering::SeqCst) {
                if client.as_mut().and_then(|client| ask(client, "gate-check")).is_none() {
                    client = Client::connect(front);
                }
                sleep_ms(10);
            }
        }));
    }
    sleep_ms(2000);
    for episode in 0..EPISODES {
        if trouble() {
            for replica in &replicas {
                replica.late_ms.store(LATE_MS, Ordering::SeqCst);
                replica.set_rate(SLOW_RATE);
            }
            record.say(&format!("episode {episode}: the replicas apply the log more slowly, a third of the connections comes up {LATE_MS} ms late"));
        }
        sleep_ms(130);
        // A crew comes to the gate: some reads at once.
        let mut crew = Vec::new();
        for _ in 0..12 {
            let ask = ask.clone();
            crew.push(thread::spawn(move || {
                if let Some(mut client) = Client::connect(front) {
                    for _ in 0..3 {
                        ask(&mut client, "site-board");
                    }
                }
            }));
        }
        for member in crew {
            let _ = member.join();
        }
        sleep_ms(9500);
        for replica in &replicas {
            replica.late_ms.store(0, Ordering::SeqCst);
            replica.set_rate(FAST_RATE);
        }
        // The replicas catch up, and connections that nobody uses end.
        sleep_ms(14_000);
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let served = served.lock().expect("lock").clone();
    for (id, sent_us, done_us, answer) in &served {
        let took = (done_us - sent_us) / 1000;
        record.line_at(*sent_us, &format!("asked {id}: {:?} {} after {took} ms", answer.value, answer.code));
    }
    let (mut stale, mut reads, mut worst) = (0, 0, 0);
    for host in &hosts {
        for run in host.runs() {
            let id = pg::comment_value(&run.statement, "id").to_string();
            let age_us = run.arrived_us - run.position_us;
            record.line_at(
                run.arrived_us,
                &format!(
                    "{} {} {id}: data {} ms older than the send; connection late by {} ms, first on it: {}",
                    run.host,
                    run.outcome,
                    age_us / 1000,
                    run.late_ms,
                    run.first
                ),
            );
            let is_bounded = pg::comment_value(&run.statement, "c") == "site-board" && run.outcome == "run";
            let value = format!("{} at {}", run.host, run.position_us / 1000);
            let reached_client =
                served.iter().any(|(other, _, _, answer)| *other == id && answer.value == value);
            if is_bounded && reached_client {
                reads += 1;
                worst = worst.max(age_us / 1000);
                stale += i32::from(age_us > BOUND_US);
            }
        }
    }
    if reads == 0 {
        record.say("could not run: no read was served");
        return COULD_NOT_RUN;
    }
    record
        .say(&format!("{reads} reads of site-board served, the oldest data {worst} ms older than the send"));
    if stale == 0 {
        record.say("held: no read was answered from data older than its class allows");
        return HELD;
    }
    record
        .say(&format!("broken: {stale} reads were answered from data more than {} ms old", BOUND_US / 1000));
    BROKEN
}
