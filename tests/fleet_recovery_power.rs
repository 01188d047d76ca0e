//! Power that fails for the whole fleet and its hosts, under load: in which order service returns, and what hosts and
//! sessions get.

use brookpass_testkit::check::{self, Cold, Loss};
use brookpass_testkit::client::{Asked, Plan};
use brookpass_testkit::fleet::{Lab, Setup};
use brookpass_testkit::{eventually, http, now};
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

const PATIENCE: i64 = 2_500_000;

fn lab(setup: Setup) -> Lab {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    Lab::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, setup)
}

/// Hosts that a load can push over: four operations at once of 40 ms each, 100 a second.
fn weak(lab: &Lab) {
    lab.hosts.all.iter().for_each(|h| h.set(|h| (h.slots, h.work) = (4, Duration::from_millis(40))));
}

fn losses(lab: &Lab) -> BTreeMap<u32, Vec<Loss>> {
    lab.hosts.all.iter().map(|h| (h.group, lab.hosts.lost(h.group))).collect()
}

/// The rules that hold whatever fails: no stale read, one attempt, no write twice, one answer each, sessions told.
fn rules(lab: &Lab, asked: &[Asked]) -> usize {
    check::fresh(asked).unwrap();
    check::one_attempt(&lab.hosts.arrivals()).unwrap();
    check::answered(asked, &lab.down, PATIENCE).unwrap();
    check::told_of_loss(asked, &losses(lab)).unwrap()
}

/// No cold host over its bound; the worst second of all, as a share of it.
fn spared(lab: &Lab, started: i64) -> f64 {
    let arrivals = lab.hosts.arrivals();
    let cold = Cold { started, bears: 100.0, multiple: 4.0 };
    lab.hosts.all.iter().map(|h| check::spared(&arrivals, &h.name, cold).unwrap()).fold(0.0, f64::max)
}

fn served(asked: &[Asked], from: i64, to: i64) -> usize {
    asked.iter().filter(|a| a.status == 200 && (from..to).contains(&a.until)).count()
}

fn place(log: &[String], words: &str) -> usize {
    log.iter().position(|l| l.contains(words)).unwrap_or_else(|| panic!("no line with {words:?}: {log:#?}"))
}

fn plan(seed: u64) -> Plan {
    Plan { rate: 240.0, clients: 20, groups: 4, seed, again: true, ..Plan::default() }
}

/// Waits until each daemon has written what it knows to its disk while it served.
fn kept(lab: &Lab) {
    for n in 0..lab.daemons.len() {
        lab.daemons[n].process.as_ref().unwrap().line("words on hosts are kept");
    }
}

/// Guards against daemons that push cold hosts over together, sessions that are served without their lost writes,
/// and drains that are undone, when daemons and hosts lose their power at once.
#[test]
fn all_daemons_and_hosts_lose_their_power_under_load() {
    let lab = &mut lab(Setup { hosts: (4, 3), ..Setup::default() });
    weak(lab);
    lab.start_all();
    assert_eq!(lab.post(0, "/drain/s-4-2"), 200);
    let load = lab.load(plan(1));
    kept(lab);
    thread::sleep(Duration::from_secs(1));
    let off = now();
    (0..5).for_each(|n| lab.kill(n));
    lab.hosts.power_off();
    thread::sleep(Duration::from_millis(300));
    lab.hosts.power_on(150);
    let on = now();
    lab.start_together(&[0, 1, 2, 3, 4]);
    (0..5).for_each(|n| lab.ready(n));
    let stood = (0..5).filter(|n| lab.log(*n).iter().any(|l| l.contains("this daemon stands"))).count();
    assert!(stood >= 1, "nobody waits for an election to come by itself");
    let before = load.served(off - 1_000_000, off);
    eventually("service is back at half of what it was", || {
        let end = now();
        load.served(end - 1_000_000, end) * 2 > before
    });
    eventually("sessions had writes that were lost", || load.any(|a| a.status == 412));
    let asked = load.end();
    assert!(rules(lab, &asked) > 0);
    let worst = spared(lab, on);
    assert!(worst < 1.0);
    check::drained(&lab.hosts.arrivals(), &[("s-4-2".into(), on, i64::MAX)]).unwrap();
    for n in 0..5 {
        assert_eq!(lab.leaves(n, "s-4-2"), Some(true));
        let log = lab.log(n);
        let steps = ["step 2 of 4", "step 4 of 4"].map(|step| place(&log, step));
        assert!(steps[0] < steps[1]);
    }
    check::agreement(&lab.logs(), 5).unwrap();
}

/// Guards against hosts that are asked by each daemon for itself: the sum does not grow with the daemons.
#[test]
fn hosts_are_asked_in_turn_however_many_daemons_return() {
    let mut most = Vec::new();
    for daemons in [3, 9] {
        let lab = &mut lab(Setup { daemons, hosts: (4, 3), ..Setup::default() });
        lab.start_all();
        (0..daemons).for_each(|n| lab.kill(n));
        let on = now();
        (0..daemons).for_each(|n| lab.start(n));
        (0..daemons).for_each(|n| lab.ready(n));
        for n in 0..daemons {
            assert_eq!(lab.write(n, 1, 9_000 + n as u64), 200);
        }
        let asked = |h: &brookpass_testkit::host::Host| h.probes().into_iter().filter(|at| *at >= on).count();
        let counts: Vec<usize> = lab.hosts.all.iter().map(asked).collect();
        assert!(counts.iter().all(|n| *n >= 1), "{counts:?}");
        most.push(counts.iter().sum::<usize>());
        let moments = lab.daemons.len();
        assert!(counts.iter().all(|n| *n <= 4), "{moments} daemons: {counts:?}");
        eventually("service is as ever", || (0..daemons).all(|n| lab.fleet(n).contains("recovery done")));
    }
    assert!(most[1] <= most[0] * 2, "{most:?}");
}

/// Guards against two halves that do not see one another and each take all that a cold host bears.
#[test]
fn two_halves_that_do_not_see_one_another_spare_cold_hosts_together() {
    let lab = &mut lab(Setup { daemons: 4, hosts: (3, 3), ..Setup::default() });
    weak(lab);
    lab.start_all();
    assert_eq!(lab.post(1, "/drain/s-2-2"), 200);
    lab.settled();
    let load = lab.load(Plan { groups: 3, ..plan(2) });
    kept(lab);
    (0..4).for_each(|n| lab.kill(n));
    lab.hosts.power_off();
    lab.split(&[vec![0, 1], vec![2, 3]]);
    lab.hosts.power_on(0);
    let on = now();
    (0..4).for_each(|n| lab.start(n));
    (0..4).for_each(|n| lab.ready(n));
    // Neither half is a majority: drains hold, and nothing is relaxed.
    for n in [0, 3] {
        assert!(lab.fleet(n).contains("serves with what was last agreed"), "{}", lab.fleet(n));
        assert_eq!(lab.post(n, "/undrain/s-2-2"), 503);
    }
    assert_eq!(lab.post(0, "/drain/s-3-1"), 202);
    thread::sleep(Duration::from_millis(500));
    lab.heal();
    lab.all_leave(&[0, 1, 2, 3], "s-3-1", true);
    lab.settled();
    let asked = load.end();
    rules(lab, &asked);
    assert!(spared(lab, on) < 1.0);
    check::drained(&lab.hosts.arrivals(), &[("s-2-2".into(), on, i64::MAX)]).unwrap();
    assert!(served(&asked, on, i64::MAX) > 100);
    check::agreement(&lab.logs(), 4).unwrap();
}

/// Guards against a return one by one in which whoever comes first takes all, or waits for all, and against changes
/// that are lost because the power went while they were being agreed.
#[test]
fn they_come_back_one_by_one_while_changes_were_being_agreed() {
    let lab = &mut lab(Setup { daemons: 3, hosts: (3, 3), ..Setup::default() });
    weak(lab);
    lab.start_all();
    let load = lab.load(Plan { groups: 3, ..plan(3) });
    kept(lab);
    let stores: Vec<_> = lab.daemons.iter().map(|d| d.store).collect();
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
    (0..3).for_each(|n| lab.kill(n));
    let said: Vec<(&str, u16)> = calls.into_iter().map(|c| c.join().unwrap()).collect();
    lab.hosts.power_off();
    lab.hosts.power_on(0);
    let on = now();
    for n in 0..3 {
        lab.start(n);
        lab.ready(n);
        thread::sleep(Duration::from_millis(1_200));
    }
    lab.settled();
    let asked = load.end();
    rules(lab, &asked);
    assert!(spared(lab, on) < 1.0);
    for (host, status) in said {
        let leaves: Vec<_> = (0..3).map(|n| lab.leaves(n, host)).collect();
        assert!(leaves.iter().all(|l| *l == leaves[0]), "{host}: {leaves:?}");
        assert!(status == 0 || leaves[0] == Some(true), "{host} was answered with {status}: {leaves:?}");
    }
    check::agreement(&lab.logs(), 3).unwrap();
}

/// Guards against a rolling loss, and the loss of all but one, in which those that return forget what the others know
/// or ask all hosts anew.
#[test]
fn those_that_return_take_over_what_the_others_know() {
    let lab = &mut lab(Setup { daemons: 3, hosts: (3, 3), ..Setup::default() });
    lab.start_all();
    let load = lab.load(Plan { groups: 3, ..plan(4) });
    kept(lab);
    for n in 0..3 {
        lab.kill(n);
        lab.led();
        lab.start(n);
        lab.ready(n);
        lab.settled();
    }
    let last = lab.led();
    let others: Vec<usize> = (0..3).filter(|n| *n != last).collect();
    others.iter().for_each(|n| lab.kill(*n));
    thread::sleep(Duration::from_millis(200));
    others.iter().for_each(|n| lab.start(*n));
    others.iter().for_each(|n| lab.ready(*n));
    for n in others {
        let number = 8_000 + n as u64;
        assert_eq!(lab.write(n, 2, number), 200);
        assert_eq!(lab.reached(number), ["s-2-0"], "it knew who is primary");
    }
    lab.settled();
    let asked = load.end();
    rules(lab, &asked);
    check::agreement(&lab.logs(), 3).unwrap();
}

/// A read of a session whose last write has this position: the status, and the position of the answer.
fn read_once(lab: &Lab, n: usize, commit: i64) -> (u16, Option<i64>) {
    let text = format!(
        "GET /sparql?query=SELECT%20r%23901 HTTP/1.1\r\nHost: lab\r\nBrookpass-Group: 1\r\n\
         Brookpass-Session: s\r\nBrookpass-Position: {commit}\r\n\r\n"
    );
    let mut open = http::Connection::open(lab.fronts[n].address, Duration::from_secs(5)).unwrap();
    open.call(&text).map(|m| (m.status(), m.number("brookpass-position"))).expect("an answer")
}

/// Guards against sessions that are served without their writes by a daemon that was not there when a primary lost
/// them, and against a loss that is forgotten with the process.
#[test]
fn a_session_whose_write_was_lost_is_told_so_everywhere_and_after_restarts() {
    let lab = &mut lab(Setup { daemons: 3, hosts: (1, 3), ..Setup::default() });
    lab.start_all();
    let write = |lab: &Lab, n: usize| {
        let mut commit = None;
        eventually("a write is let in", || {
            let answer = lab.write_answer(n, 1, 900).filter(|m| m.status() == 200);
            commit = answer.and_then(|m| m.number("brookpass-position"));
            commit.is_some()
        });
        commit.expect("a commit")
    };
    // Cold hosts may turn a read away: it comes back.
    let read = |lab: &Lab, n: usize, commit: i64| {
        let mut last = (0, None);
        eventually("a read is let in", || {
            last = read_once(lab, n, commit);
            last.0 != 503
        });
        last
    };
    let kept = write(lab, 0);
    thread::sleep(Duration::from_millis(400));
    let lost = write(lab, 0);
    assert_eq!((read(lab, 1, kept).0, read(lab, 1, lost).0), (200, 200));
    lab.hosts.power_off();
    lab.hosts.power_on(200);
    // The primary itself shows what it lacks.
    eventually("a session is told", || read(lab, 1, lost) == (412, Some(kept)));
    assert_eq!(read(lab, 1, kept).0, 200);
    for n in 0..3 {
        eventually("all know of it", || lab.fleet(n).contains("lost group 1 after"));
    }
    // It is told also where the primary has newer commits, and by daemons that did not see it go back.
    let newer = write(lab, 2);
    assert!(newer > lost);
    for n in 0..3 {
        assert_eq!(
            (read(lab, n, lost), read(lab, n, kept).0, read(lab, n, newer).0),
            ((412, Some(kept)), 200, 200)
        );
    }
    let knows = |lab: &Lab, n: usize| lab.daemons[n].process.as_ref().unwrap().log();
    for n in 0..3 {
        let seen = knows(lab, n).len();
        eventually("it is on the disk", || {
            read(lab, n, kept);
            knows(lab, n)[seen.min(knows(lab, n).len())..]
                .iter()
                .any(|l| l.contains("words on hosts are kept"))
        });
    }
    (0..3).for_each(|n| lab.kill(n));
    (0..3).for_each(|n| lab.start(n));
    (0..3).for_each(|n| lab.ready(n));
    for n in 0..3 {
        assert_eq!((read(lab, n, lost).0, read(lab, n, newer).0), (412, 200), "daemon {n}");
    }
}
