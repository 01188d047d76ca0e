//! Several processes of the program with faults between them: what is agreed, what acts before, what never counts.

use brookpass_testkit::check::{self, CheckError, DrainPeriod};
use brookpass_testkit::client::{LoadProfile, REQUEST_TIMEOUT};
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::endpoint::Arrival;
use brookpass_testkit::faults::{FaultAction, FaultSchedule};
use brookpass_testkit::process::ClockOffset;
use brookpass_testkit::relay::LinkFaults;
use brookpass_testkit::{Timestamp, eventually, http, log_lines, seed_range};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

fn cluster(setup: ClusterConfig) -> TestCluster {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, setup)
}

fn five() -> TestCluster {
    let mut cluster = cluster(ClusterConfig::default());
    cluster.start_all();
    cluster
}

fn plan(rate: f64, seed: u64) -> LoadProfile {
    LoadProfile { requests_per_second: rate, clients: 20, seed, ..LoadProfile::default() }
}

fn others(cluster: &TestCluster, one: usize) -> Vec<usize> {
    (0..cluster.nodes.len()).filter(|n| *n != one).collect()
}

/// The histories hold, whatever happened. `answers`: with a load beside it.
fn holds(cluster: &TestCluster, voters: Option<usize>) -> usize {
    let agreed = check::same_committed_sequence(&cluster.logs(), voters).unwrap_or_else(|e| panic!("{e}"));
    check::no_overlapping_attempts(&cluster.endpoints.arrivals()).unwrap_or_else(|e| panic!("{e}"));
    agreed
}

/// Guards against a fleet that stands still without its leader, and against a drain that needs one.
#[test]
fn a_killed_leader_is_replaced_and_drains_go_on() {
    let mut cluster = five();
    let load = cluster.start_load(plan(400.0, 1));
    let leader = cluster.wait_for_leader();
    let rest = others(&cluster, leader);
    cluster.kill(leader);
    // Nobody leads yet: it acts at once all the same, everywhere.
    let said = Timestamp::now();
    let status = thread::scope(|s| {
        let call = s.spawn(|| cluster.post(rest[0], "/drain/s-1-1"));
        let reached = cluster.wait_until_draining(&rest, "s-1-1");
        assert!(reached < Duration::from_millis(250), "{reached:?}");
        call.join().unwrap()
    });
    assert_eq!(status, 200, "a majority is there: it is agreed once somebody leads");
    assert_ne!(cluster.wait_for_leader(), leader);
    cluster.start(leader);
    cluster.wait_until_ready(leader);
    cluster.wait_until_caught_up();
    assert_eq!(cluster.is_draining(leader, "s-1-1"), Some(true), "it has caught up");
    let asked = load.finish();
    let arrivals = cluster.endpoints.arrivals();
    check::no_arrivals_while_drained(
        &arrivals,
        &[DrainPeriod::since("s-1-1", said + Duration::from_millis(250))],
    )
    .unwrap();
    assert!(check::no_stale_reads(&asked).unwrap() > 100);
    check::every_request_answered(&asked, &cluster.downtimes, REQUEST_TIMEOUT).unwrap();
    let alive: Vec<_> = asked.iter().filter(|a| a.node != leader).collect();
    let served = alive.iter().filter(|a| a.status == 200).count();
    assert!(served * 100 > alive.len() * 98, "{served} of {} served", alive.len());
    holds(&cluster, Some(5));
}

/// Guards against a leader that is cut off and goes on alone: a drain acts there, nothing else counts.
#[test]
fn a_leader_that_is_cut_off_restricts_only() {
    let cluster = &mut five();
    let leader = cluster.wait_for_leader();
    let rest = others(cluster, leader);
    assert_eq!(cluster.post(rest[0], "/drain/s-2-2"), 200);
    cluster.wait_until_caught_up();
    cluster.partition(&[vec![leader], rest.clone()]);
    assert_eq!(cluster.post(leader, "/drain/s-1-1"), 202, "it holds here and waits for a majority");
    assert_eq!(cluster.is_draining(leader, "s-1-1"), Some(true));
    assert_eq!(cluster.post(leader, "/undrain/s-2-2"), 503);
    assert_eq!(cluster.is_draining(leader, "s-2-2"), Some(true));
    assert!(
        cluster.fleet_status(leader).contains("unagreed drain s-1-1"),
        "{}",
        cluster.fleet_status(leader)
    );
    eventually("the others have a leader", || {
        rest.iter().all(|n| {
            cluster.fleet_field(*n, "leader") != cluster.nodes[leader].name
                && cluster.fleet_field(*n, "leader") != "none"
        })
    });
    assert_eq!(cluster.post(rest[1], "/drain/s-1-2"), 200);
    assert_eq!(cluster.is_draining(rest[2], "s-1-1"), Some(false));
    cluster.heal_links();
    cluster.wait_until_caught_up();
    for n in 0..5 {
        let seen = ["s-1-1", "s-1-2", "s-2-2"].map(|host| cluster.is_draining(n, host));
        assert_eq!(
            seen,
            [Some(true); 3],
            "daemon {n}: no drain is lost, and no undrain of a minority counts"
        );
    }
    holds(cluster, Some(5));
}

/// Guards against a process that stood still, wakes up and takes itself for the leader.
#[test]
fn a_leader_that_stood_still_for_three_seconds_follows_afterwards() {
    let cluster = &mut five();
    let load = cluster.start_load(plan(300.0, 2));
    let leader = cluster.wait_for_leader();
    let rest = others(cluster, leader);
    cluster.pause(leader);
    eventually("another one leads", || cluster.leader().is_some_and(|n| n != leader));
    assert_eq!(cluster.post(rest[0], "/drain/s-1-0"), 200);
    thread::sleep(Duration::from_secs(2));
    cluster.resume(leader);
    let heard = cluster.wait_until_draining(&[leader], "s-1-0");
    assert!(heard < Duration::from_millis(250), "{heard:?}");
    assert_eq!(cluster.post(leader, "/undrain/s-1-0"), 200);
    cluster.wait_until_caught_up();
    let asked = load.finish();
    assert!(check::no_stale_reads(&asked).unwrap() > 100);
    check::every_request_answered(&asked, &cluster.downtimes, REQUEST_TIMEOUT).unwrap();
    holds(cluster, Some(5));
}

/// Guards against a minority whose inventory or undrain counts, now or after healing, also where the minority has
/// the leader.
#[test]
fn what_a_minority_says_beyond_drains_never_counts() {
    let cluster = &mut five();
    let leader = cluster.wait_for_leader();
    let mut rest = others(cluster, leader);
    let second = rest.remove(0);
    assert_eq!(cluster.post(second, "/drain/s-1-1"), 200);
    cluster.wait_until_caught_up();
    let load = cluster.start_load(plan(300.0, 3));
    cluster.partition(&[vec![leader, second], rest.clone()]);
    let inventory = cluster.inventory_csv();
    let shorter: String =
        inventory.lines().filter(|l| !l.starts_with("s-2-2")).map(|l| format!("{l}\n")).collect();
    cluster.write_inventory(second, &shorter);
    let (undrained, drained) = thread::scope(|s| {
        let undrained = s.spawn(|| cluster.post(leader, "/undrain/s-1-1"));
        let drained = s.spawn(|| cluster.post(second, "/drain/s-2-1"));
        (undrained.join().unwrap(), drained.join().unwrap())
    });
    assert_eq!((undrained, drained), (503, 202));
    assert_eq!(cluster.is_draining(leader, "s-2-1"), Some(true), "the two of the minority hear one another");
    for n in [leader, second] {
        assert_eq!(cluster.is_draining(n, "s-1-1"), Some(true));
        assert!(
            cluster.is_draining(n, "s-2-2").is_some(),
            "the inventory that nobody agreed to does not count"
        );
    }
    // The majority goes on meanwhile, with a newer inventory of its own.
    assert_eq!(cluster.post(rest[0], "/drain/s-1-2"), 200);
    thread::sleep(Duration::from_millis(20));
    cluster.write_inventory(rest[1], &(inventory.clone() + "s-9-9,127.0.0.1:9,1,z-0,\n"));
    cluster.wait_until_active(&rest, "s-9-9");
    cluster.heal_links();
    cluster.wait_until_caught_up();
    for n in 0..5 {
        assert!(
            cluster.is_draining(n, "s-9-9").is_some() && cluster.is_draining(n, "s-2-2").is_some(),
            "daemon {n}"
        );
        assert_eq!(
            ["s-1-1", "s-1-2", "s-2-1"].map(|h| cluster.is_draining(n, h)),
            [Some(true); 3],
            "daemon {n}"
        );
    }
    let text = cluster.fleet_status(second);
    assert!(
        text.contains(&format!("inventory of b{}", rest[1]))
            && text.contains("its own file adds 0, changes 0, lacks 2"),
        "{text}"
    );
    let asked = load.finish();
    assert!(check::no_stale_reads(&asked).unwrap() > 100);
    check::every_request_answered(&asked, &[], REQUEST_TIMEOUT).unwrap();
    holds(cluster, Some(5));
}

/// Guards against one that hears and is not heard, and against links that are late and lose messages.
#[test]
fn one_way_cuts_and_lossy_links_hold_nothing_up_for_long() {
    let cluster = &mut five();
    let leader = cluster.wait_for_leader();
    let rest = others(cluster, leader);
    // The leader is not heard by two: what is agreed must reach them all the same.
    cluster.cut_one_way(leader, rest[0]);
    cluster.cut_one_way(leader, rest[1]);
    assert_eq!(cluster.post(rest[2], "/drain/s-1-1"), 200);
    // It is agreed, but this one cannot know yet.
    assert_eq!(cluster.post(rest[0], "/drain/s-1-2"), 202);
    cluster.wait_until_caught_up();
    assert_ne!(cluster.wait_for_leader(), leader, "one that all hear leads");
    let term: u64 = cluster.fleet_field(rest[2], "term").parse().unwrap();
    assert!(term < 20, "the lead goes round: term {term}");
    assert_eq!(cluster.post(rest[1], "/undrain/s-1-2"), 200);
    cluster.heal_links();
    cluster.wait_until_caught_up();
    let leader = cluster.wait_for_leader();
    let slow_and_lossy =
        LinkFaults { delay: Duration::from_millis(200), loss_percent: 20, ..LinkFaults::NONE };
    for n in others(cluster, leader) {
        cluster.set_link_faults(leader, n, slow_and_lossy);
    }
    for host in ["s-2-0", "s-2-1", "s-2-2"] {
        let n = others(cluster, leader)[0];
        // Agreed in the end; acting everywhere long before.
        let status = cluster.post(n, &format!("/drain/{host}"));
        assert!(matches!(status, 200 | 202), "{status}");
        assert_eq!(cluster.is_draining(n, host), Some(true));
    }
    cluster.heal_links();
    cluster.wait_until_caught_up();
    assert_eq!(cluster.is_draining(leader, "s-2-2"), Some(true));
    holds(cluster, Some(5));
}

/// Guards against a drain that two restarts lose, and against all losing their power while changes run.
#[test]
fn restarts_at_once_lose_nothing_that_was_answered() {
    let cluster = &mut five();
    let leader = cluster.wait_for_leader();
    let rest = others(cluster, leader);
    let status = thread::scope(|s| {
        let (at, path) = (cluster.nodes[rest[0]].store_address, "/drain/s-1-1");
        let call = s.spawn(move || http::call(at, "POST", path).map_or(0, |m| m.status()));
        cluster.kill(rest[1]);
        cluster.kill(rest[2]);
        cluster.start(rest[1]);
        cluster.start(rest[2]);
        call.join().unwrap()
    });
    assert_eq!(status, 200);
    cluster.wait_until_draining(&[0, 1, 2, 3, 4], "s-1-1");
    for round in 0..3 {
        let hosts = ["s-1-2", "s-2-0", "s-2-1"];
        let status = cluster.post(round, &format!("/drain/{}", hosts[round]));
        // The power fails in the moment of the answer.
        (0..5).for_each(|n| cluster.kill(n));
        assert_eq!(status, 200);
        (0..5).for_each(|n| cluster.start(n));
        (0..5).for_each(|n| cluster.wait_until_ready(n));
        for n in 0..5 {
            assert_eq!(cluster.is_draining(n, hosts[round]), Some(true), "round {round}, daemon {n}");
        }
    }
    cluster.wait_until_caught_up();
    holds(cluster, Some(5));
}

/// Guards against a daemon that comes back without its disk and votes as its old self, or with an older copy.
#[test]
fn a_lost_disk_and_an_old_one_make_a_new_daemon_that_learns_first() {
    let cluster = &mut five();
    let leader = cluster.wait_for_leader();
    let rest = others(cluster, leader);
    let (lost, old) = (rest[0], rest[1]);
    let file = cluster.nodes[old].folder.join("fleet.store");
    cluster.kill(old);
    let copy = std::fs::read(&file).unwrap();
    cluster.start(old);
    cluster.wait_until_ready(old);
    let identity = |cluster: &TestCluster, n: usize| {
        let text = cluster.fleet_status(n);
        text.lines()
            .find(|l| l.starts_with("daemon "))
            .unwrap_or("")
            .split(' ')
            .nth(2)
            .unwrap_or("")
            .to_string()
    };
    let before = [identity(cluster, lost), identity(cluster, old)];
    assert_eq!(cluster.post(leader, "/drain/s-1-1"), 200);
    cluster.wait_until_caught_up();
    cluster.kill(lost);
    cluster.delete_store(lost);
    cluster.start(lost);
    cluster.wait_until_ready(lost);
    cluster.wait_until_draining(&[lost], "s-1-1");
    eventually("it votes again, as another one", || {
        let text = cluster.fleet_status(leader);
        text.lines().any(|l| {
            l.starts_with(&format!("member b{lost} ")) && l.contains(" voter ") && !l.contains(&before[0])
        })
    });
    assert!(cluster.fleet_status(leader).contains(&format!("removed b{lost} {}", before[0])));
    // The same file with what was in it earlier, written over in place.
    cluster.kill(old);
    std::fs::OpenOptions::new().write(true).truncate(true).open(&file).unwrap().write_all(&copy).unwrap();
    cluster.start(old);
    eventually("it is a new one", || {
        let text = cluster.fleet_status(leader);
        text.lines().any(|l| {
            l.starts_with(&format!("member b{old} ")) && l.contains(" voter ") && !l.contains(&before[1])
        })
    });
    cluster.wait_until_ready(old);
    cluster.wait_until_caught_up();
    assert_eq!(cluster.is_draining(old, "s-1-1"), Some(true));
    let voters = cluster.voter_count(leader);
    assert_eq!(voters, 5);
    holds(cluster, None);
}

/// Members come and go one at a time while requests run.
#[test]
fn a_fleet_goes_from_three_to_five_and_back_under_load() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, ..ClusterConfig::default() });
    cluster.start_all();
    let load = cluster.start_load(plan(300.0, 4));
    let runs = || {
        let before = load.finished_count();
        eventually("requests run", || load.finished_count() > before + 80);
    };
    for _ in 0..2 {
        runs();
        let n = cluster.add_node(&[0, 1, 2]);
        cluster.start(n);
        cluster.wait_until_ready(n);
        eventually("it follows", || cluster.fleet_status(0).contains(&format!("member b{n} ")));
        assert!(
            cluster.fleet_status(n).contains(&format!("daemon b{n} "))
                && cluster.fleet_field(n, "fleet") == cluster.fleet_field(0, "fleet")
        );
        assert_eq!(cluster.post(n, &format!("/fleet/vote/b{n}")), 200);
    }
    eventually("five vote", || cluster.voter_count(3) == 5);
    assert_eq!(cluster.post(4, "/drain/s-1-1"), 200);
    // The leader itself goes first, then another one.
    for _ in 0..2 {
        runs();
        let goes = cluster.wait_for_leader();
        let stays = cluster.running_nodes().into_iter().find(|n| *n != goes).unwrap();
        assert_eq!(cluster.post(stays, &format!("/fleet/leave/b{goes}")), 200);
        eventually("it says so itself", || {
            cluster.fleet_status(goes).lines().any(|l| l.starts_with("daemon ") && l.ends_with(" removed"))
        });
        assert_eq!(cluster.post(goes, "/drain/s-2-2"), 409);
        assert_eq!(cluster.is_draining(goes, "s-1-1"), Some(true), "it serves with what it last knew");
        cluster.kill(goes);
    }
    let stays = cluster.running_nodes();
    assert_eq!(stays.len(), 3);
    let voters = cluster.voter_count(stays[0]);
    assert_eq!(voters, 3);
    assert_eq!(cluster.post(stays[0], "/undrain/s-1-1"), 200);
    cluster.wait_until_caught_up();
    runs();
    let asked = load.finish();
    assert!(check::no_stale_reads(&asked).unwrap() > 100);
    check::every_request_answered(&asked, &cluster.downtimes, REQUEST_TIMEOUT).unwrap();
    holds(cluster, None);
}

/// Guards against an order of changes, a lease or an election that trusts clocks.
#[test]
fn clocks_that_differ_by_five_seconds_change_nothing_in_what_is_agreed() {
    let cluster = &mut cluster(ClusterConfig {
        clock_offsets: [5_000, 0, -5_000, 0, 2_500].map(ClockOffset::from_millis).to_vec(),
        ..ClusterConfig::default()
    });
    cluster.start_all();
    for (n, host) in [(0, "s-1-0"), (2, "s-1-1"), (4, "s-1-2")] {
        assert_eq!(cluster.post(n, &format!("/drain/{host}")), 200);
    }
    // The one whose clock is behind undoes what the one whose clock is ahead has said.
    assert_eq!(cluster.post(2, "/undrain/s-1-0"), 200);
    let leader = cluster.wait_for_leader();
    cluster.kill(leader);
    cluster.wait_for_leader();
    let n = cluster.running_nodes()[0];
    assert_eq!(cluster.post(n, "/drain/s-2-0"), 200);
    cluster.start(leader);
    cluster.wait_until_ready(leader);
    cluster.wait_until_caught_up();
    for n in 0..5 {
        let seen = ["s-1-0", "s-1-1", "s-1-2", "s-2-0"].map(|h| cluster.is_draining(n, h));
        assert_eq!(seen, [Some(false), Some(true), Some(true), Some(true)], "daemon {n}");
    }
    holds(cluster, Some(5));
}

/// Guards against two fleets out of one, and against a daemon that acts on what nobody agreed to.
#[test]
fn a_fleet_forms_when_all_have_answered_or_an_operator_says_so() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, ..ClusterConfig::default() });
    cluster.start(0);
    cluster.start(1);
    eventually("it says what it waits for", || cluster.fleet_status(0).contains("waits for an answer of"));
    assert!(cluster.fleet_status(0).contains("serves nothing"));
    assert_eq!(cluster.post(0, "/drain/s-1-1"), 404, "it knows no host yet");
    // Nothing is served yet, and whoever asks is told so at once, with a time to come back.
    let front = cluster.nodes[0].process().wait_for_address(log_lines::SPARQL_LISTENING);
    for path in ["/-/ready", "/sparql?query=ASK%20%7B%7D"] {
        let early = brookpass_testkit::http::call(front, "GET", path).unwrap();
        assert_eq!((early.status(), early.header("retry-after").is_some()), (503, path != "/-/ready"));
    }
    assert_eq!(cluster.post(0, "/fleet/form"), 200);
    cluster.wait_until_ready(0);
    cluster.wait_until_ready(1);
    cluster.start(2);
    cluster.wait_until_ready(2);
    cluster.wait_until_caught_up();
    assert_eq!(cluster.fleet_field(2, "fleet"), cluster.fleet_field(0, "fleet"));
    assert_eq!(cluster.post(2, "/fleet/form"), 409);
    // Whoever was not there when it was formed follows, until an operator gives it a vote.
    assert!(
        cluster.fleet_status(0).lines().any(|l| l.starts_with("member b2 ") && l.contains(" follower ")),
        "{}",
        cluster.fleet_status(0)
    );
    holds(cluster, None);
}

/// Guards against a daemon that strangers' bytes stop, or that loses what it has over them.
#[test]
fn bytes_out_of_form_are_dropped_and_counted() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, ..ClusterConfig::default() });
    cluster.start_all();
    let at = cluster.nodes[0].store_address;
    let upgrade = "POST /fleet/link HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\nContent-Length: 0\r\n\r\n";
    let mut rng = fastrand_bytes(7);
    for round in 0..60 {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(upgrade.as_bytes()).unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).unwrap();
        let length: u32 = match round % 3 {
            0 => u32::MAX,
            1 => 40,
            _ => 0,
        };
        let noise: Vec<u8> = (0..44).map(|_| rng()).collect();
        let _ = stream.write_all(&[&length.to_be_bytes()[..], &noise].concat());
        let mut rest = Vec::new();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = stream.read_to_end(&mut rest);
    }
    let dropped: u64 = cluster.fleet_field(0, "frames").parse().unwrap();
    assert!(dropped >= 60, "{dropped}");
    assert_eq!(cluster.post(0, "/drain/s-1-1"), 200);
    cluster.wait_until_caught_up();
    assert_eq!(cluster.fleet_field(0, "panics"), "0");
    holds(cluster, Some(3));
}

/// A little noise by seed.
fn fastrand_bytes(seed: u64) -> impl FnMut() -> u8 {
    let mut x = seed;
    move || {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (x >> 56) as u8
    }
}

/// Guards against one slow daemon that holds the others up, or for which they hold ever more.
#[test]
fn a_slow_daemon_makes_nobody_else_slow_and_catches_up() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, ..ClusterConfig::default() });
    cluster.start_all();
    let leader = cluster.wait_for_leader();
    let rest = others(cluster, leader);
    let (slow, other) = (rest[0], rest[1]);
    cluster.set_node_faults(slow, LinkFaults { bytes_per_second: 2_000, ..LinkFaults::NONE });
    for round in 0..150 {
        let host = ["s-1-0", "s-1-1", "s-2-2"][round % 3];
        let began = std::time::Instant::now();
        assert_eq!(cluster.post(other, &format!("/drain/{host}")), 200);
        assert_eq!(cluster.is_draining(leader, host), Some(true));
        assert!(began.elapsed() < Duration::from_millis(1_000), "round {round}: {:?}", began.elapsed());
        assert_eq!(cluster.post(leader, &format!("/undrain/{host}")), 200);
    }
    for n in [leader, other] {
        let memory = cluster.nodes[n].process().resource_usage().memory_kib;
        assert!(memory < 64 * 1024, "daemon {n} holds {memory} KiB");
    }
    assert_eq!(cluster.post(leader, "/drain/s-1-1"), 200);
    cluster.heal_links();
    cluster.wait_until_draining(&[slow], "s-1-1");
    cluster.wait_until_caught_up();
    holds(cluster, Some(3));
}

/// Guards against a change that goes into the log in the midst of another one's step.
#[test]
fn changes_side_by_side_are_all_agreed() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, groups: 8, ..ClusterConfig::default() });
    cluster.start_all();
    thread::scope(|s| {
        for group in 1..=8 {
            let at = cluster.nodes[group % 3].store_address;
            s.spawn(move || {
                for round in 0..12 {
                    for word in ["drain", "undrain"] {
                        let path = format!("/{word}/s-{group}-{}", round % 3);
                        assert_eq!(http::call(at, "POST", &path).map(|m| m.status()), Some(200), "{path}");
                    }
                }
            });
        }
    });
    cluster.wait_until_caught_up();
    for n in 0..3 {
        assert_eq!(cluster.fleet_field(n, "panics"), "0", "daemon {n}");
        assert!(!cluster.fleet_status(n).contains("\ndrain "), "daemon {n}");
    }
    holds(cluster, Some(3));
}

/// Guards against daemons that each find a new primary by themselves, with a write that has to fail first.
#[test]
fn what_one_daemon_hears_of_a_primary_the_others_know() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, ..ClusterConfig::default() });
    cluster.start_all();
    let learned = |cluster: &TestCluster, n: usize| {
        http::call(cluster.nodes[n].store_address, "GET", "/fleet/learned").unwrap().text()
    };
    // The hub hears of it only through the one between them.
    cluster.cut_one_way(0, 2);
    let primaries = ["s-1-0", "s-1-2", "s-1-1"];
    for (round, host) in primaries.into_iter().enumerate() {
        cluster.endpoints.promote(1, host);
        let number = 1_000_000 + 10 * round as u64;
        assert_eq!(cluster.write(0, 1, number), 200);
        for n in [1, 2] {
            let words = format!("group 1 primary {host} heard by b0");
            eventually("the others know", || learned(cluster, n).contains(&words));
        }
        for n in [2, 1] {
            let number = number + n as u64;
            assert_eq!(cluster.write(n, 1, number), 200);
            assert_eq!(cluster.endpoints_reached(number), [host], "daemon {n} asked nobody else");
        }
    }
    let text = learned(cluster, 2);
    assert!(text.lines().any(|l| l.starts_with("s-1-1 b0 primary ")), "{text}");
    holds(cluster, Some(3));
}

/// Plays faults by seed with a load beside them, and reads the histories.
fn play(seed: u64) {
    let cluster = &mut five();
    let endpoints = cluster.endpoints.names();
    let load = cluster.start_load(plan(250.0, seed));
    let schedule = FaultSchedule::random_node_faults(seed, 5, &endpoints, Duration::from_secs(5));
    let calls = cluster.run_schedule(&schedule);
    let running = cluster.running_nodes();
    assert_eq!(running.len(), 5, "seed {seed}");
    running.iter().for_each(|n| cluster.wait_until_ready(*n));
    cluster.wait_until_caught_up();
    let asked = load.finish();
    let faulty = |why: String| -> ! { panic!("seed {seed}: {why}\n{schedule:#?}") };
    let violated = |error: CheckError| -> ! { faulty(error.to_string()) };
    check::same_committed_sequence(&cluster.logs(), Some(5)).unwrap_or_else(|e| violated(e));
    check::no_stale_reads(&asked).unwrap_or_else(|e| violated(e));
    check::every_request_answered(&asked, &cluster.downtimes, REQUEST_TIMEOUT)
        .unwrap_or_else(|e| violated(e));
    let arrivals: Vec<Arrival> = cluster.endpoints.arrivals();
    check::no_overlapping_attempts(&arrivals).unwrap_or_else(|e| violated(e));
    // A drain that was answered stands, unless an undrain was said after it, or beside it.
    for call in &calls {
        let FaultAction::Drain { endpoint, .. } = &call.action else { continue };
        let undone = calls.iter().any(|other| {
            matches!(&other.action, FaultAction::Undrain { endpoint: undrained, .. } if undrained == endpoint)
                && other.called_at > call.called_at - Duration::from_secs(5)
        });
        let status = call.status;
        if matches!(status, 200 | 202) && !undone {
            for n in 0..5 {
                if cluster.is_draining(n, endpoint) != Some(true) {
                    faulty(format!("the drain of {endpoint}, answered {status}, is lost at node {n}"));
                }
            }
        }
    }
}

/// Random faults by seed; `LAB_SEEDS=100..300` plays others.
#[test]
fn random_faults_by_seed() {
    for seed in seed_range("0..3") {
        play(seed);
        println!("seed {seed} holds");
    }
}
