//! The rules as seen from outside, over long random but legal event sequences. It models no server and
//! no score: outcomes, delays, roles and positions are drawn, and only what the rules forbid is checked.

mod common;
use brookpass::Router;
use brookpass::routing::*;
use common::*;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::ops::Range;

#[derive(Default)]
struct Open {
    class: usize,
    group: GroupId,
    deadline: Timestamp,
    arrived: Timestamp,
    last_commit_age: Option<TimeDelta>,
    out: BTreeMap<u8, (u8, Timestamp)>,
    sent: u8,
    first_ran: Option<Timestamp>,
}

#[derive(Clone)]
struct Seen {
    availability: Availability,
    /// What the router was told last: role and best position.
    told_primary: bool,
    was_primary: bool,
    position: Option<Timestamp>,
}

struct World {
    groups: u32,
    endpoints: u8,
    /// Sends to each member that is still cold.
    cold: BTreeMap<u8, u32>,
    settings: Settings,
    rng: Rng,
    now: Timestamp,
    router: Router,
    seen: Vec<Seen>,
    open: BTreeMap<RequestId, Open>,
    /// Attempts under way: when they end.
    ends: BTreeMap<(Timestamp, RequestId, u8), u8>,
    wakes: Vec<Timestamp>,
    next: RequestId,
    sends: usize,
    finals: usize,
}

fn group_of(n: u8, groups: u32) -> GroupId {
    GroupId(u32::from(n) % groups)
}

fn length(rng: &mut Rng, within: Range<TimeDelta>) -> TimeDelta {
    TimeDelta::from_micros(rng.i64(within.start.as_micros()..within.end.as_micros()))
}

impl World {
    /// Messages come twice or not at all, reports lie about load; roles and positions in them are old but true.
    fn noise(&mut self) {
        let n = self.rng.u8(..self.endpoints);
        for _ in 0..self.rng.u8(..3) {
            self.event(Event::PeerMessage { from: u16::from(n), bytes: vec![n; usize::from(n)] });
        }
        let values = [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.5][self.rng.usize(..5)];
        let report = LoadReport { count: 4, values: [0.0, 0.0, values, values] };
        let ok = self.rng.bool();
        self.event(Event::ProbeFinished { endpoint: endpoint(n), ok, took: MS, report });
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, endpoint, .. } => {
                let n = endpoint.ip[3];
                let r = self.open.get_mut(&id).expect("a send for a request that is finished or unknown");
                let (c, seen) = (&self.settings.classes[r.class], &self.seen[usize::from(n)]);
                assert_eq!(
                    seen.availability,
                    Availability::Ready,
                    "a send to a member told to be out of service"
                );
                assert_eq!(group_of(n, self.groups), r.group, "a send outside the group");
                assert!(r.out.is_empty() || self.settings.may_hedge == Some(true), "two attempts out");
                let may_have_run = r.first_ran.into_iter().chain(r.out.values().map(|(_, sent)| *sent)).min();
                match (c.idempotency.unwrap(), may_have_run) {
                    (Idempotency::NonIdempotent, Some(_)) => {
                        panic!("an unsafe request that may have run was sent again")
                    }
                    (Idempotency::Keyed, Some(first)) => {
                        assert!(now < first + c.key_window.unwrap(), "key expired")
                    }
                    _ => {}
                }
                assert!(u32::from(r.sent) < self.settings.max_attempts.unwrap(), "too many attempts");
                let need = match c.consistency.unwrap() {
                    Consistency::Bounded => Some(now - c.max_age.unwrap()),
                    Consistency::Session => r.last_commit_age.map(|age| r.arrived - age),
                    _ => None,
                };
                let excused = seen.was_primary && seen.told_primary;
                if let (Some(need), Some(ReplicationLagPolicy::ServeStale), false) =
                    (need, self.settings.replication_lag_policy, excused)
                {
                    assert!(seen.position >= Some(need), "a stale read");
                }
                if let Some(sends) = self.cold.get_mut(&n) {
                    *sends += 1;
                }
                r.out.insert(r.sent, (n, now));
                let end = (now + length(&mut self.rng, MS..900 * MS)).min(r.deadline);
                self.ends.insert((end, id, r.sent), n);
                (r.sent, self.sends) = (r.sent + 1, self.sends + 1);
            }
            Action::Reject { id, .. } => {
                let r = self.open.remove(&id).expect("a second final answer");
                let c = &self.settings.classes[r.class];
                let ran = r.first_ran.is_some() || !r.out.is_empty();
                assert!(
                    !ran || c.idempotency == Some(Idempotency::Idempotent),
                    "a refusal though it may have run"
                );
                self.finals += 1;
            }
            Action::Fail { id } => {
                self.open.remove(&id).expect("a second final answer");
                self.finals += 1;
            }
            Action::SetTimer { span, .. } => self.wakes.push(now + span),
            Action::Cancel { id, attempt } => {
                if let Some(at) = self.ends.keys().find(|(_, i, a)| (*i, *a) == (id, attempt)).copied() {
                    let n = self.ends.remove(&at).unwrap();
                    self.ends.insert((now + MS, id, attempt), n);
                }
            }
            _ => {}
        }
    }

    fn settle(&mut self, id: RequestId, attempt: u8, n: u8) {
        use AttemptOutcome::*;
        let (mut outcome, mut finished) = (Cancelled, true);
        if let Some(r) = self.open.get_mut(&id) {
            let (_, sent) = r.out.remove(&attempt).unwrap();
            let any = [
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
            outcome = if self.now >= r.deadline { TimedOut } else { any[self.rng.usize(..any.len())] };
            if matches!(outcome, Error | Reset | TimedOut | Cancelled) {
                r.first_ran = Some(r.first_ran.unwrap_or(sent).min(sent));
            }
            finished = outcome == Served;
        }
        if finished && self.open.remove(&id).is_some() {
            self.finals += 1;
        }
        let tells = matches!(outcome, Served | Misdirected | Overloaded | Error);
        let primary = self.rng.u8(..10) == 0;
        let age = length(&mut self.rng, TimeDelta::ZERO..600 * MS);
        let reached = if primary { self.now } else { self.now - age };
        // Told in whole milliseconds, rounded down.
        let position = LogPosition::from_millis(reached.as_millis());
        let replica_status = tells.then_some(ReplicaStatus { primary, position });
        let seen = &mut self.seen[usize::from(n)];
        if let Some(m) = replica_status {
            (seen.told_primary, seen.was_primary) = (m.primary, seen.was_primary || m.primary);
            seen.position = seen.position.max(Some(m.position.commit_time(Timestamp::ZERO)));
        }
        let end = AttemptFinished {
            id,
            attempt,
            endpoint: endpoint(n),
            took: MS,
            outcome,
            finished,
            replica_status,
            report: LoadReport::default(),
        };
        self.event(Event::AttemptFinished(end));
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        while let Some((&(at, id, attempt), &n)) = self.ends.first_key_value()
            && at <= self.now
        {
            self.ends.remove(&(at, id, attempt));
            self.settle(id, attempt, n);
        }
        if self.wakes.iter().any(|at| *at <= self.now) {
            self.wakes.retain(|at| *at > self.now);
            self.event(Event::TimerFired { timer: 0 });
        }
        match self.rng.u8(..40) {
            0 => {
                let n = self.rng.u8(..self.endpoints);
                use Availability::{Draining, Gone, Ready};
                let availability = [Ready, Ready, Ready, Draining, Gone][self.rng.usize(..5)];
                let started_at = (self.rng.u8(..4) == 0).then_some(self.now - 30_000 * MS);
                self.seen[usize::from(n)].availability = availability;
                // From here on the list says that it started long ago.
                self.cold.remove(&n);
                let line =
                    EndpointEntry { availability, group: group_of(n, self.groups), started_at, ..entry(n) };
                self.event(Event::EndpointList { kind: ListKind::Delta, entries: vec![line] });
            }
            1 => {
                if let Some(&id) = self.open.keys().next() {
                    self.open.remove(&id);
                    self.event(Event::RequestCancelled { id });
                }
            }
            2 => {
                self.event(Event::TimerFired { timer: 5 });
                self.noise();
            }
            3..=20 => {
                let id = self.next;
                self.next.0 += 1;
                let class = self.rng.usize(..self.settings.classes.len());
                let client_timeout = length(&mut self.rng, 50 * MS..3_000 * MS);
                let last_commit_age = (self.rng.bool()).then(|| length(&mut self.rng, MS..900 * MS));
                let group = GroupId(self.rng.u32(..self.groups));
                let (arrived, deadline) = (self.now, self.now + client_timeout);
                self.open
                    .insert(id, Open { class, group, deadline, arrived, last_commit_age, ..Open::default() });
                self.event(Event::Request(IncomingRequest {
                    id,
                    class,
                    group,
                    last_commit_age,
                    session: 3,
                    client_timeout,
                    ..IncomingRequest::default()
                }));
            }
            _ => {}
        }
        for r in self.open.values() {
            assert!(self.now <= r.deadline + 20 * MS, "no final answer in time");
        }
    }
}

/// The world after `steps`; `cold`: all members have just started.
fn play(seed: u64, s: Settings, groups: u32, endpoints: u8, cold: bool, steps: usize) -> World {
    let seen =
        Seen { availability: Availability::Ready, told_primary: false, was_primary: false, position: None };
    let mut world = World {
        groups,
        endpoints,
        cold: BTreeMap::new(),
        router: Router::new(s.clone(), seed),
        settings: s,
        rng: Rng::with_seed(seed ^ 0x5eed),
        now: Timestamp::ZERO + 1_000 * MS,
        seen: vec![seen; usize::from(endpoints)],
        open: BTreeMap::new(),
        ends: BTreeMap::new(),
        wakes: Vec::new(),
        next: RequestId(1),
        sends: 0,
        finals: 0,
    };
    let started_at = cold.then_some(world.now);
    if cold {
        world.cold = (0..endpoints).map(|n| (n, 0)).collect();
    }
    let line = |n| EndpointEntry { group: group_of(n, groups), started_at, ..entry(n) };
    world.event(Event::EndpointList { kind: ListKind::Cached, entries: (0..endpoints).map(line).collect() });
    (0..steps).for_each(|_| world.step());
    world
}

fn varied(seed: u64) -> Settings {
    let mut s = settings();
    s.may_hedge = Some(seed.is_multiple_of(2));
    s.replication_lag_policy =
        [Some(ReplicationLagPolicy::ServeStale), Some(ReplicationLagPolicy::Reject)][seed as usize % 2];
    s.max_attempts = Some([3, 8][seed as usize / 2 % 2]);
    s.may_probe = Some(seed.is_multiple_of(3));
    s.peer_messages = Some(true);
    let mut keyed = s.classes[WRITE].clone();
    (keyed.idempotency, keyed.key_window) = (Some(Idempotency::Keyed), Some(700 * MS));
    s.classes.push(keyed);
    s
}

#[test]
fn the_rules_hold_over_random_sequences_under_varied_settings() {
    for seed in 0..12 {
        let world = play(seed, varied(seed), 2, 8, false, 8_000);
        assert!(world.sends > 500 && world.finals > 500, "{} sends, {} answers", world.sends, world.finals);
    }
}

#[test]
fn the_rules_hold_for_one_of_150_poolers_over_60_endpoints() {
    for seed in 0..6 {
        let settings = Settings { pooler_count: Some(150), me: Some(149), ..varied(seed) };
        let world = play(seed, settings, 15, 60, false, 8_000);
        assert!(world.sends > 300 && world.finals > 300, "{} sends, {} answers", world.sends, world.finals);
    }
}

/// The share of one driver in what a cold member bears, judged by the sends alone: no more than one at once.
#[test]
fn one_of_150_poolers_sends_an_all_cold_fleet_next_to_nothing() {
    for seed in 0..6 {
        let settings = Settings { pooler_count: Some(150), ..varied(seed) };
        let world = play(seed, settings, 15, 60, true, 400);
        assert!(world.cold.values().all(|sends| *sends <= 1), "{:?}", world.cold);
        assert!(world.finals > 20, "what cannot be served is answered all the same");
    }
}
