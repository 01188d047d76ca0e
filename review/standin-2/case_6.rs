//! One of three poolers is killed and comes back, again and again. Its clients repeat what it held, with the same key,
//! at another pooler. The endpoints run all the time: no commit is ever lost.
mod common;
use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SESSIONS: usize = 12;
const RUN: Duration = Duration::from_secs(50);
/// When the pooler is killed, counted from the start of the clients or from its last return.
const UP_MS: u64 = 3_000;
/// How long it stays away.
const AWAY_MS: u64 = 2_000;
const PATIENCE: Duration = Duration::from_secs(3);

fn main() {
    run(|case| {
        let endpoints = start_group(&case.record, 3);
        let nodes = write_nodes(case, 3, &endpoints);
        let mut poolers: Vec<Pooler> = nodes.iter().map(|node| Pooler::start(case, node)).collect();
        poolers.iter().for_each(Pooler::wait_until_ready);
        let ports: Vec<u16> = poolers.iter().map(|pooler| pooler.sparql).collect();
        let reads = Arc::new(AtomicUsize::new(0));
        let broken: Arc<Mutex<Vec<String>>> = Arc::default();
        // Whether the front deals out connections to b1.
        let dealt = Arc::new(AtomicBool::new(true));
        let end = Instant::now() + RUN;
        let mut clients = Vec::new();
        for number in 0..SESSIONS {
            let (record, log, ports) = (case.record.clone(), endpoints[0].log.clone(), ports.clone());
            let (reads, broken, dealt) = (reads.clone(), broken.clone(), dealt.clone());
            clients.push(thread::spawn(move || {
                let session = format!("u{number}");
                let mut random = Random(number as u64);
                // A third of the sessions belongs to each pooler. While b1 is away its sessions are at b2.
                let mut at = number % ports.len();
                let mut sequence = 0;
                sleep_ms(number as u64 * 37);
                while Instant::now() < end {
                    if number % ports.len() == 0 && dealt.load(Ordering::SeqCst) {
                        at = 0;
                    }
                    sequence += 1;
                    let sent = Instant::now();
                    let mut written = call(ports[at], &update(&session, sequence), PATIENCE);
                    if written.is_none() {
                        // The connection broke: the pooler has died. The same update again, with its key, elsewhere.
                        record.line(&format!("{session} wrote {sequence} at b{}: the connection broke", at + 1));
                        at = (at + 1) % ports.len();
                        sleep_ms(200 + random.below(200));
                        if sent.elapsed() < Duration::from_millis(1_000) {
                            written = call(ports[at], &update(&session, sequence), PATIENCE);
                        }
                    }
                    let answer = written.unwrap_or_default();
                    let (status, position) = (answer.status, answer.position());
                    record.line(&format!("{session} wrote {sequence} at b{}: {status}, commit {position}", at + 1));
                    sleep_ms(100 + random.below(300));
                    if status != 200 {
                        continue;
                    }
                    let Some(answer) = call(ports[at], &own_read(&session, position), PATIENCE) else {
                        record.line(&format!("{session} read at b{}: the connection broke", at + 1));
                        at = (at + 1) % ports.len();
                        continue;
                    };
                    let (status, body) = (answer.status, answer.body.trim());
                    record.line(&format!("{session} read at b{} with position {position}: {status} {body}", at + 1));
                    reads.fetch_add(1, Ordering::SeqCst);
                    let kept = log.lock().unwrap().has(&session, sequence);
                    let sees = body.strip_prefix("last=").and_then(|last| last.parse::<u64>().ok());
                    let fault = match status {
                        412 if kept => "is told that its write is lost, and the group has it".to_string(),
                        200 if sees < Some(sequence) => format!("sees {sees:?} only"),
                        _ => continue,
                    };
                    let text = format!("BROKEN: {session} wrote {sequence} at {position}, {fault}");
                    record.line(&text);
                    broken.lock().unwrap().push(text);
                }
            }));
        }
        while case.trouble && Instant::now() + Duration::from_millis(UP_MS + AWAY_MS + 1_000) < end {
            sleep_ms(UP_MS);
            dealt.store(false, Ordering::SeqCst);
            poolers[0].kill();
            case.record.line("b1 is killed");
            sleep_ms(AWAY_MS);
            poolers[0] = Pooler::start(case, &nodes[0]);
            poolers[0].wait_until_ready();
            case.record.line("b1 is ready again");
            dealt.store(true, Ordering::SeqCst);
        }
        for client in clients {
            client.join().unwrap();
        }
        for pooler in &poolers {
            for line in pooler.log().lines().filter(|line| line.contains("lost its log")) {
                case.record.line(&format!("log of {}: {line}", pooler.name));
            }
        }
        let (broken, reads) = (broken.lock().unwrap(), reads.load(Ordering::SeqCst));
        assert!(reads > 50, "too few reads");
        case.record.say(&format!("{reads} reads after own writes, {} broken", broken.len()));
        broken.first().inspect(|first| case.record.say(first));
        broken.is_empty()
    })
}
