//! Invariants of the router's actions over long, random and valid event sequences.
//!
//! No endpoint is modelled: outcomes, delays, roles and log positions are random, and the tests check only that the
//! router does nothing that the invariants forbid.

mod common;
use brookpass::Router;
use brookpass::routing::*;
use common::*;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Time between two steps of a simulation.
const STEP: TimeDelta = TimeDelta::from_millis(5);
/// Time after its deadline within which a request must have its final answer.
const ANSWER_TOLERANCE: TimeDelta = TimeDelta::from_millis(20);

/// How long an attempt took, as reported to the router, except in simulations in which endpoints move: there the router
/// needs the true duration to tell the responses from before a move.
const REPORTED_DURATION: TimeDelta = MS;

/// A request without a final answer.
#[derive(Default)]
struct OpenRequest {
    class: usize,
    group: GroupId,
    deadline: Timestamp,
    arrived_at: Timestamp,
    last_commit_age: Option<TimeDelta>,
    /// Attempts in flight, by their number.
    in_flight: BTreeMap<u8, InFlight>,
    attempts_sent: u8,
    may_have_run_since: Option<Timestamp>,
}

#[derive(Clone, Copy)]
struct InFlight {
    sent_at: Timestamp,
}

/// What has been reported to the router about an endpoint.
#[derive(Clone)]
struct KnownState {
    group: GroupId,
    /// When the list last moved the endpoint to another group; `None` if it never did.
    moved_at: Option<Timestamp>,
    availability: Availability,
    /// The role that the endpoint reported last.
    is_primary: bool,
    /// The endpoint has reported at least once that it is the primary.
    was_primary: bool,
    /// The highest log position that the endpoint reported, as commit time.
    position: Option<Timestamp>,
}

impl KnownState {
    /// An endpoint of `group` that has not reported anything.
    fn new(group: GroupId, availability: Availability) -> KnownState {
        KnownState {
            group,
            moved_at: None,
            availability,
            is_primary: false,
            was_primary: false,
            position: None,
        }
    }
}

/// The end of an attempt; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    at: Timestamp,
    request: RequestId,
    attempt: u8,
}

struct Simulation {
    groups: u32,
    /// The list moves endpoints between groups.
    moves: bool,
    endpoints: u8,
    settings: Settings,
    rng: Rng,
    now: Timestamp,
    router: Router,
    known: Vec<KnownState>,
    /// Attempts sent to each endpoint that is still cold.
    sent_to_cold: BTreeMap<u8, u32>,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Ends of the attempts in flight, and the endpoint of each.
    attempt_ends: BTreeMap<AttemptEnd, u8>,
    timers: Vec<Timestamp>,
    next_id: RequestId,
    sends: usize,
    final_answers: usize,
}

/// The group of an endpoint that was not moved.
fn initial_group(n: u8, groups: u32) -> GroupId {
    GroupId(u32::from(n) % groups)
}

fn random_duration(rng: &mut Rng, range: Range<TimeDelta>) -> TimeDelta {
    TimeDelta::from_micros(rng.i64(range.start.as_micros()..range.end.as_micros()))
}

impl Simulation {
    /// Sends duplicate and malformed peer messages, and a report with an invalid load.
    fn send_invalid_input(&mut self) {
        let n = self.rng.u8(..self.endpoints);
        for _ in 0..self.rng.u8(..3) {
            self.handle(Event::PeerMessage { from: u16::from(n), bytes: vec![n; usize::from(n)] });
        }
        let load = [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.5][self.rng.usize(..5)];
        let report = LoadReport { count: 4, values: [0.0, 0.0, load, load] };
        let ok = self.rng.bool();
        self.handle(Event::ProbeFinished { endpoint: endpoint(n), ok, took: MS, report });
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, .. } => self.send(id, endpoint.ip[3]),
            Action::Reject { id, .. } => self.reject(id),
            Action::Fail { id } => {
                self.open.remove(&id).expect("a second final answer");
                self.final_answers += 1;
            }
            Action::SetTimer { delay, .. } => self.timers.push(self.now + delay),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            _ => {}
        }
    }

    fn send(&mut self, id: RequestId, n: u8) {
        self.check_send(id, n);
        if let Some(sends) = self.sent_to_cold.get_mut(&n) {
            *sends += 1;
        }
        let request = self.open.get_mut(&id).unwrap();
        let attempt = request.attempts_sent;
        request.in_flight.insert(attempt, InFlight { sent_at: self.now });
        request.attempts_sent += 1;
        let ends_at = self.now + random_duration(&mut self.rng, MS..900 * MS);
        let end = AttemptEnd { at: ends_at.min(request.deadline), request: id, attempt };
        self.attempt_ends.insert(end, n);
        self.sends += 1;
    }

    fn check_send(&self, id: RequestId, n: u8) {
        let request = self.open.get(&id).expect("a send for a request that is finished or unknown");
        let class = &self.settings.classes[request.class];
        let known = &self.known[usize::from(n)];
        assert_eq!(known.availability, Availability::Ready, "a send to an endpoint out of service");
        assert_eq!(known.group, request.group, "a send outside the group");
        let hedges = self.settings.may_hedge == Some(true);
        assert!(request.in_flight.is_empty() || hedges, "two attempts in flight");
        let in_flight_since = request.in_flight.values().map(|attempt| attempt.sent_at);
        let may_have_run_since = request.may_have_run_since.into_iter().chain(in_flight_since).min();
        match (class.idempotency.unwrap(), may_have_run_since) {
            (Idempotency::NonIdempotent, Some(_)) => {
                panic!("an unsafe request that may have run was sent again")
            }
            (Idempotency::Keyed, Some(since)) => {
                assert!(self.now < since + class.key_window.unwrap(), "key expired")
            }
            _ => {}
        }
        assert!(u32::from(request.attempts_sent) < self.settings.max_attempts.unwrap(), "too many attempts");
        self.check_freshness(request, class, known);
    }

    /// Where endpoints serve stale data, a read may be sent only to an endpoint that is known to be fresh enough.
    fn check_freshness(&self, request: &OpenRequest, class: &Class, known: &KnownState) {
        let required = match class.consistency.unwrap() {
            Consistency::Bounded => Some(self.now - class.max_age.unwrap()),
            Consistency::Session => request.last_commit_age.map(|age| request.arrived_at - age),
            _ => None,
        };
        let is_known_primary = known.was_primary && known.is_primary;
        let serves_stale = self.settings.replication_lag_policy == Some(ReplicationLagPolicy::ServeStale);
        if let Some(required) = required
            && serves_stale
            && !is_known_primary
        {
            assert!(known.position >= Some(required), "a stale read");
        }
    }

    fn reject(&mut self, id: RequestId) {
        let request = self.open.remove(&id).expect("a second final answer");
        let class = &self.settings.classes[request.class];
        let may_have_run = request.may_have_run_since.is_some() || !request.in_flight.is_empty();
        assert!(
            !may_have_run || class.idempotency == Some(Idempotency::Idempotent),
            "a rejection of a request that may have run"
        );
        self.final_answers += 1;
    }

    /// Ends a cancelled attempt 1 ms later.
    fn cancel(&mut self, id: RequestId, attempt: u8) {
        let is_cancelled = |end: &&AttemptEnd| (end.request, end.attempt) == (id, attempt);
        let Some(end) = self.attempt_ends.keys().find(is_cancelled).copied() else { return };
        let n = self.attempt_ends.remove(&end).unwrap();
        self.attempt_ends.insert(AttemptEnd { at: self.now + MS, ..end }, n);
    }

    fn finish_attempt(&mut self, id: RequestId, attempt: u8, n: u8) {
        let mut outcome = AttemptOutcome::Cancelled;
        let mut request_answered = true;
        let mut took = REPORTED_DURATION;
        if let Some(request) = self.open.get_mut(&id) {
            let sent_at = request.in_flight.remove(&attempt).unwrap().sent_at;
            if self.moves {
                took = self.now - sent_at;
            }
            outcome = random_outcome(&mut self.rng, self.now >= request.deadline);
            // Repeated here instead of using the code under test.
            use AttemptOutcome::{Cancelled, Error, Reset, TimedOut};
            if matches!(outcome, Error | Reset | TimedOut | Cancelled) {
                request.may_have_run_since = Some(request.may_have_run_since.unwrap_or(sent_at).min(sent_at));
            }
            request_answered = outcome == AttemptOutcome::Served;
        }
        if request_answered && self.open.remove(&id).is_some() {
            self.final_answers += 1;
        }
        let replica_status = self.random_status(n, self.now - took, outcome);
        self.handle(Event::AttemptFinished(AttemptFinished {
            id,
            attempt,
            endpoint: endpoint(n),
            took,
            outcome,
            request_answered,
            replica_status,
            report: LoadReport::default(),
        }));
    }

    /// A random status in the response to an attempt that was sent at `sent_at`; `None` for an outcome with which an
    /// endpoint reports none. A status from before the endpoint was moved proves nothing about its group.
    fn random_status(&mut self, n: u8, sent_at: Timestamp, outcome: AttemptOutcome) -> Option<ReplicaStatus> {
        use AttemptOutcome::{Error, Misdirected, Overloaded, Served};
        let primary = self.rng.u8(..10) == 0;
        let age = random_duration(&mut self.rng, TimeDelta::ZERO..600 * MS);
        if !matches!(outcome, Served | Misdirected | Overloaded | Error) {
            return None;
        }
        let reached = if primary { self.now } else { self.now - age };
        // Endpoints report whole milliseconds, rounded down.
        let position = LogPosition::from_millis(reached.as_millis());
        let known = &mut self.known[usize::from(n)];
        if Some(sent_at) > known.moved_at {
            known.is_primary = primary;
            known.was_primary |= primary;
            known.position = known.position.max(Some(position.commit_time(Timestamp::ZERO)));
        }
        Some(ReplicaStatus { primary, position })
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((&end, &n)) = self.attempt_ends.first_key_value()
            && end.at <= self.now
        {
            self.attempt_ends.remove(&end);
            self.finish_attempt(end.request, end.attempt, n);
        }
        if self.timers.iter().any(|at| *at <= self.now) {
            self.timers.retain(|at| *at > self.now);
            self.handle(Event::TimerFired { timer: 0 });
        }
        if self.moves && self.rng.u8(..60) == 0 {
            self.move_endpoint();
        }
        match self.rng.u8(..40) {
            0 => self.change_availability(),
            1 => self.cancel_oldest_request(),
            2 => {
                self.handle(Event::TimerFired { timer: 5 });
                self.send_invalid_input();
            }
            3..=20 => self.new_request(),
            _ => {}
        }
        for request in self.open.values() {
            assert!(self.now <= request.deadline + ANSWER_TOLERANCE, "no final answer in time");
        }
    }

    fn change_availability(&mut self) {
        use Availability::{Draining, Gone, Ready};
        let n = self.rng.u8(..self.endpoints);
        let availability = [Ready, Ready, Ready, Draining, Gone][self.rng.usize(..5)];
        let started_at = (self.rng.u8(..4) == 0).then_some(self.now - 30_000 * MS);
        self.known[usize::from(n)].availability = availability;
        // By its new list entry the endpoint started long ago, so it is no longer cold.
        self.sent_to_cold.remove(&n);
        let group = self.known[usize::from(n)].group;
        let entry = EndpointEntry { availability, group, started_at, ..entry(n) };
        self.handle(Event::EndpointList { kind: ListKind::Delta, entries: vec![entry] });
    }

    /// Moves an endpoint to another group, with the availability that it has.
    fn move_endpoint(&mut self) {
        let n = self.rng.u8(..self.endpoints);
        let group = GroupId(self.rng.u32(..self.groups));
        let known = &mut self.known[usize::from(n)];
        if known.group == group {
            return;
        }
        let availability = known.availability;
        *known = KnownState { moved_at: Some(self.now), ..KnownState::new(group, availability) };
        let entry = EndpointEntry { availability, group, ..entry(n) };
        self.handle(Event::EndpointList { kind: ListKind::Delta, entries: vec![entry] });
    }

    fn cancel_oldest_request(&mut self) {
        if let Some(&id) = self.open.keys().next() {
            self.open.remove(&id);
            self.handle(Event::RequestCancelled { id });
        }
    }

    fn new_request(&mut self) {
        let id = self.next_id;
        self.next_id.0 += 1;
        let class = self.rng.usize(..self.settings.classes.len());
        let client_timeout = random_duration(&mut self.rng, 50 * MS..3_000 * MS);
        let has_commit = self.rng.bool();
        let last_commit_age = has_commit.then(|| random_duration(&mut self.rng, MS..900 * MS));
        let group = GroupId(self.rng.u32(..self.groups));
        let request = OpenRequest {
            class,
            group,
            deadline: self.now + client_timeout,
            arrived_at: self.now,
            last_commit_age,
            ..OpenRequest::default()
        };
        self.open.insert(id, request);
        self.handle(Event::Request(IncomingRequest {
            id,
            class,
            group,
            last_commit_age,
            session: 3,
            client_timeout,
            ..IncomingRequest::default()
        }));
    }
}

fn random_outcome(rng: &mut Rng, deadline_passed: bool) -> AttemptOutcome {
    use AttemptOutcome::{ConnectFailed, Error, Misdirected, Overloaded, Reset, Served, TimedOut};
    const OUTCOMES: [AttemptOutcome; 11] = [
        Served,
        Served,
        Served,
        Served,
        Misdirected,
        Misdirected,
        ConnectFailed,
        Error,
        Reset,
        Overloaded,
        TimedOut,
    ];
    if deadline_passed { TimedOut } else { OUTCOMES[rng.usize(..OUTCOMES.len())] }
}

/// Parameters of a simulation.
struct Scenario {
    settings: Settings,
    groups: u32,
    endpoints: u8,
    /// All endpoints have just started.
    cold: bool,
    /// The list moves endpoints between groups.
    moves: bool,
    steps: usize,
}

/// Runs all steps of `scenario` and returns the final state.
fn simulate(seed: u64, scenario: Scenario) -> Simulation {
    let Scenario { settings, groups, endpoints, cold, moves, steps } = scenario;
    let unknown = |n| KnownState::new(initial_group(n, groups), Availability::Ready);
    let mut simulation = Simulation {
        groups,
        moves,
        endpoints,
        router: Router::new(settings.clone(), seed),
        settings,
        rng: Rng::with_seed(seed ^ 0x5eed),
        now: Timestamp::ZERO + 1_000 * MS,
        known: (0..endpoints).map(unknown).collect(),
        sent_to_cold: BTreeMap::new(),
        open: BTreeMap::new(),
        attempt_ends: BTreeMap::new(),
        timers: Vec::new(),
        next_id: RequestId(1),
        sends: 0,
        final_answers: 0,
    };
    let started_at = cold.then_some(simulation.now);
    if cold {
        simulation.sent_to_cold = (0..endpoints).map(|n| (n, 0)).collect();
    }
    let entry_of = |n| EndpointEntry { group: initial_group(n, groups), started_at, ..entry(n) };
    let entries = (0..endpoints).map(entry_of).collect();
    simulation.handle(Event::EndpointList { kind: ListKind::Cached, entries });
    for _ in 0..steps {
        simulation.step();
    }
    simulation
}

fn varied_settings(seed: u64) -> Settings {
    let mut settings = settings();
    let policies = [ReplicationLagPolicy::ServeStale, ReplicationLagPolicy::Reject];
    settings.may_hedge = Some(seed.is_multiple_of(2));
    settings.replication_lag_policy = Some(policies[seed as usize % 2]);
    settings.max_attempts = Some([3, 8][seed as usize / 2 % 2]);
    settings.may_probe = Some(seed.is_multiple_of(3));
    settings.peer_messages = Some(true);
    let mut keyed = settings.classes[WRITE].clone();
    keyed.idempotency = Some(Idempotency::Keyed);
    keyed.key_window = Some(700 * MS);
    settings.classes.push(keyed);
    settings
}

#[test]
fn the_invariants_hold_over_random_sequences_under_varied_settings() {
    for seed in 0..12 {
        let settings = varied_settings(seed);
        let scenario =
            Scenario { settings, groups: 2, endpoints: 8, cold: false, moves: false, steps: 8_000 };
        let Simulation { sends, final_answers, .. } = simulate(seed, scenario);
        assert!(sends > 500 && final_answers > 500, "{sends} sends, {final_answers} answers");
    }
}

/// Guards against requests that reach an endpoint of another group, and against stale reads, after the list has moved
/// endpoints between groups.
#[test]
fn the_invariants_hold_while_endpoints_move_between_groups() {
    for seed in 0..12 {
        let settings = varied_settings(seed);
        let scenario = Scenario { settings, groups: 3, endpoints: 9, cold: false, moves: true, steps: 8_000 };
        let Simulation { sends, final_answers, .. } = simulate(seed, scenario);
        assert!(sends > 500 && final_answers > 500, "{sends} sends, {final_answers} answers");
    }
}

#[test]
fn the_invariants_hold_for_one_of_150_poolers_over_60_endpoints() {
    for seed in 0..6 {
        let settings =
            Settings { pooler_count: Some(150), pooler_number: Some(149), ..varied_settings(seed) };
        let scenario =
            Scenario { settings, groups: 15, endpoints: 60, cold: false, moves: false, steps: 8_000 };
        let Simulation { sends, final_answers, .. } = simulate(seed, scenario);
        assert!(sends > 300 && final_answers > 300, "{sends} sends, {final_answers} answers");
    }
}

/// Guards against a pooler that sends a cold endpoint more than its share of the capacity, which is at most one attempt
/// here. Only the sends are counted.
#[test]
fn one_of_150_poolers_sends_each_cold_endpoint_at_most_one_attempt() {
    for seed in 0..6 {
        let settings = Settings { pooler_count: Some(150), ..varied_settings(seed) };
        let scenario = Scenario { settings, groups: 15, endpoints: 60, cold: true, moves: false, steps: 400 };
        let simulation = simulate(seed, scenario);
        let sent_to_cold = &simulation.sent_to_cold;
        assert!(sent_to_cold.values().all(|sends| *sends <= 1), "{sent_to_cold:?}");
        assert!(simulation.final_answers > 20, "requests that cannot be served are answered too");
    }
}
