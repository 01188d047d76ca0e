//! Power losses of the whole fleet and its endpoints under load: in which order service returns, how much load cold
//! endpoints get, and how lost writes are reported to their sessions.

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

/// First request id of the writes that tests send one by one. The load generator numbers its requests from 1, with one
/// counter for all clusters of the process, so ids from here on never collide with it.
const FIRST_SINGLE_WRITE_ID: u64 = 80_000_000;

fn new_cluster(config: ClusterConfig) -> TestCluster {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, config)
}

/// Limits each endpoint to four concurrent operations of 40 ms, 100 a second, so that the load can overload it.
fn limit_endpoint_capacity(cluster: &TestCluster) {
    for endpoint in cluster.endpoints.iter() {
        endpoint.configure(|behavior| {
            behavior.slots = 4;
            behavior.service_time = Duration::from_millis(40);
        });
    }
}

fn lost_commits(cluster: &TestCluster) -> BTreeMap<u32, Vec<LostCommits>> {
    cluster
        .endpoints
        .iter()
        .map(|endpoint| (endpoint.group, cluster.endpoints.lost_commits(endpoint.group)))
        .collect()
}

/// Asserts what must hold under any fault: no stale reads, no overlapping attempts, no write executed twice, one answer
/// per request, and lost writes reported to their sessions. Returns how many requests got such a report.
fn assert_invariants(cluster: &TestCluster, requests: &[RequestRecord]) -> usize {
    check::no_stale_reads(requests).unwrap();
    check::no_overlapping_attempts(&cluster.endpoints.arrivals()).unwrap();
    check::every_request_answered(requests, &cluster.downtimes, ANSWER_TIMEOUT).unwrap();
    check::sessions_told_of_lost_writes(requests, &lost_commits(cluster)).unwrap()
}

/// Asserts that no cold endpoint gets more than its bound. Returns the load of the worst second as a fraction of its
/// bound.
fn worst_cold_load(cluster: &TestCluster, started_at: Timestamp) -> f64 {
    let arrivals = cluster.endpoints.arrivals();
    let cold = ColdStartBound { started_at, warm_capacity_per_second: 100.0, overload_multiple: 4.0 };
    cluster
        .endpoints
        .iter()
        .map(|endpoint| check::cold_endpoint_not_overloaded(&arrivals, &endpoint.name, cold).unwrap())
        .fold(0.0, f64::max)
}

fn served_count(requests: &[RequestRecord], from: Timestamp, to: Timestamp) -> usize {
    requests
        .iter()
        .filter(|request| request.status == 200 && (from..to).contains(&request.finished_at))
        .count()
}

fn line_index(log: &[String], text: &str) -> usize {
    log.iter()
        .position(|line| line.contains(text))
        .unwrap_or_else(|| panic!("no line with {text:?}: {log:#?}"))
}

fn load_profile(seed: u64) -> LoadProfile {
    LoadProfile {
        requests_per_second: 240.0,
        clients: 20,
        groups: 4,
        seed,
        retries_rejections: true,
        ..LoadProfile::default()
    }
}

/// Waits until each node has saved its gossip to disk while serving.
fn wait_until_gossip_saved(cluster: &TestCluster) {
    for node in 0..cluster.nodes.len() {
        cluster.nodes[node].process().wait_for_line(log_lines::GOSSIP_SAVED);
    }
}

/// Guards against three faults after nodes and endpoints lose power at once: nodes that together overload cold
/// endpoints, sessions that are served without their lost writes, and drains that are undone.
#[test]
fn invariants_hold_when_all_nodes_and_endpoints_lose_power_under_load() {
    let cluster = &mut new_cluster(ClusterConfig { groups: 4, ..ClusterConfig::default() });
    limit_endpoint_capacity(cluster);
    cluster.start_all();
    assert_eq!(cluster.post(0, "/drain/s-4-2"), 200);
    let load = cluster.start_load(load_profile(1));
    wait_until_gossip_saved(cluster);
    thread::sleep(Duration::from_secs(1));
    let powered_off_at = Timestamp::now();
    (0..5).for_each(|node| cluster.kill(node));
    cluster.endpoints.power_off();
    thread::sleep(Duration::from_millis(300));
    cluster.endpoints.power_on(Duration::from_millis(150));
    let powered_on_at = Timestamp::now();
    cluster.start_nodes(&[0, 1, 2, 3, 4]);
    (0..5).for_each(|node| cluster.wait_until_ready(node));
    let candidates = (0..5)
        .filter(|node| cluster.log(*node).iter().any(|line| line.contains(log_lines::FIRST_ELECTION_STARTED)))
        .count();
    assert!(candidates >= 1, "no node started an election without waiting for its timeout");
    let served_before = load.served_within(powered_off_at - Duration::from_secs(1)..powered_off_at);
    eventually("throughput is back at half of its earlier value", || {
        let end = Timestamp::now();
        load.served_within(end - Duration::from_secs(1)..end) * 2 > served_before
    });
    eventually("a session is told of its lost write", || load.has_attempt(|request| request.status == 412));
    let requests = load.finish();
    assert!(assert_invariants(cluster, &requests) > 0);
    let worst = worst_cold_load(cluster, powered_on_at);
    assert!(worst < 1.0);
    check::no_arrivals_while_drained(
        &cluster.endpoints.arrivals(),
        &[DrainPeriod::since("s-4-2", powered_on_at)],
    )
    .unwrap();
    for node in 0..5 {
        assert_eq!(cluster.is_draining(node, "s-4-2"), Some(true));
        let log = cluster.log(node);
        let steps = [log_lines::RECOVERY_PHASE_WRITES, log_lines::RECOVERY_PHASE_LAST]
            .map(|step| line_index(&log, step));
        assert!(steps[0] < steps[1]);
    }
    check::same_committed_sequence(&cluster.logs(), Some(5)).unwrap();
}

/// Guards against each node polling every endpoint after a restart: the total must not grow with the number of nodes.
#[test]
fn polls_per_endpoint_after_a_restart_do_not_grow_with_the_node_count() {
    let mut total_polls = Vec::new();
    for nodes in [3, 9] {
        let cluster = &mut new_cluster(ClusterConfig { nodes, groups: 4, ..ClusterConfig::default() });
        cluster.start_all();
        (0..nodes).for_each(|node| cluster.kill(node));
        let powered_on_at = Timestamp::now();
        (0..nodes).for_each(|node| cluster.start(node));
        (0..nodes).for_each(|node| cluster.wait_until_ready(node));
        for node in 0..nodes {
            assert_eq!(cluster.write(node, 1, 9_000 + node as u64), 200);
        }
        let poll_count = |endpoint: &StandInEndpoint| {
            endpoint.polls().into_iter().filter(|at| *at >= powered_on_at).count()
        };
        let counts: Vec<usize> = cluster.endpoints.iter().map(poll_count).collect();
        assert!(counts.iter().all(|count| *count >= 1), "{counts:?}");
        total_polls.push(counts.iter().sum::<usize>());
        assert!(counts.iter().all(|count| *count <= 4), "{nodes} nodes: {counts:?}");
        eventually("recovery is done", || {
            (0..nodes).all(|node| cluster.fleet_status(node).contains("recovery done"))
        });
    }
    assert!(total_polls[1] <= total_polls[0] * 2, "{total_polls:?}");
}

/// Guards against two halves of a partitioned fleet that each use the whole capacity of a cold endpoint.
#[test]
fn partitioned_halves_together_do_not_overload_cold_endpoints() {
    let cluster = &mut new_cluster(ClusterConfig { nodes: 4, groups: 3, ..ClusterConfig::default() });
    limit_endpoint_capacity(cluster);
    cluster.start_all();
    assert_eq!(cluster.post(1, "/drain/s-2-2"), 200);
    cluster.wait_until_caught_up();
    let load = cluster.start_load(LoadProfile { groups: 3, ..load_profile(2) });
    wait_until_gossip_saved(cluster);
    (0..4).for_each(|node| cluster.kill(node));
    cluster.endpoints.power_off();
    cluster.partition(&[vec![0, 1], vec![2, 3]]);
    cluster.endpoints.power_on(Duration::ZERO);
    let powered_on_at = Timestamp::now();
    (0..4).for_each(|node| cluster.start(node));
    (0..4).for_each(|node| cluster.wait_until_ready(node));
    // Neither half is a majority: drains stay in effect and undrains are refused.
    for node in [0, 3] {
        assert!(
            cluster.fleet_status(node).contains("serves with what was last agreed"),
            "{}",
            cluster.fleet_status(node)
        );
        assert_eq!(cluster.post(node, "/undrain/s-2-2"), 503);
    }
    assert_eq!(cluster.post(0, "/drain/s-3-1"), 202);
    thread::sleep(Duration::from_millis(500));
    cluster.heal_links();
    cluster.wait_until_draining(&[0, 1, 2, 3], "s-3-1");
    cluster.wait_until_caught_up();
    let requests = load.finish();
    assert_invariants(cluster, &requests);
    assert!(worst_cold_load(cluster, powered_on_at) < 1.0);
    check::no_arrivals_while_drained(
        &cluster.endpoints.arrivals(),
        &[DrainPeriod::since("s-2-2", powered_on_at)],
    )
    .unwrap();
    assert!(served_count(&requests, powered_on_at, Timestamp::MAX) > 100);
    check::same_committed_sequence(&cluster.logs(), Some(4)).unwrap();
}

/// Guards, when nodes restart one by one, against a first node that sends all load to cold endpoints or does not serve
/// until all others run, and against losing changes that were not yet committed when the power failed.
#[test]
fn nodes_that_restart_one_by_one_agree_on_changes_in_flight_at_the_power_loss() {
    let cluster = &mut new_cluster(ClusterConfig { nodes: 3, groups: 3, ..ClusterConfig::default() });
    limit_endpoint_capacity(cluster);
    cluster.start_all();
    let load = cluster.start_load(LoadProfile { groups: 3, ..load_profile(3) });
    wait_until_gossip_saved(cluster);
    let addresses: Vec<_> = cluster.nodes.iter().map(|node| node.store_address).collect();
    let calls: Vec<_> = ["s-1-2", "s-2-2", "s-3-2"]
        .into_iter()
        .zip(addresses)
        .map(|(endpoint, address)| {
            thread::spawn(move || {
                (
                    endpoint,
                    http::call(address, "POST", &format!("/drain/{endpoint}")).map_or(0, |m| m.status()),
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(3));
    (0..3).for_each(|node| cluster.kill(node));
    let answers: Vec<(&str, u16)> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    cluster.endpoints.power_off();
    cluster.endpoints.power_on(Duration::ZERO);
    let powered_on_at = Timestamp::now();
    for node in 0..3 {
        cluster.start(node);
        cluster.wait_until_ready(node);
        thread::sleep(Duration::from_millis(1_200));
    }
    cluster.wait_until_caught_up();
    let requests = load.finish();
    assert_invariants(cluster, &requests);
    assert!(worst_cold_load(cluster, powered_on_at) < 1.0);
    for (endpoint, status) in answers {
        let draining: Vec<_> = (0..3).map(|node| cluster.is_draining(node, endpoint)).collect();
        assert!(draining.iter().all(|d| *d == draining[0]), "{endpoint}: {draining:?}");
        assert!(
            status == 0 || draining[0] == Some(true),
            "{endpoint} was answered with {status}: {draining:?}"
        );
    }
    check::same_committed_sequence(&cluster.logs(), Some(3)).unwrap();
}

/// Guards against restarted nodes that do not get the current primaries from running nodes, after a rolling restart and
/// after a kill of all nodes but one.
#[test]
fn restarted_nodes_take_over_the_primaries_that_running_nodes_know() {
    let cluster = &mut new_cluster(ClusterConfig { nodes: 3, groups: 3, ..ClusterConfig::default() });
    cluster.start_all();
    let load = cluster.start_load(LoadProfile { groups: 3, ..load_profile(4) });
    wait_until_gossip_saved(cluster);
    for node in 0..3 {
        cluster.kill(node);
        cluster.wait_for_leader();
        cluster.start(node);
        cluster.wait_until_ready(node);
        cluster.wait_until_caught_up();
    }
    let last = cluster.wait_for_leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != last).collect();
    others.iter().for_each(|node| cluster.kill(*node));
    thread::sleep(Duration::from_millis(200));
    others.iter().for_each(|node| cluster.start(*node));
    others.iter().for_each(|node| cluster.wait_until_ready(*node));
    for node in others {
        let request_id = FIRST_SINGLE_WRITE_ID + node as u64;
        assert_eq!(cluster.write(node, 2, request_id), 200);
        assert_eq!(cluster.endpoints_reached(request_id), ["s-2-0"], "the node knew the primary");
    }
    cluster.wait_until_caught_up();
    let requests = load.finish();
    assert_invariants(cluster, &requests);
    check::same_committed_sequence(&cluster.logs(), Some(3)).unwrap();
}

/// Reads once in a session whose last write has the log position `commit`; returns the status and the position that the
/// answer states.
fn read_once(cluster: &TestCluster, node: usize, commit: i64) -> (u16, Option<i64>) {
    let text = format!(
        "GET /sparql?query=SELECT%20r%23901 HTTP/1.1\r\nHost: lab\r\nBrookpass-Group: 1\r\n\
         Brookpass-Session: s\r\nBrookpass-Position: {commit}\r\n\r\n"
    );
    let mut connection =
        http::Connection::open(cluster.sparql_address(node), Duration::from_secs(5)).unwrap();
    connection.call(&text).map(|m| (m.status(), m.number("brookpass-position"))).expect("an answer")
}

/// Guards against a node that serves a session without its lost write because only another node observed the loss, and
/// against records of a loss that do not survive a restart.
#[test]
fn every_node_tells_a_session_of_its_lost_write_even_after_restarts() {
    let cluster = &mut new_cluster(ClusterConfig { nodes: 3, groups: 1, ..ClusterConfig::default() });
    cluster.start_all();
    let write = |cluster: &TestCluster, node: usize| {
        let mut commit = None;
        eventually("a write is admitted", || {
            let answer = cluster.write_response(node, 1, 900).filter(|m| m.status() == 200);
            commit = answer.and_then(|m| m.number("brookpass-position"));
            commit.is_some()
        });
        commit.expect("a commit")
    };
    // Reads that a cold endpoint rejects are retried.
    let read = |cluster: &TestCluster, node: usize, commit: i64| {
        let mut last = (0, None);
        eventually("a read is admitted", || {
            last = read_once(cluster, node, commit);
            last.0 != 503
        });
        last
    };
    let surviving = write(cluster, 0);
    thread::sleep(Duration::from_millis(400));
    let lost = write(cluster, 0);
    assert_eq!((read(cluster, 1, surviving).0, read(cluster, 1, lost).0), (200, 200));
    cluster.endpoints.power_off();
    cluster.endpoints.power_on(Duration::from_millis(200));
    // The log position of the restarted primary shows that it lost commits.
    eventually("the session is told of its lost write", || read(cluster, 1, lost) == (412, Some(surviving)));
    assert_eq!(read(cluster, 1, surviving).0, 200);
    for node in 0..3 {
        eventually("node knows of the loss", || cluster.fleet_status(node).contains("lost group 1 after"));
    }
    // The loss is reported even after the primary has newer commits, also by nodes that did not observe it.
    let newer = write(cluster, 2);
    assert!(newer > lost);
    for node in 0..3 {
        assert_eq!(
            (read(cluster, node, lost), read(cluster, node, surviving).0, read(cluster, node, newer).0),
            ((412, Some(surviving)), 200, 200)
        );
    }
    let log_of = |cluster: &TestCluster, node: usize| cluster.nodes[node].process().log();
    for node in 0..3 {
        let lines_before = log_of(cluster, node).len();
        eventually("the loss is saved to disk", || {
            read(cluster, node, surviving);
            log_of(cluster, node)[lines_before.min(log_of(cluster, node).len())..]
                .iter()
                .any(|line| line.contains(log_lines::GOSSIP_SAVED))
        });
    }
    (0..3).for_each(|node| cluster.kill(node));
    (0..3).for_each(|node| cluster.start(node));
    (0..3).for_each(|node| cluster.wait_until_ready(node));
    for node in 0..3 {
        assert_eq!((read(cluster, node, lost).0, read(cluster, node, newer).0), (412, 200), "node {node}");
    }
}
