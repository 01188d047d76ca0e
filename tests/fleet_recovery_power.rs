//! Power that fails for the whole fleet and its hosts, under load: in which order service returns, and what hosts and
//! sessions get.

use brookpass_testkit::check::{self, ColdStartBound, DrainPeriod};
use brookpass_testkit::client::{LoadProfile, RequestRecord};
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::endpoint::{LostCommits, StandInEndpoint};
use brookpass_testkit::{Timestamp, eventually, http, log_lines};
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Ids from here on belong to single writes: the load numbers its requests from 1, one counter for all clusters of the
/// process.
const ABOVE_THE_LOADS_REQUEST_IDS: u64 = 80_000_000;

fn cluster(setup: ClusterConfig) -> TestCluster {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, setup)
}

/// Hosts that a load can push over: four operations at once of 40 ms each, 100 a second.
fn weak(cluster: &TestCluster) {
    for endpoint in cluster.endpoints.iter() {
        endpoint.configure(|behavior| {
            behavior.slots = 4;
            behavior.service_time = Duration::from_millis(40);
        });
    }
}

fn losses(cluster: &TestCluster) -> BTreeMap<u32, Vec<LostCommits>> {
    cluster.endpoints.iter().map(|h| (h.group, cluster.endpoints.lost_commits(h.group))).collect()
}

/// The rules that hold whatever fails: no stale read, one attempt, no write twice, one answer each, sessions told.
fn rules(cluster: &TestCluster, asked: &[RequestRecord]) -> usize {
    check::no_stale_reads(asked).unwrap();
    check::no_overlapping_attempts(&cluster.endpoints.arrivals()).unwrap();
    check::every_request_answered(asked, &cluster.downtimes, ANSWER_TIMEOUT).unwrap();
    check::sessions_told_of_lost_writes(asked, &losses(cluster)).unwrap()
}

/// No cold host over its bound; the worst second of all, as a share of it.
fn spared(cluster: &TestCluster, started_at: Timestamp) -> f64 {
    let arrivals = cluster.endpoints.arrivals();
    let cold = ColdStartBound { started_at, warm_capacity_per_second: 100.0, overload_multiple: 4.0 };
    cluster
        .endpoints
        .iter()
        .map(|h| check::cold_endpoint_not_overloaded(&arrivals, &h.name, cold).unwrap())
        .fold(0.0, f64::max)
}

fn served(asked: &[RequestRecord], from: Timestamp, to: Timestamp) -> usize {
    asked.iter().filter(|a| a.status == 200 && (from..to).contains(&a.finished_at)).count()
}

fn place(log: &[String], words: &str) -> usize {
    log.iter().position(|l| l.contains(words)).unwrap_or_else(|| panic!("no line with {words:?}: {log:#?}"))
}

fn plan(seed: u64) -> LoadProfile {
    LoadProfile {
        requests_per_second: 240.0,
        clients: 20,
        groups: 4,
        seed,
        retries_rejections: true,
        ..LoadProfile::default()
    }
}

/// Waits until each daemon has written what it knows to its disk while it served.
fn kept(cluster: &TestCluster) {
    for n in 0..cluster.nodes.len() {
        cluster.nodes[n].process().wait_for_line(log_lines::GOSSIP_SAVED);
    }
}

/// Guards against daemons that push cold hosts over together, sessions that are served without their lost writes,
/// and drains that are undone, when daemons and hosts lose their power at once.
#[test]
fn all_daemons_and_hosts_lose_their_power_under_load() {
    let cluster = &mut cluster(ClusterConfig { groups: 4, ..ClusterConfig::default() });
    weak(cluster);
    cluster.start_all();
    assert_eq!(cluster.post(0, "/drain/s-4-2"), 200);
    let load = cluster.start_load(plan(1));
    kept(cluster);
    thread::sleep(Duration::from_secs(1));
    let off = Timestamp::now();
    (0..5).for_each(|n| cluster.kill(n));
    cluster.endpoints.power_off();
    thread::sleep(Duration::from_millis(300));
    cluster.endpoints.power_on(Duration::from_millis(150));
    let on = Timestamp::now();
    cluster.start_nodes(&[0, 1, 2, 3, 4]);
    (0..5).for_each(|n| cluster.wait_until_ready(n));
    let stood = (0..5)
        .filter(|n| cluster.log(*n).iter().any(|l| l.contains(log_lines::FIRST_ELECTION_STARTED)))
        .count();
    assert!(stood >= 1, "nobody waits for an election to come by itself");
    let before = load.served_within(off - Duration::from_secs(1)..off);
    eventually("service is back at half of what it was", || {
        let end = Timestamp::now();
        load.served_within(end - Duration::from_secs(1)..end) * 2 > before
    });
    eventually("sessions had writes that were lost", || load.has_attempt(|a| a.status == 412));
    let asked = load.finish();
    assert!(rules(cluster, &asked) > 0);
    let worst = spared(cluster, on);
    assert!(worst < 1.0);
    check::no_arrivals_while_drained(&cluster.endpoints.arrivals(), &[DrainPeriod::since("s-4-2", on)])
        .unwrap();
    for n in 0..5 {
        assert_eq!(cluster.is_draining(n, "s-4-2"), Some(true));
        let log = cluster.log(n);
        let steps =
            [log_lines::RECOVERY_PHASE_WRITES, log_lines::RECOVERY_PHASE_LAST].map(|step| place(&log, step));
        assert!(steps[0] < steps[1]);
    }
    check::same_committed_sequence(&cluster.logs(), Some(5)).unwrap();
}

/// Guards against hosts that are asked by each daemon for itself: the sum does not grow with the daemons.
#[test]
fn hosts_are_asked_in_turn_however_many_daemons_return() {
    let mut most = Vec::new();
    for daemons in [3, 9] {
        let cluster = &mut cluster(ClusterConfig { nodes: daemons, groups: 4, ..ClusterConfig::default() });
        cluster.start_all();
        (0..daemons).for_each(|n| cluster.kill(n));
        let on = Timestamp::now();
        (0..daemons).for_each(|n| cluster.start(n));
        (0..daemons).for_each(|n| cluster.wait_until_ready(n));
        for n in 0..daemons {
            assert_eq!(cluster.write(n, 1, 9_000 + n as u64), 200);
        }
        let asked = |h: &StandInEndpoint| h.polls().into_iter().filter(|at| *at >= on).count();
        let counts: Vec<usize> = cluster.endpoints.iter().map(asked).collect();
        assert!(counts.iter().all(|n| *n >= 1), "{counts:?}");
        most.push(counts.iter().sum::<usize>());
        let moments = cluster.nodes.len();
        assert!(counts.iter().all(|n| *n <= 4), "{moments} daemons: {counts:?}");
        eventually("service is as ever", || {
            (0..daemons).all(|n| cluster.fleet_status(n).contains("recovery done"))
        });
    }
    assert!(most[1] <= most[0] * 2, "{most:?}");
}

/// Guards against two halves that do not see one another and each take all that a cold host bears.
#[test]
fn two_halves_that_do_not_see_one_another_spare_cold_hosts_together() {
    let cluster = &mut cluster(ClusterConfig { nodes: 4, groups: 3, ..ClusterConfig::default() });
    weak(cluster);
    cluster.start_all();
    assert_eq!(cluster.post(1, "/drain/s-2-2"), 200);
    cluster.wait_until_caught_up();
    let load = cluster.start_load(LoadProfile { groups: 3, ..plan(2) });
    kept(cluster);
    (0..4).for_each(|n| cluster.kill(n));
    cluster.endpoints.power_off();
    cluster.partition(&[vec![0, 1], vec![2, 3]]);
    cluster.endpoints.power_on(Duration::ZERO);
    let on = Timestamp::now();
    (0..4).for_each(|n| cluster.start(n));
    (0..4).for_each(|n| cluster.wait_until_ready(n));
    // Neither half is a majority: drains hold, and nothing is relaxed.
    for n in [0, 3] {
        assert!(
            cluster.fleet_status(n).contains("serves with what was last agreed"),
            "{}",
            cluster.fleet_status(n)
        );
        assert_eq!(cluster.post(n, "/undrain/s-2-2"), 503);
    }
    assert_eq!(cluster.post(0, "/drain/s-3-1"), 202);
    thread::sleep(Duration::from_millis(500));
    cluster.heal_links();
    cluster.wait_until_draining(&[0, 1, 2, 3], "s-3-1");
    cluster.wait_until_caught_up();
    let asked = load.finish();
    rules(cluster, &asked);
    assert!(spared(cluster, on) < 1.0);
    check::no_arrivals_while_drained(&cluster.endpoints.arrivals(), &[DrainPeriod::since("s-2-2", on)])
        .unwrap();
    assert!(served(&asked, on, Timestamp::MAX) > 100);
    check::same_committed_sequence(&cluster.logs(), Some(4)).unwrap();
}

/// Guards against a return one by one in which whoever comes first takes all, or waits for all, and against changes
/// that are lost because the power went while they were being agreed.
#[test]
fn they_come_back_one_by_one_while_changes_were_being_agreed() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, groups: 3, ..ClusterConfig::default() });
    weak(cluster);
    cluster.start_all();
    let load = cluster.start_load(LoadProfile { groups: 3, ..plan(3) });
    kept(cluster);
    let stores: Vec<_> = cluster.nodes.iter().map(|d| d.store_address).collect();
    let calls: Vec<_> = ["s-1-2", "s-2-2", "s-3-2"]
        .into_iter()
        .zip(stores)
        .map(|(host, at)| {
            thread::spawn(move || {
                (host, http::call(at, "POST", &format!("/drain/{host}")).map_or(0, |m| m.status()))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(3));
    (0..3).for_each(|n| cluster.kill(n));
    let said: Vec<(&str, u16)> = calls.into_iter().map(|c| c.join().unwrap()).collect();
    cluster.endpoints.power_off();
    cluster.endpoints.power_on(Duration::ZERO);
    let on = Timestamp::now();
    for n in 0..3 {
        cluster.start(n);
        cluster.wait_until_ready(n);
        thread::sleep(Duration::from_millis(1_200));
    }
    cluster.wait_until_caught_up();
    let asked = load.finish();
    rules(cluster, &asked);
    assert!(spared(cluster, on) < 1.0);
    for (host, status) in said {
        let leaves: Vec<_> = (0..3).map(|n| cluster.is_draining(n, host)).collect();
        assert!(leaves.iter().all(|l| *l == leaves[0]), "{host}: {leaves:?}");
        assert!(status == 0 || leaves[0] == Some(true), "{host} was answered with {status}: {leaves:?}");
    }
    check::same_committed_sequence(&cluster.logs(), Some(3)).unwrap();
}

/// Guards against a rolling loss, and the loss of all but one, in which those that return forget what the others know
/// or ask all hosts anew.
#[test]
fn those_that_return_take_over_what_the_others_know() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, groups: 3, ..ClusterConfig::default() });
    cluster.start_all();
    let load = cluster.start_load(LoadProfile { groups: 3, ..plan(4) });
    kept(cluster);
    for n in 0..3 {
        cluster.kill(n);
        cluster.wait_for_leader();
        cluster.start(n);
        cluster.wait_until_ready(n);
        cluster.wait_until_caught_up();
    }
    let last = cluster.wait_for_leader();
    let others: Vec<usize> = (0..3).filter(|n| *n != last).collect();
    others.iter().for_each(|n| cluster.kill(*n));
    thread::sleep(Duration::from_millis(200));
    others.iter().for_each(|n| cluster.start(*n));
    others.iter().for_each(|n| cluster.wait_until_ready(*n));
    for n in others {
        let number = ABOVE_THE_LOADS_REQUEST_IDS + n as u64;
        assert_eq!(cluster.write(n, 2, number), 200);
        assert_eq!(cluster.endpoints_reached(number), ["s-2-0"], "it knew who is primary");
    }
    cluster.wait_until_caught_up();
    let asked = load.finish();
    rules(cluster, &asked);
    check::same_committed_sequence(&cluster.logs(), Some(3)).unwrap();
}

/// A read of a session whose last write has this position: the status, and the position of the answer.
fn read_once(cluster: &TestCluster, n: usize, commit: i64) -> (u16, Option<i64>) {
    let text = format!(
        "GET /sparql?query=SELECT%20r%23901 HTTP/1.1\r\nHost: lab\r\nBrookpass-Group: 1\r\n\
         Brookpass-Session: s\r\nBrookpass-Position: {commit}\r\n\r\n"
    );
    let mut open = http::Connection::open(cluster.sparql_address(n), Duration::from_secs(5)).unwrap();
    open.call(&text).map(|m| (m.status(), m.number("brookpass-position"))).expect("an answer")
}

/// Guards against sessions that are served without their writes by a daemon that was not there when a primary lost
/// them, and against a loss that is forgotten with the process.
#[test]
fn a_session_whose_write_was_lost_is_told_so_everywhere_and_after_restarts() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, groups: 1, ..ClusterConfig::default() });
    cluster.start_all();
    let write = |cluster: &TestCluster, n: usize| {
        let mut commit = None;
        eventually("a write is let in", || {
            let answer = cluster.write_response(n, 1, 900).filter(|m| m.status() == 200);
            commit = answer.and_then(|m| m.number("brookpass-position"));
            commit.is_some()
        });
        commit.expect("a commit")
    };
    // Cold hosts may turn a read away: it comes back.
    let read = |cluster: &TestCluster, n: usize, commit: i64| {
        let mut last = (0, None);
        eventually("a read is let in", || {
            last = read_once(cluster, n, commit);
            last.0 != 503
        });
        last
    };
    let kept = write(cluster, 0);
    thread::sleep(Duration::from_millis(400));
    let lost = write(cluster, 0);
    assert_eq!((read(cluster, 1, kept).0, read(cluster, 1, lost).0), (200, 200));
    cluster.endpoints.power_off();
    cluster.endpoints.power_on(Duration::from_millis(200));
    // The primary itself shows what it lacks.
    eventually("a session is told", || read(cluster, 1, lost) == (412, Some(kept)));
    assert_eq!(read(cluster, 1, kept).0, 200);
    for n in 0..3 {
        eventually("all know of it", || cluster.fleet_status(n).contains("lost group 1 after"));
    }
    // It is told also where the primary has newer commits, and by daemons that did not see it go back.
    let newer = write(cluster, 2);
    assert!(newer > lost);
    for n in 0..3 {
        assert_eq!(
            (read(cluster, n, lost), read(cluster, n, kept).0, read(cluster, n, newer).0),
            ((412, Some(kept)), 200, 200)
        );
    }
    let knows = |cluster: &TestCluster, n: usize| cluster.nodes[n].process().log();
    for n in 0..3 {
        let seen = knows(cluster, n).len();
        eventually("it is on the disk", || {
            read(cluster, n, kept);
            knows(cluster, n)[seen.min(knows(cluster, n).len())..]
                .iter()
                .any(|l| l.contains(log_lines::GOSSIP_SAVED))
        });
    }
    (0..3).for_each(|n| cluster.kill(n));
    (0..3).for_each(|n| cluster.start(n));
    (0..3).for_each(|n| cluster.wait_until_ready(n));
    for n in 0..3 {
        assert_eq!((read(cluster, n, lost).0, read(cluster, n, newer).0), (412, 200), "daemon {n}");
    }
}
