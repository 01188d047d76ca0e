//! All endpoints of a group lose their power in a quiet moment, and the commits of the last 200 ms with it. The first
//! request after that is an update of another session.
mod common;
use common::*;
use std::time::Duration;

const ROUNDS: u64 = 4;
const AWAY_MS: u64 = 3_000;
const UNSYNCED_MS: i64 = 200;
const PATIENCE: Duration = Duration::from_secs(4);

fn main() {
    run(|case| {
        let endpoints = start_group(&case.record, 3);
        let nodes = write_nodes(case, 1, &endpoints);
        let pooler = Pooler::start(case, &nodes[0]);
        pooler.wait_until_ready();
        sleep_ms(2_500);
        let mut told = 0;
        let mut broken = 0;
        for round in 1..=ROUNDS {
            // Some traffic, so that the pooler knows all endpoints.
            let earlier = write(case, pooler.sparql, "other", 2 * round - 1).expect("an update is served");
            for _ in 0..3 {
                read(case, pooler.sparql, "other", earlier);
            }
            sleep_ms(500);
            let position = write(case, pooler.sparql, "own", round).expect("an update is served");
            if case.trouble {
                sleep_ms(50);
                endpoints.iter().for_each(|endpoint| endpoint.power_off());
                endpoints[0].log.lock().unwrap().lose_tail(UNSYNCED_MS);
                sleep_ms(AWAY_MS);
                endpoints.iter().for_each(|endpoint| endpoint.power_on());
                sleep_ms(500);
            }
            // The next request is the update of another session; one that is rejected is sent again.
            let served = (0..20).any(|_| {
                let served = write(case, pooler.sparql, "other", 2 * round).is_some();
                sleep_ms(if served { 0 } else { 300 });
                served
            });
            assert!(served, "no update is served after the return of the endpoints");
            sleep_ms(300);
            let kept = endpoints[0].log.lock().unwrap().has("own", round);
            assert_eq!(kept, !case.trouble, "the write of the session is lost with the power only");
            let answer = read(case, pooler.sparql, "own", position);
            match answer {
                412 => told += 1,
                200 if !kept => {
                    broken += 1;
                    case.record.line(&format!(
                        "BROKEN: own wrote {round} at {position}, which is lost; its read got 200 without it"
                    ));
                }
                _ => {}
            }
            // The endpoints are warm before the next round.
            sleep_ms(if case.trouble { 16_500 } else { 500 });
        }
        for line in pooler.log().lines().filter(|line| line.contains("lost its log")) {
            case.record.line(&format!("log: {line}"));
        }
        case.record.say(&format!("{ROUNDS} rounds: {told} sessions were told of their loss, {broken} read without their write"));
        broken == 0
    })
}

/// Sends an update; its commit, if it is served.
fn write(case: &Case, port: u16, session: &str, sequence: u64) -> Option<i64> {
    let answer = call(port, &update(session, sequence), PATIENCE).unwrap_or_default();
    case.record.line(&format!("{session} wrote {sequence}: {}, commit {}", answer.status, answer.position()));
    (answer.status == 200).then(|| answer.position())
}

/// Reads with a position until the answer is not a rejection; returns its status.
fn read(case: &Case, port: u16, session: &str, position: i64) -> u16 {
    for _ in 0..20 {
        let answer = call(port, &own_read(session, position), PATIENCE).unwrap_or_default();
        case.record.line(&format!("{session} read with position {position}: {} {}", answer.status, answer.body.trim()));
        if answer.status != 503 {
            return answer.status;
        }
        sleep_ms(300);
    }
    503
}
