use super::*;

const ENDPOINT: EndpointId = EndpointId { ip: [0; 4], port: 1 };
const MS: TimeDelta = TimeDelta::from_millis(1);

fn at(since: TimeDelta) -> Timestamp {
    Timestamp::ZERO + since
}

/// A window that records outcomes, since it has been read once.
fn recording_window() -> OutcomeWindow {
    let mut window = OutcomeWindow::default();
    assert!(window.read(Timestamp::ZERO, std::iter::empty()).is_empty());
    window
}

/// Records an attempt of class 0 that ended at `now` after `took`.
fn record(
    window: &mut OutcomeWindow,
    now: Timestamp,
    endpoint: EndpointId,
    took: TimeDelta,
    outcome: AttemptOutcome,
) {
    window.record(now, &InFlightAttempt { endpoint, class: 0, sent_at: now - took }, outcome);
}

/// Guards against memory use that grows with every endpoint that comes and goes while the window is never read.
#[test]
fn no_state_is_kept_before_the_first_read_or_after_expiry() {
    let mut window = OutcomeWindow::default();
    record(&mut window, Timestamp::ZERO, ENDPOINT, MS, AttemptOutcome::Served);
    window.record_utilization(ENDPOINT, 0.5);
    assert!(window.read(at(MS), std::iter::empty()).is_empty());
    record(&mut window, Timestamp::ZERO, ENDPOINT, MS, AttemptOutcome::Served);
    window.record_utilization(ENDPOINT, 0.5);
    window.read(at(LAST_ANSWER_RETENTION), std::iter::empty());
    let kept = (
        window.buckets.len(),
        window.utilization.len(),
        window.last_answer_at.len(),
        window.recent_failures.len(),
    );
    assert_eq!(kept, (0, 0, 0, 0));
}

/// A failure must be visible before requests time out, but an endpoint that still answers must not count as failed.
#[test]
fn an_overdue_attempt_is_unanswered_unless_its_endpoint_has_answered_since() {
    let mut window = recording_window();
    for n in 0..50 {
        record(&mut window, at(n * 10 * MS), ENDPOINT, 5 * MS, AttemptOutcome::Served);
    }
    let sent = |sent_at| [InFlightAttempt { endpoint: ENDPOINT, class: 0, sent_at }].into_iter();
    // The endpoint last answered at 490 ms.
    let unanswered = |counts: &BTreeMap<EndpointId, OutcomeCounts>| {
        counts.get(&ENDPOINT).map_or(0, |counts| counts.unanswered)
    };
    assert_eq!(unanswered(&window.read(at(880 * MS), sent(at(500 * MS)))), 0);
    assert_eq!(window.read(at(950 * MS), sent(at(500 * MS)))[&ENDPOINT].unanswered, 1);
    let counts = window.read(at(950 * MS), sent(at(480 * MS)))[&ENDPOINT];
    assert_eq!((counts.unanswered, counts.late), (0, 1), "it has answered since, but not this attempt");
    record(&mut window, at(960 * MS), ENDPOINT, 5 * MS, AttemptOutcome::Served);
    assert_eq!(window.read(at(970 * MS), sent(at(500 * MS)))[&ENDPOINT].unanswered, 0);
    assert!(window.read(at(5_000 * MS), std::iter::empty()).is_empty(), "old outcomes have expired");
}

/// A failed endpoint gets few attempts, so its failures must still count when the next attempt ends.
#[test]
fn failures_are_retained_until_the_endpoint_answers_or_they_expire() {
    let mut window = recording_window();
    for _ in 0..9 {
        record(&mut window, Timestamp::ZERO, ENDPOINT, MS, AttemptOutcome::ConnectFailed);
    }
    let none = std::iter::empty;
    assert_eq!(window.read(at(MS), none())[&ENDPOINT].connect_failed, 9);
    assert_eq!(window.read(at(1_900 * MS), none())[&ENDPOINT].connect_failed, MAX_RETAINED_FAILURES);
    assert!(window.read(at(FAILURE_RETENTION), none()).is_empty());
    record(&mut window, at(FAILURE_RETENTION), ENDPOINT, MS, AttemptOutcome::Reset);
    record(&mut window, at(FAILURE_RETENTION), ENDPOINT, MS, AttemptOutcome::Served);
    assert!(window.read(at(FAILURE_RETENTION + 700 * MS), none()).is_empty(), "it has answered");
}

/// Guards against the usual latency adapting to a slow zone until its answers no longer count as late. Randomized with
/// fixed seeds: a third of the answers takes ten times as long.
#[test]
fn answers_of_a_slow_endpoint_stay_late() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut window, slow_endpoint) = (recording_window(), EndpointId { ip: [0; 4], port: 2 });
        for n in 0..2_000 {
            let usual = rng.i64(10..20) * MS;
            let slow = n > 300 && rng.u8(..3) == 0;
            let (endpoint, took) = if slow { (slow_endpoint, usual * 10) } else { (ENDPOINT, usual) };
            record(&mut window, at(n * MS), endpoint, took, AttemptOutcome::Served);
        }
        let counts = window.read(at(2_000 * MS), std::iter::empty());
        assert!(counts[&ENDPOINT].late * 10 < counts[&ENDPOINT].on_time, "seed {seed}: {counts:?}");
        assert!(counts[&slow_endpoint].late > counts[&slow_endpoint].on_time, "seed {seed}: {counts:?}");
    }
}

#[test]
fn each_attempt_outcome_is_counted_by_what_it_shows_about_the_endpoint() {
    let mut window = recording_window();
    let outcomes = [
        AttemptOutcome::Served,
        AttemptOutcome::Misdirected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
    ];
    for outcome in outcomes {
        record(&mut window, at(MS), ENDPOINT, MS, outcome);
    }
    record(&mut window, at(MS), ENDPOINT, MS, AttemptOutcome::Cancelled);
    record(&mut window, at(MS), ENDPOINT, 500 * MS, AttemptOutcome::Cancelled);
    let counts = window.read(at(2 * MS), std::iter::empty())[&ENDPOINT];
    let expected =
        OutcomeCounts { on_time: 2, late: 0, unanswered: 3, connect_failed: 1, utilization_permille: 0 };
    assert_eq!(counts, expected);
    assert_eq!(counts.total(), 6);
}
