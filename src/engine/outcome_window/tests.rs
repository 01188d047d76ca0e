use super::*;

const A: EndpointId = EndpointId { ip: [0; 4], port: 1 };
const MS: TimeDelta = TimeDelta::from_millis(1);

fn at(since: TimeDelta) -> Timestamp {
    Timestamp::ZERO + since
}

/// Somebody reads it.
fn outcomes() -> OutcomeWindow {
    let mut outcomes = OutcomeWindow::default();
    assert!(outcomes.read(Timestamp::ZERO, std::iter::empty()).is_empty());
    outcomes
}

/// Guards against memory that grows with hosts that come and go where nobody ever looks.
#[test]
fn nothing_is_kept_before_somebody_reads_it_nor_of_what_is_long_gone() {
    let mut outcomes = OutcomeWindow::default();
    outcomes.ended(Timestamp::ZERO, A, 0, MS, AttemptOutcome::Served);
    outcomes.busy(A, 0.5);
    assert!(outcomes.read(at(MS), std::iter::empty()).is_empty());
    outcomes.ended(Timestamp::ZERO, A, 0, MS, AttemptOutcome::Served);
    outcomes.busy(A, 0.5);
    outcomes.read(at(LONG), std::iter::empty());
    let kept = (outcomes.all.len(), outcomes.busy.len(), outcomes.answered.len(), outcomes.failed.len());
    assert_eq!(kept, (0, 0, 0, 0));
}

/// Guards against a silence that is seen only when requests are given up, and against one that is laid to a host
/// which goes on answering.
#[test]
fn what_is_out_too_long_is_silent_unless_its_host_was_heard_since() {
    let mut outcomes = outcomes();
    (0..50).for_each(|n| outcomes.ended(at(n * 10 * MS), A, 0, 5 * MS, AttemptOutcome::Served));
    let out = |sent| [InFlightAttempt { endpoint: A, class: 0, sent }].into_iter();
    // It last answered at 490.
    assert_eq!(outcomes.read(at(880 * MS), out(at(500 * MS))).get(&A).map_or(0, |s| s.unanswered), 0);
    assert_eq!(outcomes.read(at(950 * MS), out(at(500 * MS)))[&A].unanswered, 1);
    let seen = outcomes.read(at(950 * MS), out(at(480 * MS)))[&A];
    assert_eq!((seen.unanswered, seen.late), (0, 1), "it has answered since, but not this one");
    outcomes.ended(at(960 * MS), A, 0, 5 * MS, AttemptOutcome::Served);
    assert_eq!(outcomes.read(at(970 * MS), out(at(500 * MS)))[&A].unanswered, 0);
    assert!(outcomes.read(at(5_000 * MS), std::iter::empty()).is_empty(), "what is old has faded");
}

/// Guards against a host that is gone, is tried seldom for that, and is forgotten between two tries.
#[test]
fn what_failed_last_is_told_until_the_host_answers_or_a_while_has_passed() {
    let mut outcomes = outcomes();
    (0..9).for_each(|_| outcomes.ended(Timestamp::ZERO, A, 0, MS, AttemptOutcome::ConnectFailed));
    let none = std::iter::empty;
    assert_eq!(outcomes.read(at(MS), none())[&A].connect_failed, 9);
    assert_eq!(outcomes.read(at(1_900 * MS), none())[&A].connect_failed, FEW);
    assert!(outcomes.read(at(HELD), none()).is_empty());
    outcomes.ended(at(HELD), A, 0, MS, AttemptOutcome::Reset);
    outcomes.ended(at(HELD), A, 0, MS, AttemptOutcome::Served);
    assert!(outcomes.read(at(HELD + 700 * MS), none()).is_empty(), "it has answered");
}

/// Guards against a usual that follows a slow zone until nothing there is late any more. Seeded: a third of the
/// answers slow by ten times.
#[test]
fn a_third_that_is_slow_stays_late() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut outcomes, b) = (outcomes(), EndpointId { ip: [0; 4], port: 2 });
        for n in 0..2_000 {
            let usual = rng.i64(10..20) * MS;
            let slow = n > 300 && rng.u8(..3) == 0;
            let (endpoint, took) = if slow { (b, usual * 10) } else { (A, usual) };
            outcomes.ended(at(n * MS), endpoint, 0, took, AttemptOutcome::Served);
        }
        let seen = outcomes.read(at(2_000 * MS), std::iter::empty());
        assert!(seen[&A].late * 10 < seen[&A].on_time, "seed {seed}: {seen:?}");
        assert!(seen[&b].late > seen[&b].on_time, "seed {seed}: {seen:?}");
    }
}

#[test]
fn each_outcome_counts_as_what_it_says_of_the_host() {
    let mut outcomes = outcomes();
    let all = [
        AttemptOutcome::Served,
        AttemptOutcome::Misdirected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
    ];
    all.into_iter().for_each(|outcome| outcomes.ended(at(MS), A, 0, MS, outcome));
    outcomes.ended(at(MS), A, 0, MS, AttemptOutcome::Cancelled);
    outcomes.ended(at(MS), A, 0, 500 * MS, AttemptOutcome::Cancelled);
    let seen = outcomes.read(at(2 * MS), std::iter::empty())[&A];
    assert_eq!(
        seen,
        OutcomeCounts { on_time: 2, late: 0, unanswered: 3, connect_failed: 1, utilization_permille: 0 }
    );
    assert_eq!(seen.total(), 6);
}
