//! Outages of discovery that end with a change: endpoints that drain get no new work once the pooler can know of it.

mod stand_in;

use stand_in::failing_discovery::{CallFault, FailingDiscovery};
use stand_in::platform::SETTINGS;
use stand_in::site::{CLIENTS, LAST_WORK_WITHIN, Site, SiteOptions, Start};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How long endpoints are observed after a change.
const OBSERVED_AFTER_CHANGE: Duration = Duration::from_millis(4_500);
/// How long the pooler serves before an outage.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// The endpoints from this position on drain.
const FIRST_DRAINED: usize = 2;

/// Puts the last endpoints into a drain. Returns when discovery had it.
fn drain(site: &Site) -> Instant {
    (FIRST_DRAINED..site.endpoints.len()).map(|number| site.change(number, "leaving")).max().unwrap()
}

/// Lets calls fail for `length`.
fn outage(site: &Site, faults: &[CallFault], length: Duration) {
    thread::sleep(QUIET_TIME);
    site.discovery.fail(faults);
    thread::sleep(length);
}

/// How long after `known_at` the draining endpoints got their last work.
fn last_work_after(site: &Site, known_at: Instant) -> Duration {
    thread::sleep(OBSERVED_AFTER_CHANGE);
    let served_by_others = site.endpoints[0].arrivals_since(known_at + LAST_WORK_WITHIN).len();
    assert!(served_by_others > 20, "the others get the work: {served_by_others}");
    (FIRST_DRAINED..site.endpoints.len()).map(|number| site.last_work(number, known_at)).max().unwrap()
}

/// Plays an outage whose end brings a drain.
fn last_work_after_outage(site: &Site, faults: &[CallFault], length: Duration) -> Duration {
    outage(site, faults, length);
    drain(site);
    let recovered_at = site.discovery.recover();
    last_work_after(site, recovered_at)
}

/// Plays outages of these lengths at the same time, each with a pooler of its own, and checks the end of new work.
fn check_outages(faults: &[CallFault], lengths_ms: &[u64]) {
    check_all(lengths_ms, |length_ms| {
        last_work_after_outage(&Site::start(SiteOptions::default()), faults, Duration::from_millis(length_ms))
    });
}

/// Runs `play` for each of these times in parallel; it returns when the last new work came.
fn check_all(times_ms: &[u64], play: impl Fn(u64) -> Duration + Sync) {
    let last_work: Vec<(u64, Duration)> = thread::scope(|scope| {
        let plays: Vec<_> = times_ms.iter().map(|time| (*time, scope.spawn(|| play(*time)))).collect();
        plays.into_iter().map(|(time, play)| (time, play.join().unwrap())).collect()
    });
    println!("ms and the last new work at draining endpoints: {last_work:?}");
    let late = last_work.iter().any(|(_, last)| *last > LAST_WORK_WITHIN);
    assert!(!late, "ms and the last new work at draining endpoints: {last_work:?}");
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_unanswered_calls() {
    check_outages(&[CallFault::Hang], &[300, 800, 1_700, 3_100, 5_000, 7_500]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_trickling_answers() {
    check_outages(&[CallFault::Trickle], &[1_000, 4_000, 6_400]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_reset_calls() {
    check_outages(&[CallFault::Reset], &[700, 3_300, 7_000]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_refused_connections() {
    check_outages(&[CallFault::Refuse], &[900, 3_600, 7_000]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_malformed_answers() {
    check_outages(&[CallFault::Malformed], &[900, 3_200, 6_500]);
}

#[test]
fn drained_endpoints_get_no_new_work_after_an_outage_of_mixed_faults() {
    let faults = [CallFault::Hang, CallFault::Reset, CallFault::Hang, CallFault::Trickle];
    check_outages(&faults, &[1_200, 4_100, 7_700]);
}

#[test]
fn drained_endpoints_get_no_new_work_when_calls_are_answered_at_the_return() {
    check_outages(&[CallFault::AnswerAtRecovery], &[1_000, 4_200, 7_000]);
}

#[test]
fn a_drain_soon_after_the_return_of_discovery_is_in_use_in_time() {
    check_all(&[20, 150, 400, 900, 2_000], |delay_ms| {
        let site = Site::start(SiteOptions::default());
        outage(&site, &[CallFault::Hang], Duration::from_secs(4));
        site.discovery.recover();
        thread::sleep(Duration::from_millis(delay_ms));
        let known_at = drain(&site);
        last_work_after(&site, known_at)
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_an_outage_of_a_discovery_that_must_be_asked() {
    let settings = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    check_all(&[400, 3_000, 6_300], |length_ms| {
        let site = Site::start(SiteOptions { settings: settings.clone(), ..SiteOptions::default() });
        last_work_after_outage(&site, &[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_a_start_from_a_saved_list() {
    check_all(&[500, 2_000, 5_000], |length_ms| {
        let site = Site::start(SiteOptions { start: Start::FromSavedList, ..SiteOptions::default() });
        last_work_after_outage(&site, &[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_sighup_to_a_discovery_that_hangs() {
    check_all(&[300, 2_900, 6_000], |length_ms| {
        let mut site = Site::start(SiteOptions::default());
        site.move_to_failing_discovery(&[CallFault::Hang]);
        last_work_after_outage(&site, &[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_sighup_to_a_discovery_whose_index_is_lower() {
    check_all(&[200, 1_700, 5_000], |length_ms| {
        let mut site = Site::start(SiteOptions::default());
        for _ in 0..5 {
            site.change(0, "active");
        }
        site.move_to_failing_discovery(&[CallFault::Reset, CallFault::Hang]);
        last_work_after_outage(&site, &[CallFault::Reset, CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn a_drain_is_in_use_in_time_after_a_short_outage_that_follows_a_long_one() {
    check_all(&[500, 1_000, 2_000], |length_ms| {
        let site = Site::start(SiteOptions::default());
        outage(&site, &[CallFault::AnswerAtRecovery], Duration::from_secs(4));
        site.discovery.recover();
        last_work_after_outage(&site, &[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

#[test]
fn an_endpoint_that_rejects_work_during_an_outage_is_avoided() {
    const OBSERVED: Duration = Duration::from_secs(3);
    let site = Site::start(SiteOptions::default());
    outage(&site, &[CallFault::Hang], Duration::from_millis(800));
    let rejecting = &site.endpoints[3];
    let rejects_since = Instant::now();
    rejecting.rejects.store(true, Ordering::Relaxed);
    thread::sleep(OBSERVED);
    let rejected = rejecting.arrivals_since(rejects_since).len();
    // It may be avoided for a second at first; attempts that were on their way when it began to reject come on top.
    assert!((1..=3 + CLIENTS).contains(&rejected), "{rejected} attempts within {OBSERVED:?}");
}

#[test]
fn a_drain_is_in_use_in_time_after_an_outage_under_a_crowd_of_idle_clients() {
    check_all(&[1_500, 4_000], |length_ms| {
        let site = Site::start(SiteOptions { sockets: 96, ..SiteOptions::default() });
        let crowd = site.idle_crowd(300);
        assert!(crowd.len() > 200, "the crowd is there: {}", crowd.len());
        last_work_after_outage(&site, &[CallFault::Hang], Duration::from_millis(length_ms))
    });
}

/// Mean time between two calls of a lone pooler to a discovery that rejects calls or answers late. In that state
/// discovery takes 0.2 s for a call.
const CALL_INTERVAL_UNDER_LOAD: Duration = Duration::from_millis(200);

/// The calls within `time`.
fn calls_within(discovery: &FailingDiscovery, time: Duration) -> usize {
    let before = discovery.call_count();
    thread::sleep(time);
    discovery.call_count() - before
}

fn check_calls_under_load(discovery: &FailingDiscovery) {
    const TIME: Duration = Duration::from_secs(5);
    let calls = calls_within(discovery, TIME);
    let most = (TIME.as_millis() / CALL_INTERVAL_UNDER_LOAD.as_millis()) as usize;
    assert!((1..=most).contains(&calls), "{calls} calls within {TIME:?}, at most {most} are allowed");
}

#[test]
fn a_discovery_that_rejects_calls_is_called_rarely() {
    let site = Site::start(SiteOptions::default());
    site.discovery.reject("503 Service Unavailable");
    check_calls_under_load(&site.discovery);
    drain(&site);
    let recovered_at = site.discovery.recover();
    assert!(last_work_after(&site, recovered_at) < Duration::from_secs(6));
}

#[test]
fn a_discovery_that_answers_late_is_called_rarely_and_heard() {
    let site = Site::start(SiteOptions::default());
    let whole_lists = site.discovery.whole_list_count();
    site.discovery.answer_after(Duration::from_millis(1_200));
    thread::sleep(Duration::from_secs(2));
    check_calls_under_load(&site.discovery);
    let known_at = drain(&site);
    assert!(last_work_after(&site, known_at) < Duration::from_secs(6));
    assert_eq!(site.discovery.whole_list_count(), whole_lists);
}

#[test]
fn a_whole_list_that_comes_late_is_received() {
    let site = Site::start(SiteOptions { start: Start::FromSavedList, ..SiteOptions::default() });
    site.discovery.answer_after(Duration::from_millis(900));
    let known_at = drain(&site);
    assert!(last_work_after(&site, known_at) < Duration::from_secs(6));
    let whole_lists = site.discovery.whole_list_count();
    assert!((1..=4).contains(&whole_lists), "{whole_lists} whole lists");
}

#[test]
fn an_outage_costs_no_more_whole_lists_than_its_calls_that_time_out() {
    for faults in [[CallFault::Hang], [CallFault::AnswerAtRecovery]] {
        let site = Site::start(SiteOptions::default());
        let whole_lists = site.discovery.whole_list_count();
        assert!(last_work_after_outage(&site, &faults, Duration::from_secs(3)) < LAST_WORK_WITHIN);
        assert_eq!(site.discovery.whole_list_count(), whole_lists, "only changes are sent: {faults:?}");
    }
    let site = Site::start(SiteOptions { start: Start::FromSavedList, ..SiteOptions::default() });
    last_work_after_outage(&site, &[CallFault::Hang], Duration::from_secs(3));
    assert_eq!(site.discovery.whole_list_count(), 1, "one after the return");
}

#[test]
fn an_outage_is_logged_with_its_kind_and_end_and_not_by_call() {
    let mut site = Site::start(SiteOptions::default());
    site.process.drain_log();
    let calls_before = site.discovery.call_count();
    outage(&site, &[CallFault::Hang], Duration::from_secs(7));
    let calls = site.discovery.call_count() - calls_before;
    assert!(calls > 50, "discovery is probed: {calls} calls");
    site.discovery.recover();
    let end = site.process.wait_for_log("discovery: the list is current again");
    assert!(end.contains(" silent"), "{end}");
    let lines: Vec<&String> =
        site.process.log_lines.iter().filter(|line| line.contains("discovery: ")).collect();
    assert!(lines.iter().any(|line| line.contains("calls fail for")), "{lines:?}");
    assert!(lines.len() <= 4, "{lines:#?}");
}
