use super::*;

fn asked(status: u16, write: bool, needs: i64, got: i64) -> RequestRecord {
    RequestRecord {
        request: 1,
        daemon: 0,
        due: 0,
        sent: 0,
        until: 5_000,
        status,
        write,
        group: 1,
        needs: Some(needs),
        own: false,
        tries: 0,
        come_back: None,
        got: Some(got),
    }
}

#[test]
fn a_lost_write_that_is_served_and_a_kept_one_that_is_told_as_lost_are_seen() {
    let lost = BTreeMap::from([(1, vec![(10, 20, -1)])]);
    let own = |status, needs| RequestRecord { own: true, ..asked(status, false, needs, 99) };
    assert_eq!(
        sessions_told_of_lost_writes(&[own(412, 15), own(200, 10), own(200, 21), own(503, 15)], &lost),
        Ok(1)
    );
    assert!(sessions_told_of_lost_writes(&[own(200, 15)], &lost).is_err());
    assert!(sessions_told_of_lost_writes(&[own(412, 10)], &lost).is_err());
    assert_eq!(
        sessions_told_of_lost_writes(&[asked(200, false, 15, 99)], &lost),
        Ok(0),
        "its session wrote nothing"
    );
}

#[test]
fn a_cold_host_that_gets_too_much_is_seen() {
    let cold = ColdStartBound { started: 0, bears: 20.0, multiple: 4.0 };
    let at = |n: usize, gap: i64| -> Vec<Arrival> {
        (0..n).map(|n| arrival("a", n as u64 + 1, n as i64 * gap, n as i64 * gap)).collect()
    };
    // 20 and what chance adds to it: 36 in the first second.
    assert!(cold_endpoint_not_overloaded(&at(36, 1_000), "a", cold).is_ok_and(|worst| worst > 0.9));
    assert!(cold_endpoint_not_overloaded(&at(38, 1_000), "a", cold).is_err());
    assert!(
        cold_endpoint_not_overloaded(&at(38, 1_000), "b", cold).is_ok()
            && cold_endpoint_not_overloaded(&at(38, 40_000), "a", cold).is_ok()
    );
}

fn arrival(host: &str, request: u64, at: i64, until: i64) -> Arrival {
    Arrival { host: host.into(), request, at, until, write: true, served: true }
}

#[test]
fn a_stale_read_is_seen() {
    assert!(
        no_stale_reads(&[asked(200, false, 10, 10), asked(503, false, 10, 3), asked(200, true, 10, 3)])
            .is_ok()
    );
    assert!(no_stale_reads(&[asked(200, false, 10, 9)]).is_err());
}

#[test]
fn a_missing_or_late_answer_is_seen_unless_the_daemon_was_down() {
    assert!(every_request_answered(&[asked(503, false, 0, 0)], &[], 2_000_000).is_ok());
    assert!(every_request_answered(&[asked(0, false, 0, 0)], &[], 2_000_000).is_err());
    assert!(every_request_answered(&[asked(0, false, 0, 0)], &[(0, -50_000, 1)], 2_000_000).is_ok());
    assert!(every_request_answered(&[asked(0, false, 0, 0)], &[(1, -50_000, 1)], 2_000_000).is_err());
    let late = RequestRecord { until: 3_000_000, ..asked(200, false, 0, 0) };
    assert!(every_request_answered(&[late], &[], 2_000_000).is_err());
}

#[test]
fn two_attempts_at_once_and_a_write_that_ran_twice_are_seen() {
    let after = [arrival("a", 1, 0, 100_000), arrival("b", 2, 0, 100_000)];
    assert_eq!(no_overlapping_attempts(&after), Ok(2));
    assert!(
        no_overlapping_attempts(&[arrival("a", 1, 0, 100_000), arrival("b", 1, 20_000, 30_000)]).is_err()
    );
    assert!(
        no_overlapping_attempts(&[arrival("a", 1, 0, 100_000), arrival("b", 1, 200_000, 300_000)]).is_err()
    );
    // The first one was no primary.
    assert!(no_overlapping_attempts(&[arrival("a", 1, 0, 0), arrival("b", 1, 200_000, 300_000)]).is_ok());
}

#[test]
fn an_arrival_at_a_drained_host_is_seen() {
    let all = [arrival("a", 1, 300_000, 300_000), arrival("b", 2, 900_000, 900_000)];
    assert!(no_arrivals_while_drained(&all, &[("a".into(), 290_000, i64::MAX)]).is_ok());
    assert!(no_arrivals_while_drained(&all, &[("a".into(), 250_000, i64::MAX)]).is_err());
    assert!(no_arrivals_while_drained(&all, &[("b".into(), 250_000, 800_000)]).is_ok());
}

fn log(lines: &[&str]) -> Log {
    lines.iter().map(|l| l.to_string()).collect()
}

#[test]
fn sequences_that_differ_go_back_or_lack_a_majority_are_seen() {
    let a = log(&["1.000 DEBUG store: holds 5 of term 2", "1.002 DEBUG fleet: agreed 5 ab: drain x: Done"]);
    let b = log(&["1.001 DEBUG store: holds 5 of term 2", "1.003 DEBUG fleet: agreed 5 ab: drain x: Done"]);
    assert_eq!(same_committed_sequence(&[a.clone(), b.clone(), log(&[])], 3), Ok(1));
    assert!(same_committed_sequence(&[a.clone(), log(&[]), log(&[])], 3).is_err(), "only one had it");
    let late = log(&["1.009 DEBUG store: holds 5 of term 2"]);
    assert!(same_committed_sequence(&[a.clone(), late, log(&[])], 3).is_err(), "the second had it later");
    let other = log(&["1.003 DEBUG fleet: agreed 5 ac: drain y: Done"]);
    assert!(same_committed_sequence(&[a.clone(), other], 0).is_err());
    let again = log(&[
        "1.003 DEBUG fleet: agreed 5 ab: drain x: Done",
        "1.004 DEBUG fleet: agreed 5 ab: drain x: Done",
    ]);
    assert!(same_committed_sequence(std::slice::from_ref(&again), 0).is_err());
    let restarted = log(&[&again[0], "1.004 INFO b: store at http://1", &again[1]]);
    assert!(same_committed_sequence(&[restarted], 0).is_ok());
}
