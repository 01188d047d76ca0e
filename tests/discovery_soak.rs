//! Outages of discovery drawn by seed. `LAB_SEEDS=0..64` plays other seeds than the default ones.

mod stand_in;

use brookpass_testkit::seed_range;
use fastrand::Rng;
use stand_in::failing_discovery::CallFault;
use stand_in::platform::SETTINGS;
use stand_in::site::{LAST_WORK_WITHIN, Site, SiteOptions, Start};
use std::ops::Range;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// How many seeds are played at the same time.
const PLAYS_AT_ONCE: usize = 12;
/// How long a pooler may be held up, without its requests being late.
const HOLD_UP: Duration = Duration::from_millis(150);
/// How long endpoints are observed after a drain.
const OBSERVED_AFTER_DRAIN: Duration = Duration::from_millis(1_200);
const ENDPOINTS: usize = 7;

/// What disturbs the pooler beside the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    /// SIGHUP moves it to another discovery, which fails in the same way.
    MoveDiscovery,
    /// SIGSTOP holds it up when discovery is back.
    HoldUp,
}

/// One outage, and the drain after it.
#[derive(Clone, Debug)]
struct PlannedOutage {
    faults: Vec<CallFault>,
    quiet_before: Duration,
    length: Duration,
    disturbance: Disturbance,
    /// When discovery gets the drain after it is back; zero if it has it then.
    drain_after: Duration,
}

fn millis(rng: &mut Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

fn draw_faults(rng: &mut Rng) -> Vec<CallFault> {
    const FAULTS: [CallFault; 5] = [
        CallFault::Hang,
        CallFault::Trickle,
        CallFault::Reset,
        CallFault::AnswerAtRecovery,
        CallFault::Malformed,
    ];
    match rng.u8(0..10) {
        0 => vec![CallFault::Refuse],
        1..=3 => vec![CallFault::Hang],
        _ => (0..rng.usize(1..5)).map(|_| FAULTS[rng.usize(0..FAULTS.len())]).collect(),
    }
}

fn draw_outage(rng: &mut Rng) -> PlannedOutage {
    PlannedOutage {
        faults: draw_faults(rng),
        quiet_before: millis(rng, 50..900),
        length: if rng.bool() { millis(rng, 50..1_500) } else { millis(rng, 1_500..9_000) },
        disturbance: match rng.u8(0..6) {
            0 => Disturbance::MoveDiscovery,
            1 => Disturbance::HoldUp,
            _ => Disturbance::None,
        },
        drain_after: if rng.bool() { Duration::ZERO } else { millis(rng, 0..700) },
    }
}

fn draw_options(rng: &mut Rng) -> SiteOptions {
    SiteOptions {
        start: if rng.u8(0..4) == 0 { Start::FromSavedList } else { Start::DiscoveryAnswers },
        endpoints: ENDPOINTS,
        settings: if rng.u8(0..3) == 0 {
            SETTINGS.replace("\"automatic\"", "\"subscribe\"")
        } else {
            SETTINGS.into()
        },
        sockets: if rng.u8(0..4) == 0 { 96 } else { 1024 },
    }
}

/// Plays an outage. Returns how long after the drain was known the endpoint got its last work.
fn play_outage(site: &mut Site, planned: &PlannedOutage, endpoint: usize) -> Duration {
    thread::sleep(planned.quiet_before);
    site.discovery.fail(&planned.faults);
    thread::sleep(planned.length / 2);
    if planned.disturbance == Disturbance::MoveDiscovery {
        site.move_to_failing_discovery(&planned.faults);
    }
    thread::sleep(planned.length / 2);
    if planned.disturbance == Disturbance::HoldUp {
        site.process.signal("-STOP");
    }
    let held_up_at = Instant::now();
    let mut known_at = held_up_at;
    if planned.drain_after.is_zero() {
        site.change(endpoint, "leaving");
        known_at = site.discovery.recover();
    } else {
        site.discovery.recover();
    }
    if planned.disturbance == Disturbance::HoldUp {
        thread::sleep(HOLD_UP.saturating_sub(held_up_at.elapsed()));
        site.process.signal("-CONT");
    }
    if !planned.drain_after.is_zero() {
        thread::sleep(planned.drain_after);
        known_at = site.change(endpoint, "leaving");
    }
    thread::sleep(OBSERVED_AFTER_DRAIN);
    site.last_work(endpoint, known_at)
}

/// Plays a seed. Returns the outages after which an endpoint got new work too late.
fn play(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let options = draw_options(&mut rng);
    let has_crowd = options.sockets < 1024;
    let mut site = Site::start(options.clone());
    let _crowd = if has_crowd { site.idle_crowd(200) } else { Vec::new() };
    let mut late = Vec::new();
    for number in 1..=rng.usize(1..4) {
        let planned = draw_outage(&mut rng);
        let last_work = play_outage(&mut site, &planned, ENDPOINTS - number);
        if last_work > LAST_WORK_WITHIN {
            late.push(format!("seed {seed}: {last_work:?} after {planned:?}, {options:?}"));
        }
    }
    late
}

#[test]
fn random_outages_of_discovery_delay_no_drain() {
    let waiting = Mutex::new(seed_range("0..12"));
    let late = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PLAYS_AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some(seed) = waiting.lock().unwrap().next() else { return };
                    let found = play(seed);
                    late.lock().unwrap().extend(found);
                }
            });
        }
    });
    let late = late.into_inner().unwrap();
    assert!(late.is_empty(), "new work at draining endpoints:\n{}", late.join("\n"));
}
