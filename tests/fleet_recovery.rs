//! The whole fleet after a loss of power: what each daemon trusts from before, and what nobody loses.

use brookpass_testkit::check;
use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use brookpass_testkit::process::ClockOffset;
use brookpass_testkit::{eventually, http, log_lines};
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

fn cluster(setup: ClusterConfig) -> TestCluster {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, setup)
}

fn power_off(cluster: &mut TestCluster) {
    (0..cluster.nodes.len()).for_each(|n| cluster.kill(n));
}

fn power_on(cluster: &mut TestCluster) {
    (0..cluster.nodes.len()).for_each(|n| cluster.start(n));
    (0..cluster.nodes.len()).for_each(|n| cluster.wait_until_ready(n));
}

/// Waits until all daemons know the primaries of so many groups, and have that on their disks.
fn kept(cluster: &TestCluster, groups: usize) {
    let knows = |n: usize| {
        let text = http::call(cluster.nodes[n].store_address, "GET", "/fleet/learned")
            .map_or(String::new(), |m| m.text());
        text.lines().filter(|l| l.starts_with("group ") && l.contains(" primary ")).count() == groups
    };
    let count = |n: usize| {
        let log = cluster.nodes[n].process().log();
        log.iter().filter(|l| l.contains(log_lines::GOSSIP_SAVED)).count()
    };
    let number = AtomicU64::new(1_000_000);
    for n in 0..cluster.nodes.len() {
        eventually("it knows the primaries", || knows(n));
        let before = count(n);
        eventually("it keeps what it knows", || {
            assert_eq!(cluster.write(n, 1, number.fetch_add(1, Ordering::SeqCst)), 200);
            count(n) > before
        });
    }
}

/// Guards against a fleet that comes back and asks all hosts anew who is primary, with writes that fail first, and
/// against what was learned before passing for fresh where the clock was set.
#[test]
fn primaries_from_before_are_first_guesses_unless_the_clock_was_set() {
    let cluster = &mut cluster(ClusterConfig { nodes: 3, groups: 6, ..ClusterConfig::default() });
    // Whoever the list's order would try first is no primary anywhere.
    let primary = |group: u32| {
        let mut members = brookpass::engine::endpoints::EndpointRegistry::default();
        let mut names: Vec<String> = (0..3).map(|n| format!("s-{group}-{n}")).collect();
        names.sort_by_key(|name| members.register(name));
        names.pop().unwrap()
    };
    for group in 1..=6 {
        cluster.endpoints.promote(group, &primary(group));
    }
    cluster.start_all();
    for group in 1..=6 {
        assert_eq!(cluster.write(0, group, 100 + u64::from(group)), 200);
    }
    kept(cluster, 6);
    power_off(cluster);
    cluster.set_clock_offset(2, ClockOffset::from_millis(-60_000));
    power_on(cluster);
    let said = |cluster: &TestCluster, n: usize, words: &str| cluster.nodes[n].process().wait_for_line(words);
    assert!(said(cluster, 0, log_lines::SAVED_GOSSIP_USED).contains(log_lines::SAVED_GOSSIP_AGE));
    assert!(said(cluster, 2, log_lines::SAVED_GOSSIP_REJECTED).contains(log_lines::CLOCK_CHANGED));
    for n in [0, 1] {
        let text = http::call(cluster.nodes[n].store_address, "GET", "/fleet/learned").unwrap().text();
        assert!(text.contains("group 1 guess s-1-") || text.contains("group 1 primary s-1-"), "{text}");
        for group in 1..=6 {
            let number = 1_000 + 100 * n as u64 + u64::from(group);
            assert_eq!(cluster.write(n, group, number), 200);
            assert_eq!(cluster.endpoints_reached(number), [primary(group)], "daemon {n}, group {group}");
        }
    }
    // A guess that is wrong costs time only: the primaries have moved while all were down.
    power_off(cluster);
    cluster.set_clock_offset(2, ClockOffset::NONE);
    for group in 1..=6 {
        cluster.endpoints.promote(group, &format!("s-{group}-0"));
    }
    power_on(cluster);
    for group in 1..=6 {
        let number = 2_000 + u64::from(group);
        assert_eq!(cluster.write(1, group, number), 200);
        assert_eq!(cluster.endpoints_reached(number).last(), Some(&format!("s-{group}-0")));
    }
    check::no_overlapping_attempts(&cluster.endpoints.arrivals()).unwrap();
    check::same_committed_sequence(&cluster.logs(), Some(3)).unwrap();
}

/// Guards against an old or damaged disk that brings back what was ended, or loses a drain, after all lost their power.
#[test]
fn the_newest_agreed_state_wins_over_an_old_disk_and_a_damaged_one() {
    let cluster = &mut cluster(ClusterConfig::default());
    cluster.start_all();
    assert_eq!(cluster.post(0, "/drain/s-1-0"), 200);
    cluster.wait_until_caught_up();
    power_off(cluster);
    let file = |cluster: &TestCluster, n: usize| cluster.nodes[n].folder.join("fleet.store");
    let week_ago = std::fs::read(file(cluster, 0)).unwrap();
    power_on(cluster);
    assert_eq!(cluster.post(1, "/undrain/s-1-0"), 200);
    for host in ["s-1-1", "s-2-2"] {
        assert_eq!(cluster.post(2, &format!("/drain/{host}")), 200);
    }
    cluster.wait_until_caught_up();
    power_off(cluster);
    let mut old = std::fs::OpenOptions::new().write(true).truncate(true).open(file(cluster, 0)).unwrap();
    old.write_all(&week_ago).unwrap();
    let bytes = std::fs::read(file(cluster, 1)).unwrap();
    std::fs::OpenOptions::new()
        .write(true)
        .open(file(cluster, 1))
        .unwrap()
        .set_len(bytes.len() as u64 / 3)
        .unwrap();
    power_on(cluster);
    for n in 0..5 {
        cluster.wait_until_active(&[n], "s-1-0");
        let seen = ["s-1-1", "s-2-2"].map(|host| cluster.is_draining(n, host));
        assert_eq!(seen, [Some(true); 2], "daemon {n}");
    }
    eventually("all vote again", || cluster.voter_count(3) == 5);
    assert!(cluster.nodes[1].folder.join("fleet.store.damaged").exists());
    check::same_committed_sequence(&cluster.logs(), None).unwrap();
}

/// Guards against two of five that come back alone and act as if they were all, or serve nothing.
#[test]
fn two_of_five_serve_with_what_was_agreed_and_relax_nothing() {
    let cluster = &mut cluster(ClusterConfig::default());
    cluster.start_all();
    assert_eq!(cluster.post(0, "/drain/s-1-1"), 200);
    cluster.wait_until_caught_up();
    power_off(cluster);
    for n in [1, 3] {
        cluster.start(n);
    }
    for n in [1, 3] {
        cluster.wait_until_ready(n);
        assert!(
            cluster.fleet_status(n).contains("serves with what was last agreed"),
            "{}",
            cluster.fleet_status(n)
        );
        assert_eq!(cluster.is_draining(n, "s-1-1"), Some(true));
        assert_eq!(cluster.write(n, 1, 10 + n as u64), 200);
    }
    assert_eq!(cluster.post(1, "/undrain/s-1-1"), 503);
    assert_eq!(cluster.post(3, "/drain/s-2-1"), 202);
    cluster.wait_until_draining(&[1, 3], "s-2-1");
    // A loss of power keeps what only the two of them know.
    for n in [1, 3] {
        cluster.kill(n);
    }
    for n in 0..5 {
        cluster.start(n);
    }
    cluster.wait_until_draining(&[0, 1, 2, 3, 4], "s-2-1");
    assert_eq!(cluster.is_draining(0, "s-1-1"), Some(true));
    cluster.wait_until_caught_up();
    check::same_committed_sequence(&cluster.logs(), Some(5)).unwrap();
}

/// Guards against a fleet that can never agree again, and against a word of the operator's that loses drains or splits
/// a fleet that is there.
#[test]
fn on_an_operators_word_one_goes_on_alone_and_the_others_come_over() {
    let cluster = &mut cluster(ClusterConfig::default());
    cluster.start_all();
    for host in ["s-1-1", "s-2-0"] {
        assert_eq!(cluster.post(0, &format!("/drain/{host}")), 200);
    }
    cluster.wait_until_caught_up();
    let word = |cluster: &TestCluster, n: usize, more: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_brookpass"));
        let at = cluster.nodes[n].store_address.to_string();
        let done = command.args(["fleet", "recover", &at]).args(more).output().unwrap();
        let text =
            String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
        (done.status.success(), text)
    };
    let (done, text) = word(cluster, 3, &["--yes"]);
    assert!(!done && text.contains("a majority is there"), "{text}");
    power_off(cluster);
    for n in [0, 1, 2] {
        cluster.delete_store(n);
    }
    for n in 0..5 {
        cluster.start(n);
    }
    for n in [3, 4] {
        cluster.wait_until_ready(n);
    }
    // What only the other one knows comes along.
    cluster.partition(&[vec![0, 1, 2, 3], vec![4]]);
    assert_eq!(cluster.post(4, "/drain/s-2-2"), 202);
    let (done, text) = word(cluster, 3, &[]);
    assert!(done && text.contains("b0 is not heard") && text.contains("nothing was done"), "{text}");
    assert!(cluster.fleet_status(3).contains("leader none"));
    let (done, text) = word(cluster, 3, &["--yes"]);
    assert!(done && text.contains("goes on alone"), "{text}");
    for n in [0, 1, 2] {
        cluster.wait_until_ready(n);
    }
    cluster.heal_links();
    cluster.wait_until_draining(&[0, 1, 2, 3, 4], "s-2-2");
    for n in 0..5 {
        assert_eq!(["s-1-1", "s-2-0"].map(|h| cluster.is_draining(n, h)), [Some(true); 2], "daemon {n}");
    }
    assert!(cluster.nodes[4].folder.join("fleet.store.recovered").exists());
    for n in [0, 1, 2, 4] {
        eventually("it votes again", || cluster.post(3, &format!("/fleet/vote/b{n}")) == 200);
    }
    assert_eq!(cluster.post(1, "/undrain/s-1-1"), 200);
    cluster.wait_until_caught_up();
    assert_eq!(cluster.voter_count(2), 5);
}

/// Guards against a kill in the midst of a write that loses what was answered, or leaves a file that cannot be read.
/// `LAB_KILLS=200` plays more.
#[test]
fn a_kill_at_any_moment_loses_nothing_that_was_answered() {
    let kills: u64 = std::env::var("LAB_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(15);
    let cluster = &mut cluster(ClusterConfig { nodes: 1, groups: 20, ..ClusterConfig::default() });
    cluster.start_all();
    let hosts = cluster.endpoints.names();
    let mut drained = vec![false; hosts.len()];
    let mut answered = 0;
    for round in 0..kills {
        let (stop, done) = (AtomicBool::new(false), Mutex::new(Vec::new()));
        thread::scope(|s| {
            let at = cluster.nodes[0].store_address;
            let (stop, done, hosts, before) = (&stop, &done, &hosts, drained.clone());
            s.spawn(move || {
                let mut wanted = before;
                for n in (0..hosts.len()).cycle().skip(round as usize * 7 % hosts.len()) {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    wanted[n] = !wanted[n];
                    let word = if wanted[n] { "drain" } else { "undrain" };
                    let status =
                        http::call(at, "POST", &format!("/{word}/{}", hosts[n])).map_or(0, |m| m.status());
                    done.lock().unwrap().push((n, wanted[n], status));
                    if status != 200 {
                        return;
                    }
                }
            });
            thread::sleep(Duration::from_millis(5 + round * 13 % 40));
            cluster.kill(0);
            stop.store(true, Ordering::SeqCst);
        });
        cluster.start(0);
        cluster.wait_until_ready(0);
        let log = cluster.nodes[0].process().log();
        assert!(!log.iter().any(|l| l.contains(log_lines::STORE_SET_ASIDE)), "round {round}: {log:#?}");
        let mut open = None;
        for (n, wanted, status) in done.into_inner().unwrap() {
            match status {
                200 => {
                    drained[n] = wanted;
                    answered += 1;
                }
                // The kill came before its answer: either is right.
                _ => open = Some(n),
            }
        }
        for (n, host) in hosts.iter().enumerate() {
            let leaves = cluster.is_draining(0, host) == Some(true);
            assert!(leaves == drained[n] || open == Some(n), "round {round}: {host}");
            drained[n] = leaves;
        }
    }
    assert!(answered > kills, "{answered} answers over {kills} kills");
}
