//! The link between the leader of a fleet of three and one other node is cut; each of the two reaches the third node. An
//! operator, who sees "leader none" at the cut-off node, gives it the command `fleet recover`.
mod common;
use common::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(5);
const CUT_MS: u64 = 4_000;

fn main() {
    run(|case| {
        let endpoints = start_group(&case.record, 3);
        let links: RefCell<BTreeMap<(usize, usize), Link>> = RefCell::default();
        let nodes = write_linked_nodes(case, 3, &endpoints, |from, to, store| {
            links.borrow_mut().entry((from, to)).or_insert_with(|| Link::to(store)).port
        });
        let poolers: Vec<Pooler> = nodes.iter().map(|node| Pooler::start(case, node)).collect();
        poolers.iter().for_each(Pooler::wait_until_ready);
        sleep_ms(2_000);
        let leader_name = leader_seen_by(&poolers[0]);
        let leader = poolers.iter().position(|pooler| pooler.name == leader_name).expect("a leader");
        let (cut_off, third) = ((leader + 1) % 3, (leader + 2) % 3);
        case.record.line(&format!("{leader_name} leads"));
        if case.trouble {
            for pair in [(leader, cut_off), (cut_off, leader)] {
                links.borrow()[&pair].set_cut(true);
            }
            case.record.line(&format!("the link between {leader_name} and {} is cut, both ways", poolers[cut_off].name));
        }
        sleep_ms(CUT_MS);
        // The fleet has a majority: it commits.
        let before = post(case, &poolers[leader], "/drain/s-3") == 200 && post(case, &poolers[leader], "/undrain/s-3") == 200;
        describe(case, &poolers);
        let store = format!("127.0.0.1:{}", poolers[cut_off].store);
        let output = Command::new(case.root.join("target/release/brookpass"))
            .args(["fleet", "recover", &store, "--yes"])
            .output()
            .expect("the command runs");
        let accepted = output.status.success();
        let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).replace('\n', "; ");
        case.record.line(&format!("brookpass fleet recover {store} --yes: {} {text}", output.status));
        sleep_ms(1_500);
        let after = post(case, &poolers[leader], "/drain/s-2") == 200;
        sleep_ms(500);
        describe(case, &poolers);
        assert!(before && after, "the fleet commits before and after the command");
        assert_eq!(leader_seen_by(&poolers[third]), leader_name, "the third node follows the leader");
        let drained = |pooler: &Pooler| hosts(pooler).lines().any(|line| line.contains("s-2") && line.contains("leaving"));
        case.record.line(&format!("s-2 is drained at {:?}", poolers.iter().map(drained).collect::<Vec<bool>>()));
        if case.trouble {
            // Reads at the cut-off node, for two seconds.
            let end = Instant::now() + Duration::from_secs(2);
            while Instant::now() < end {
                call(poolers[cut_off].sparql, &own_read("any", 1), PATIENCE);
            }
            for pair in [(leader, cut_off), (cut_off, leader)] {
                links.borrow()[&pair].set_cut(false);
            }
            case.record.line("the link is there again");
            sleep_ms(6_000);
            describe(case, &poolers);
            case.record.line(&format!("s-2 is drained at {:?}", poolers.iter().map(drained).collect::<Vec<bool>>()));
        }
        let leading = poolers.iter().filter(|pooler| fleet(pooler).lines().any(|line| line.starts_with("daemon") && line.contains("leads"))).count();
        let what = if accepted { "accepted" } else { "rejected" };
        case.record.say(&format!("the command was {what} while a majority commits; {leading} nodes lead at the end"));
        !accepted
    })
}

fn fleet(pooler: &Pooler) -> String {
    call(pooler.store, "GET /fleet HTTP/1.1\r\nHost: x\r\n\r\n", PATIENCE).unwrap_or_default().body
}

fn hosts(pooler: &Pooler) -> String {
    call(pooler.store, "GET /hosts HTTP/1.1\r\nHost: x\r\n\r\n", PATIENCE).unwrap_or_default().body
}

fn leader_seen_by(pooler: &Pooler) -> String {
    let text = fleet(pooler);
    let line = text.lines().find(|line| line.starts_with("leader ")).unwrap_or("leader none");
    line.split(' ').nth(1).unwrap_or("none").to_string()
}

fn describe(case: &Case, poolers: &[Pooler]) {
    for pooler in poolers {
        let text = fleet(pooler);
        let lines = text.lines().filter(|line| ["fleet ", "daemon ", "leader ", "agreed ", "member "].iter().any(|start| line.starts_with(start)));
        case.record.line(&format!("GET /fleet at {}: {}", pooler.name, lines.collect::<Vec<&str>>().join(" | ")));
    }
}

fn post(case: &Case, pooler: &Pooler, path: &str) -> u16 {
    let answer = call(pooler.store, &format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"), PATIENCE).unwrap_or_default();
    case.record.line(&format!("POST {path} at {}: {} {}", pooler.name, answer.status, answer.body.trim()));
    answer.status
}
