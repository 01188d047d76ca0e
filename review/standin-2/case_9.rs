//! A client sends ten requests on one connection, one behind the other. The pooler gets SIGTERM while it answers them.
mod common;
use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 4;
const REQUESTS: u64 = 10;
/// Each request states this time; all of them together take about half of it.
const TIME_LEFT: Duration = Duration::from_millis(2_000);

fn main() {
    run(|case| {
        let mut broken = 0;
        for round in 1..=ROUNDS {
            // Each round has a fleet and a group of its own.
            let _ = std::fs::remove_dir_all(case.temp.join("b1"));
            let endpoints = start_group(&case.record, 3);
            let nodes = write_nodes(case, 1, &endpoints);
            let mut pooler = Pooler::start(case, &nodes[0]);
            pooler.wait_until_ready();
            sleep_ms(2_500);
            let mut connection = Connection::open(pooler.sparql, TIME_LEFT + Duration::from_secs(1)).unwrap();
            let position = connection.call(&update("own", 1)).expect("an answer").position();
            // Reads and updates in turn: 5 of 150 ms and 5 of 70 ms.
            let requests: Vec<String> = (0..REQUESTS)
                .map(|number| match number % 2 {
                    0 => own_read("own", position),
                    _ => update("own", 2 + number),
                })
                .collect();
            connection.stream.write_all(requests.concat().as_bytes()).unwrap();
            let sent = Instant::now();
            case.record.line(&format!("round {round}: {REQUESTS} requests are sent on one connection"));
            sleep_ms(100);
            if case.trouble {
                pooler.signal("-TERM");
                case.record.line("SIGTERM");
            }
            let mut answered = 0;
            while answered < REQUESTS && let Some(answer) = connection.read() {
                answered += 1;
                let after = sent.elapsed().as_millis();
                let connection = answer.header("connection");
                case.record.line(&format!("answer {answered} after {after} ms: {} {} {connection}", answer.status, answer.body.trim()));
            }
            let after = sent.elapsed();
            case.record.line(&format!("{answered} answers; the connection was read for {} ms", after.as_millis()));
            let ran = (0..REQUESTS).filter(|number| number % 2 == 1).filter(|number| endpoints[0].log.lock().unwrap().has("own", 2 + number)).count();
            case.record.line(&format!("{ran} of the 5 updates ran"));
            if answered < REQUESTS {
                assert!(after < TIME_LEFT, "the client's time has passed");
                broken += 1;
                case.record.line(&format!("BROKEN: {} requests got no answer", REQUESTS - answered));
            }
            if case.trouble {
                sleep_ms(1_500);
                case.record.line(&format!("the pooler has ended: {:?}", pooler.ended()));
                pooler.log().lines().filter(|line| line.contains("drain")).for_each(|line| case.record.line(&format!("log: {line}")));
            }
        }
        case.record.say(&format!("{ROUNDS} rounds, {broken} with requests that got no answer"));
        broken == 0
    })
}
