//! Every decision of the router, read from top to bottom: learn, write path, read path, attempts and
//! answers, guards. The types it speaks (settings, events, actions) are in `src/routing/mod.rs`.
//!
//! The ordinary path is the mechanism of the RFT paper as `docs/design.md` lays it out: a believed
//! primary for each group, a ring of its other members in sorted order, holding of writes after a
//! round of misses, and the companion draw for reads among replicas known to be fresh enough.

use super::*;
use crate::primary_hint::PrimaryHint;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The design's half-second timer; also the shortest time for which a member that failed is left alone.
const HOLD_TIMER: TimeDelta = TimeDelta::from_millis(500);
/// Doublings at most of a back-off: 8 s, about as long as a member takes to come back.
const MAX_DOUBLINGS: u32 = 4;
/// Weight of a new sample in smoothed latencies: some ten answers make up a member's figure.
const SMOOTHING: f64 = 0.1;
/// Attempts that all drivers together keep at a member at least, or it could not be seen to recover.
const LEAST_TOGETHER: f64 = 3.0;
/// A driver's first window against its least, before it has seen how the member bears it; one at least.
const FIRST_WINDOW: f64 = 8.0;
/// A window shrinks by this factor when answers come late or the member says it is full.
const SHRINK: f64 = 0.5;
/// Latency assumed for a class before its first answer, as a share of its aim.
const FIRST_LATENCY: f64 = 0.25;
/// Positions are told in whole milliseconds, rounded down.
const ROUNDING: TimeDelta = TimeDelta::from_millis(1);
/// Errors with no good answer between that are laid to the member: fewer follow a request, key or tenant.
const ERRORS: u32 = 3;
/// Errors after which a request is given up.
const BAD: u32 = 2;
/// A read waits so long for a probe: some ten round trips between zones.
const PROBE_WAIT: TimeDelta = TimeDelta::from_millis(50);
/// Held requests that are looked at for one event, if none finds room.
const TRIES: usize = 4;
/// Share of the cold budget that is used: drivers' most at different times adds up, and sends come by chance.
const BUDGET: f64 = 0.8;
/// Clients are asked to come back after so many aims of the class: crowds and failovers last that long.
const HINT: i64 = 4;
/// A member that is gone and has not answered for so long is forgotten.
const FORGET: TimeDelta = TimeDelta::from_secs(30);
/// Sessions whose last commit is remembered one by one.
const SESSIONS: usize = 50_000;
/// An attempt is taken for lost after so many usual latencies, when its member has answered so many that were
/// sent after it: long work is overtaken too, but seldom by as much.
const LOST: f64 = 8.0;
const OVERTAKEN: u64 = 16;
/// An answer needs so long at the most from here to the client.
const WAY_OUT: TimeDelta = TimeDelta::from_millis(15);
/// Weight in the draw of a member in another zone, against one in this driver's own.
const FAR: f64 = 0.6;
/// Aim of a class and attempts for a request where the settings do not say.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
const ATTEMPTS: u32 = 4;

/// What the router keeps of a member.
#[derive(Default)]
struct EndpointState {
    group: GroupId,
    zone: ZoneId,
    availability: Availability,
    units: f64,
    started_at: Option<Timestamp>,
    listed_primary: bool,
    /// The role last told and when; an answer sets it, other sources only where newer.
    role: Option<bool>,
    role_at: Option<Timestamp>,
    /// The log position, as clock time, that it is proven to have reached.
    position: Option<Timestamp>,
    /// How far its position trailed its last answer.
    lag: TimeDelta,
    /// When it last answered anything, and how many attempts it has answered.
    heard: Option<Timestamp>,
    answered: u64,
    /// Its latency against the mean of the class, smoothed.
    slow: f64,
    /// A probe is under way since.
    probed_at: Option<Timestamp>,
    /// Attempts out: when each was sent.
    out: BTreeMap<(RequestId, u8), Timestamp>,
    /// Attempts it may have out; below one, the share of time in which one may be.
    window: f64,
    /// Its last send, and the time between the last two.
    sent_at: Timestamp,
    gap: TimeDelta,
    shrunk_at: Timestamp,
    /// Attempts go unanswered; cleared by the next answer.
    suspect: bool,
    /// Not to be used before this.
    shunned_until: Option<Timestamp>,
    /// Its last attempt found no connection.
    unreachable: bool,
    strikes: u32,
    /// Errors since its last good answer.
    errors: u32,
    /// Sends that a cold member may still be given.
    budget: f64,
    budget_at: Timestamp,
}

/// What the router keeps of a group.
#[derive(Default)]
struct Group {
    endpoints: BTreeSet<EndpointId>,
    /// The believed primary.
    primary: Option<EndpointId>,
    /// A round of misses found no primary: writes are held.
    holding: bool,
    /// The one write that looks for the primary, and the members tried on this round.
    scout: Option<RequestId>,
    walked: BTreeSet<EndpointId>,
    timer_at: Option<Timestamp>,
    held: [BTreeSet<Rank>; 2],
    /// Sends of this driver to the group, decayed.
    rate: Rate,
}

/// Places of reads and of writes among what a group holds.
const READS: usize = 0;
const WRITES: usize = 1;

/// The order in which held requests go: still in time, most urgent first.
type Rank = (bool, Timestamp, RequestId);

/// An exponentially decayed count of events, low at first.
#[derive(Default)]
struct Rate {
    count: f64,
    at: Timestamp,
}

impl Rate {
    fn per_us(&self, now: Timestamp, span: TimeDelta) -> f64 {
        self.count * (-(now - self.at).as_micros_f64() / span.as_micros_f64()).exp() / span.as_micros_f64()
    }

    fn add(&mut self, now: Timestamp, span: TimeDelta) {
        (self.count, self.at) = (self.per_us(now, span) * span.as_micros_f64() + 1.0, now);
    }
}

/// Draws by weight.
fn draw(rng: &mut Rng, of: &[(EndpointId, f64)]) -> Option<EndpointId> {
    let mut at = rng.f64() * of.iter().map(|(_, w)| w).sum::<f64>();
    let hit = of.iter().find(|(_, w)| {
        at -= w;
        at <= 0.0
    });
    hit.or(of.last()).map(|(id, _)| *id)
}

struct Attempt {
    endpoint: EndpointId,
    sent: Timestamp,
    open: bool,
    /// Its member has had it whole, or may have.
    written: bool,
    /// It is overtaken for good once its member has answered so many.
    overtaken_at: u64,
    /// When it ended without an answer for the client.
    missed_at: Option<Timestamp>,
}

#[derive(Default)]
struct Request {
    class: usize,
    kind: Option<Consistency>,
    /// It goes the way of writes.
    writes: bool,
    latency_objective: TimeDelta,
    group: GroupId,
    arrived: Timestamp,
    aim_at: Timestamp,
    /// After this an answer is worth nothing.
    end: Timestamp,
    deadline: Timestamp,
    /// For a session read: the commit its data must include.
    commit: Option<Timestamp>,
    session: u64,
    attempts: Vec<Attempt>,
    /// When the first attempt that may have run was sent.
    first_ran: Option<Timestamp>,
    streaming: bool,
    /// Its place among the held.
    held: Option<Rank>,
    /// When it began to wait for a probe.
    probed: Option<Timestamp>,
    errors: u32,
    /// An attempt was taken for lost: only once, or long work would never be done.
    moved: bool,
}

/// What is to be looked at when a timer fires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Subscribe,
    Group(GroupId),
    Pump(GroupId),
    Guard(RequestId),
    Check(RequestId, u8),
    Lost(RequestId, u8),
}

/// The decisions of one driver.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    /// Rates are taken over this long: the time in which a cold member falls over.
    span: TimeDelta,
    /// The least window: this driver's part of `LEAST_TOGETHER`.
    least: f64,
    rng: Rng,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Request>,
    /// Smoothed latency of each class over all members.
    latency: Vec<f64>,
    /// Last commit seen for each session, where the router must remember them.
    sessions: BTreeMap<u64, Timestamp>,
    /// The last commit of any session that is remembered no more.
    forgotten: Option<Timestamp>,
    /// Good answers, the size of all members, and the most that one unit of it has given, per microsecond.
    served: Rate,
    units: f64,
    peak: f64,
    agenda: BTreeSet<(Timestamp, Due)>,
    armed: Option<Timestamp>,
    dirty: BTreeSet<GroupId>,
    greeted: bool,
    list_failures: u32,
}

impl Router {
    /// A router that knows nothing but its settings; `seed` feeds its draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let latency = settings
            .classes
            .iter()
            .map(|c| c.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE).as_micros_f64() * FIRST_LATENCY)
            .collect();
        let pooler_count = f64::from(settings.pooler_count.unwrap_or(1).max(1));
        Router {
            least: (LEAST_TOGETHER / pooler_count).min(1.0),
            span: settings.overload_window.unwrap_or(HOLD_TIMER * 4),
            settings,
            rng: Rng::with_seed(seed),
            latency,
            ..Router::default()
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.list(now, kind, &entries, out),
            Event::Request(ask) => self.take(now, &ask, out),
            Event::ResponseStarted { id, endpoint, .. } => {
                self.heard(now, endpoint);
                self.requests.entry(id).and_modify(|r| r.streaming = true);
            }
            Event::AttemptFinished(end) => {
                self.learn(now, end.endpoint, end.replica_status, &end.report, out);
                self.settled(now, &end, out);
            }
            // Nobody waits for what is still out: impatient clients would pile dead work on the members.
            Event::RequestCancelled { id } => self.finish(id, out),
            Event::ProbeFinished { endpoint, ok: true, report, .. } => {
                self.learn(now, endpoint, None, &report, out)
            }
            Event::ProbeFinished { .. } => {}
            Event::PeerMessage { bytes, .. } => {
                if let Some(hint) = PrimaryHint::read(&bytes) {
                    self.hinted(now, hint);
                }
            }
            Event::TimerFired { .. } => {
                // Wakes cannot be called off: one that was overtaken must not arm another.
                self.armed = self.armed.filter(|at| *at > now);
                self.due(now, out);
            }
        }
        while let Some(group) = self.dirty.pop_first() {
            self.pump(now, group, out);
        }
        if let Some(&(at, _)) = self.agenda.first()
            && self.armed.is_none_or(|armed| at < armed)
        {
            self.armed = Some(at);
            out.push(Action::SetTimer { span: (at - now).or_zero(), timer: 0 });
        }
    }

    // ---- learn ----

    fn list(&mut self, now: Timestamp, kind: ListKind, entries: &[EndpointEntry], out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            // All drivers fail at once where the list is overloaded: they must not come back at once.
            let wait = HOLD_TIMER << self.list_failures.min(MAX_DOUBLINGS);
            self.list_failures += 1;
            let apart = TimeDelta::from_micros(self.rng.i64(0..wait.as_micros()));
            self.agenda.insert((now + wait + apart, Due::Subscribe));
            return;
        }
        self.list_failures *= u32::from(kind == ListKind::Cached);
        if kind != ListKind::Delta {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            let binds = self.settings.only_stated_drain_binds != Some(true);
            for (id, m) in self.endpoints.iter_mut().filter(|(id, _)| binds && !named.contains(id)) {
                m.availability = Availability::Gone;
                self.groups.entry(m.group).or_default().endpoints.remove(id);
            }
        }
        for e in entries {
            self.entry(now, e);
        }
        self.forget(now);
        self.units = self.listed().map(|m| m.units).sum();
        if !std::mem::replace(&mut self.greeted, true) {
            let subscribes = self.settings.must_subscribe == Some(true);
            out.extend(subscribes.then_some(Action::Subscribe { on: true }));
            // The design's one probe of each replica by a fresh router.
            let first = self.endpoints.iter().filter(|_| self.settings.may_probe == Some(true));
            let ready = first.filter(|(_, m)| m.availability == Availability::Ready);
            out.extend(ready.map(|(&endpoint, _)| Action::Probe { endpoint }));
        }
    }

    /// Members are replaced for as long as the router runs: what is gone for good is not kept.
    fn forget(&mut self, now: Timestamp) {
        let old = |m: &EndpointState| m.out.is_empty() && m.heard.is_none_or(|t| now - t > FORGET);
        self.endpoints.retain(|_, m| m.availability != Availability::Gone || !old(m));
        let used = |g: &Group| !(g.endpoints.is_empty() && g.held.iter().all(BTreeSet::is_empty));
        self.groups.retain(|_, g| used(g) || g.scout.is_some());
    }

    /// The last commit of a session, kept for reads that follow. The older half goes when there are too many;
    /// a session that is no longer known must see whatever one of them has written.
    fn remember(&mut self, session: u64, commit: Timestamp) {
        let last = self.sessions.entry(session).or_insert(commit);
        *last = commit.max(*last);
        if self.sessions.len() > SESSIONS {
            let mut commits: Vec<Timestamp> = self.sessions.values().copied().collect();
            let middle = *commits.select_nth_unstable(SESSIONS / 2).1;
            self.sessions.retain(|_, commit| *commit > middle);
            self.forgotten = self.forgotten.max(Some(middle));
        }
    }

    fn listed(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(|m| m.availability != Availability::Gone)
    }

    /// How many members are on the list, and how many of these get nothing new now.
    pub fn avoids(&self, now: Timestamp) -> (usize, usize) {
        let off = |m: &&EndpointState| {
            m.suspect || m.availability != Availability::Ready || Some(now) < m.shunned_until
        };
        (self.listed().count(), self.listed().filter(off).count())
    }

    /// How many members, groups, requests and sessions it keeps.
    pub fn kept(&self) -> [usize; 4] {
        [self.endpoints.len(), self.groups.len(), self.requests.len(), self.sessions.len()]
    }

    fn entry(&mut self, now: Timestamp, e: &EndpointEntry) {
        let m = self.endpoints.entry(e.endpoint).or_insert_with(|| EndpointState {
            group: e.group,
            started_at: Some(Timestamp::MIN),
            window: (FIRST_WINDOW * self.least).max(1.0),
            ..EndpointState::default()
        });
        if m.started_at != e.started_at {
            // Another process: it is cold, holds no role, and what was held against the old one is void.
            m.started_at = e.started_at;
            (m.role, m.suspect, m.strikes, m.shunned_until) = (None, false, 0, None);
            (m.slow, m.budget, m.budget_at) = (1.0, self.rng.f64(), now);
        }
        let newly_named = e.primary && !m.listed_primary;
        m.listed_primary = e.primary;
        (m.zone, m.units) = (e.zone, if e.units > 0.01 { e.units.min(100.0) } else { 0.01 });
        // Where only a stated drain binds, `Gone` says nothing about a member that an earlier list named.
        let alone = self.settings.only_stated_drain_binds == Some(true);
        if !(alone && e.availability == Availability::Gone && m.availability == Availability::Ready) {
            m.availability = e.availability;
        }
        let gone = m.availability == Availability::Gone;
        let unheard = m.role_at.is_none_or(|t| now - t > HOLD_TIMER);
        let before = std::mem::replace(&mut m.group, e.group);
        self.groups.entry(before).or_default().endpoints.remove(&e.endpoint);
        let g = self.groups.entry(e.group).or_default();
        g.endpoints.extend((!gone).then_some(e.endpoint));
        // The list trails by seconds: it counts only for a member that has not answered lately.
        if newly_named && unheard && !gone {
            g.primary = Some(e.endpoint);
            (g.holding, g.scout) = (false, None);
        }
        self.dirty.insert(e.group);
    }

    /// Takes in what a member said about itself, by an answer's mark or a load report.
    fn learn(
        &mut self,
        now: Timestamp,
        id: EndpointId,
        replica_status: Option<ReplicaStatus>,
        report: &LoadReport,
        out: &mut Vec<Action>,
    ) {
        let zero = self.settings.zero.unwrap_or(Timestamp::ZERO);
        let field = |name: &str| {
            let n = self.settings.report_fields.iter().position(|f| f == name)?;
            (n < usize::from(report.count)).then(|| report.values[n])
        };
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        let mut role = None;
        if let Some(seconds) = field("x0") {
            let position = zero + TimeDelta::from_micros_f64(seconds * 1e6);
            m.position = m.position.max(Some(position - ROUNDING));
            // A report counts where it is newer than the last answer: no member is ahead of the present.
            if m.role.is_none() || Some(position) > m.role_at {
                role = field("x1").map(|v| v >= 0.5);
            }
        }
        if let Some(replica_status) = replica_status {
            (role, m.role_at) = (Some(replica_status.primary), Some(now));
            if replica_status.position.is_known() {
                let position = replica_status.position.commit_time(zero);
                m.lag = (now - position).or_zero();
                m.position = m.position.max(Some(position));
            }
        }
        (m.role, m.probed_at) = (role.or(m.role), None);
        self.dirty.insert(m.group);
        let g = self.groups.entry(m.group).or_default();
        if role == Some(true) && (g.primary != Some(id) || g.holding || g.scout.is_some()) {
            g.primary = Some(id);
            (g.holding, g.scout) = (false, None);
            // One of many drivers meets a group seldom: without a word each would look for itself, and miss.
            if replica_status.is_some() && self.settings.peer_messages == Some(true) {
                out.push(Action::SendToPeers {
                    to: None,
                    bytes: PrimaryHint { endpoint: id, at: now }.write(),
                });
            }
        }
        if replica_status.is_some() {
            self.heard(now, id);
        }
    }

    /// What a peer saw of a primary is a hint: it counts where it is newer than what that member and the
    /// believed primary said themselves, names nobody that the list has not in service, and proves no data.
    fn hinted(&mut self, now: Timestamp, hint: PrimaryHint) -> Option<()> {
        let m = self.endpoints.get(&hint.endpoint).filter(|m| m.availability == Availability::Ready)?;
        let (g, at) = (self.groups.get_mut(&m.group)?, Some(hint.at.min(now)));
        let believed = g.primary.and_then(|p| self.endpoints.get(&p)).filter(|p| p.role != Some(false));
        if at > m.role_at && at > believed.and_then(|p| p.role_at) {
            (g.primary, g.holding, g.scout) = (Some(hint.endpoint), false, None);
            self.dirty.insert(m.group);
            self.endpoints.entry(hint.endpoint).and_modify(|m| (m.role, m.role_at) = (None, at));
        }
        Some(())
    }

    fn heard(&mut self, now: Timestamp, id: EndpointId) {
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        (m.heard, m.suspect, m.unreachable, m.shunned_until) = (Some(now), false, false, None);
        self.dirty.insert(m.group);
    }

    /// A member failed, by no connection or by turning work away: left alone for a while, longer each time
    /// in a row. One that fails fast looks idle and would draw all reads to itself.
    fn shun(&mut self, now: Timestamp, id: EndpointId, base: TimeDelta) {
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        m.shunned_until = Some(now + (base << m.strikes.min(MAX_DOUBLINGS)));
        m.strikes += 1;
    }

    // ---- write path ----

    /// Where a write, or a read of the present, goes now; `None` holds it.
    fn pick_primary(&mut self, now: Timestamp, id: RequestId) -> Option<EndpointId> {
        let group = self.requests[&id].group;
        let g = self.groups.get_mut(&group)?;
        if g.scout.map_or(g.holding, |s| s != id) {
            return None;
        }
        if g.scout.is_none() {
            let first = g.primary.or(g.endpoints.first().copied())?;
            g.primary = Some(first);
            let m = self.endpoints.get(&first);
            if m.is_some_and(|m| m.suspect) {
                // It takes work and answers nothing: unreachable for new writes until it answers.
                self.hold_group(now, group);
                return None;
            }
            let reached = |m: &&EndpointState| !m.unreachable || Some(now) >= m.shunned_until;
            if m.filter(reached)
                .is_some_and(|m| m.availability == Availability::Ready && m.role != Some(false))
            {
                return self.takes(now, first).then_some(first);
            }
            // The believed primary is out: this write alone walks the ring for its group.
            let g = self.groups.get_mut(&group)?;
            g.scout = Some(id);
            g.walked = BTreeSet::from([first]);
        }
        let Some(next) = self.next_in_ring(now, group) else {
            self.hold_group(now, group);
            return None;
        };
        self.groups.get_mut(&group)?.walked.insert(next);
        Some(next)
    }

    /// The next member on the ring that may be the primary for all that is known.
    fn next_in_ring(&self, now: Timestamp, group: GroupId) -> Option<EndpointId> {
        let g = self.groups.get(&group)?;
        let from = g.primary?;
        let mut ring = g.endpoints.range(from..).chain(g.endpoints.range(..from));
        let open = |id: &&EndpointId| {
            let m = &self.endpoints[id];
            m.availability == Availability::Ready
                // A suspect is asked one thing at a time, or nobody would learn that it is well.
                && (!m.suspect || m.out.is_empty())
                && Some(now) >= m.shunned_until
                && !g.walked.contains(id)
                // Its own recent answer said replica: a send would be a miss for certain.
                && !(m.role == Some(false) && m.role_at.is_some_and(|t| now - t < HOLD_TIMER))
                && self.allowance(now, m) >= 1.0
        };
        ring.find(open).copied()
    }

    fn hold_group(&mut self, now: Timestamp, group: GroupId) {
        let g = self.groups.entry(group).or_default();
        (g.holding, g.scout) = (true, None);
        if g.timer_at.is_none_or(|t| t <= now) {
            g.timer_at = Some(now + HOLD_TIMER);
            self.agenda.insert((now + HOLD_TIMER, Due::Group(group)));
        }
    }

    /// The half-second timer: one held write tries one further member.
    fn group_timer(&mut self, now: Timestamp, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group).filter(|g| g.holding) else { return };
        let held: Vec<Rank> = g.held[WRITES].iter().take(TRIES).copied().collect();
        self.hold_group(now, group);
        // Rule 2 binds here as anywhere: a key may have expired while its write was held.
        let Some((.., scout)) = held.into_iter().find(|rank| self.may_resend(now, rank.2)) else { return };
        let mut next = self.next_in_ring(now, group);
        if next.is_none() {
            self.groups.entry(group).or_default().walked.clear();
            next = self.next_in_ring(now, group);
        }
        if let Some(endpoint) = next {
            self.groups.entry(group).or_default().walked.insert(endpoint);
            self.send(now, scout, endpoint, out);
        }
    }

    /// Members turn away what they may not answer. Else no read of the present may walk the ring.
    fn checks(&self) -> bool {
        self.settings.replication_lag_policy.is_some_and(|b| b != ReplicationLagPolicy::ServeStale)
    }

    // ---- read path ----

    /// The companion draw: a replica that is fresh enough, weighted size / (latency x (1 + in flight)). Where
    /// none is known to be, one is asked by a probe and the read waits for that; else the primary; `None`
    /// holds the read.
    fn pick_reader(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) -> Option<EndpointId> {
        let r = &self.requests[&id];
        let g = self.groups.get(&r.group)?;
        // A member that turned this read away is tried again only on later news of it.
        let tried = |id: &EndpointId| {
            let news = |t| self.endpoints[id].heard > Some(t);
            r.attempts.iter().any(|a| a.endpoint == *id && (a.open || a.missed_at.is_some_and(|t| !news(t))))
        };
        // The believed primary is no reader, unless its role has yet to be heard: it is asked like the rest.
        let unheard = |m: &EndpointState| m.role.is_none() && !m.listed_primary && !self.checks();
        let reads = |id: &EndpointId| Some(*id) != g.primary || unheard(&self.endpoints[id]);
        let open = |id: &&EndpointId| reads(id) && !tried(id) && self.takes(now, **id);
        let replicas = g.endpoints.iter().filter(open).map(|id| {
            let m = &self.endpoints[id];
            let near = if self.settings.zone.is_none_or(|z| z == m.zone) { 1.0 } else { FAR };
            (*id, near * m.units * self.warmth(now, m) / (m.slow * (1.0 + m.out.len() as f64)))
        });
        let (known, unknown): (Vec<_>, Vec<_>) =
            replicas.partition(|(id, _)| self.fresh(now, r, &self.endpoints[id]));
        if !known.is_empty() {
            return draw(&mut self.rng, &known);
        }
        // A driver that sends little has no recent answer from anyone. Reads that find a probe under way wait
        // for it too; each read waits once, and no longer than a probe of a sound member takes.
        let recent = |t: &Timestamp| now - *t < PROBE_WAIT;
        let probes = self.settings.may_probe == Some(true) && !self.checks();
        let probes = probes && r.kind.is_some_and(|k| k != Consistency::Strong);
        if probes && r.probed.as_ref().is_none_or(recent) && !unknown.is_empty() {
            let waits =
                unknown.iter().any(|(id, _)| self.endpoints[id].probed_at.as_ref().is_some_and(recent));
            if waits || r.probed.is_none() {
                self.requests.get_mut(&id)?.probed.get_or_insert(now);
                if !waits {
                    let endpoint = draw(&mut self.rng, &unknown)?;
                    let m = self.endpoints.get_mut(&endpoint)?;
                    m.probed_at = Some(now);
                    self.agenda.insert((now + PROBE_WAIT, Due::Pump(m.group)));
                    out.push(Action::Probe { endpoint });
                }
                return None;
            }
        }
        let primary = g.primary.filter(|p| !r.attempts.iter().any(|a| a.endpoint == *p && a.open))?;
        let m = self.endpoints.get(&primary)?;
        // Where members answer from whatever they hold, only one that is known to have been primary is safe.
        let proven = m.role == Some(true) || m.role.is_none() && (self.checks() || m.listed_primary);
        // Reads may take half of what the primary bears, none while it answers late or writes wait for it.
        let spare = m.window >= 1.0 && (m.out.len() as f64) < m.window / 2.0 && g.held[WRITES].is_empty();
        (proven && spare && self.takes(now, primary)).then_some(primary)
    }

    /// In service, not failing (a suspect is asked one thing at a time), with room and within its budget.
    fn takes(&self, now: Timestamp, id: EndpointId) -> bool {
        let m = &self.endpoints[&id];
        let room = (m.out.len() as f64) < m.window && (!m.suspect || m.out.is_empty());
        m.availability == Availability::Ready && room && now >= self.opens_at(now, m)
    }

    /// From when on a member may take more, as far as that is a matter of time: it is shunned, its cold
    /// budget fills, or a window below one leaves pauses, measured in usual latencies of the first class.
    fn opens_at(&self, now: Timestamp, m: &EndpointState) -> Timestamp {
        let usual = self.latency.first().filter(|_| m.window < 1.0);
        let rest = usual.map_or(TimeDelta::ZERO, |l| TimeDelta::from_micros_f64(l / m.window));
        let step = HOLD_TIMER / 8;
        let filling = self.allowance(now, m) < 1.0;
        let fills = if filling { now + step - (now - m.budget_at) % step } else { Timestamp::ZERO };
        (m.sent_at + rest).max(fills).max(m.shunned_until.unwrap_or(Timestamp::ZERO))
    }

    fn fresh(&self, now: Timestamp, r: &Request, m: &EndpointState) -> bool {
        let need = match r.kind {
            Some(Consistency::Session) => match r.commit {
                Some(commit) => commit + ROUNDING,
                None => return true,
            },
            Some(Consistency::Bounded) => {
                now - self.settings.classes[r.class].max_age.unwrap_or(TimeDelta::ZERO) + ROUNDING
            }
            Some(Consistency::Strong) | None => return false,
            _ => return true,
        };
        // One that trailed by seconds is believed to for as long: it catches up no faster than it applies.
        let believed = m.lag.clamp(HOLD_TIMER, HOLD_TIMER << MAX_DOUBLINGS);
        match m.position {
            Some(p) if p >= need => true,
            // Where a member turns stale reads away itself an estimate will do: a miss costs only time.
            Some(_) if self.checks() && m.heard.is_some_and(|t| now - t < believed) => now - m.lag >= need,
            // Not heard of lately: a read finds out, or nobody would ever learn that it has caught up.
            _ => self.checks(),
        }
    }

    /// The share of its full capacity that a member has for certain.
    fn warmth(&self, now: Timestamp, m: &EndpointState) -> f64 {
        let (Some(share), Some(span)) = (self.settings.cold_capacity, self.settings.warm_up) else {
            return 1.0;
        };
        let Some(started) = m.started_at else { return 1.0 };
        let age = (now - started).or_zero().as_micros_f64() / span.as_micros_f64().max(1.0);
        (share + (1.0 - share) * age).min(1.0)
    }

    // ---- attempts and answers ----

    fn take(&mut self, now: Timestamp, ask: &IncomingRequest, out: &mut Vec<Action>) {
        let &IncomingRequest {
            id, class, group, work_hint, last_commit_age, session, client_timeout, ..
        } = ask;
        if class >= self.settings.classes.len() {
            out.push(Action::Fail { id });
            return;
        }
        let c = &self.settings.classes[class];
        let stretch = c.latency_objective_per_work.unwrap_or(0.0)
            * work_hint.unwrap_or(TimeDelta::ZERO).as_micros_f64();
        let (latency_objective, deadline) =
            (c.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE), now + client_timeout.or_zero());
        let aim_at = now + latency_objective + TimeDelta::from_micros_f64(stretch);
        let present = matches!(c.consistency, None | Some(Consistency::Strong));
        let r = Request {
            class,
            kind: c.consistency,
            writes: c.consistency == Some(Consistency::Write) || present && self.checks(),
            latency_objective,
            group,
            arrived: now,
            aim_at,
            end: if c.late_priority_weight > Some(0.0) { deadline } else { aim_at.min(deadline) },
            deadline,
            commit: match self.settings.session_tracking {
                Some(SessionTracking::Remembered) => self.sessions.get(&session).copied().or(self.forgotten),
                _ => last_commit_age.map(|age| now - age),
            },
            session,
            ..Request::default()
        };
        // Looked at when it turns late, when hope ends, and at its deadline.
        let late = (aim_at - TimeDelta::from_micros_f64(self.latency[class])).min(self.last_call(&r));
        self.agenda.insert((late.clamp(now, deadline), Due::Guard(id)));
        self.requests.insert(id, r);
        self.route(now, id, out);
    }

    /// Sends a request where the mechanism says, or holds it.
    fn route(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let writes = self.requests[&id].writes;
        match if writes { self.pick_primary(now, id) } else { self.pick_reader(now, id, out) } {
            Some(endpoint) => self.send(now, id, endpoint, out),
            None if self.hopeless(now, id) => self.give_up(id, out),
            None => self.hold(now, id),
        }
    }

    fn hold(&mut self, now: Timestamp, id: RequestId) {
        self.release(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let late = now + TimeDelta::from_micros_f64(self.latency[r.class]) > r.aim_at;
        let rank = (late, if late { r.deadline } else { r.aim_at }, id);
        r.held = Some(rank);
        let (group, tried) = (r.group, !r.attempts.is_empty());
        self.groups.entry(group).or_default().held[usize::from(r.writes)].insert(rank);
        // Where few requests come, nothing else may happen to the group in time once a member opens.
        let opens = self.groups[&group].endpoints.iter().map(|id| self.opens_at(now, &self.endpoints[id]));
        self.agenda.extend(opens.filter(|at| *at > now).min().map(|at| (at, Due::Pump(group))));
        // Its guard may have been left to the deadline while an attempt was out.
        let last = self.last_call(&self.requests[&id]);
        self.agenda.extend(tried.then_some((last, Due::Guard(id))));
    }

    fn release(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let (Some(rank), Some(g)) = (r.held.take(), self.groups.get_mut(&r.group)) {
            g.held[usize::from(r.writes)].remove(&rank);
        }
    }

    /// A new read behind too many others is refused at once: a retry still finds time, those held too.
    fn hopeless(&self, now: Timestamp, id: RequestId) -> bool {
        let r = &self.requests[&id];
        let new = !r.writes && r.arrived == now && r.attempts.is_empty() && r.probed.is_none();
        let Some(g) = self.groups.get(&r.group).filter(|_| new) else { return false };
        let spare = (r.aim_at.min(r.deadline) - now).as_micros_f64() - self.latency[r.class];
        g.held[READS].len() as f64 / g.rate.per_us(now, self.span).max(f64::MIN_POSITIVE) > spare / 4.0
    }

    fn send(&mut self, now: Timestamp, id: RequestId, endpoint: EndpointId, out: &mut Vec<Action>) {
        self.release(id);
        let has = self.endpoints.get(&endpoint).map_or(0.0, |m| self.allowance(now, m));
        // The budget is one of work: a light class uses less of it than the heaviest.
        let heaviest = self.latency.iter().copied().fold(1.0, f64::max);
        let (Some(r), Some(m)) = (self.requests.get_mut(&id), self.endpoints.get_mut(&endpoint)) else {
            return;
        };
        let number = r.attempts.len() as u8;
        let overtaken_at = m.answered + m.out.len() as u64 + OVERTAKEN;
        let attempt =
            Attempt { endpoint, sent: now, open: true, written: true, overtaken_at, missed_at: None };
        r.attempts.push(attempt);
        m.out.insert((id, number), now);
        (m.gap, m.sent_at) = (now - m.sent_at, now);
        (m.budget, m.budget_at) = (has - self.latency[r.class] / heaviest, now);
        self.groups.entry(r.group).or_default().rate.add(now, self.span);
        self.agenda.insert((now + r.latency_objective / 2, Due::Check(id, number)));
        let usual = self.latency[r.class] * m.slow.max(1.0);
        self.agenda.insert((now + TimeDelta::from_micros_f64(usual * LOST), Due::Lost(id, number)));
        out.push(Action::Send { id, endpoint, stop_at: None });
    }

    fn settled(&mut self, now: Timestamp, end: &AttemptFinished, out: &mut Vec<Action>) {
        let &AttemptFinished { id, attempt, endpoint, took, outcome, finished, replica_status, .. } = end;
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        m.out.remove(&(id, attempt));
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Misdirected) {
            (m.strikes, m.errors) = (0, 0);
            m.answered += 1;
        }
        let (class, erred) = self.requests.get(&id).map_or((None, false), |r| (Some(r.class), r.errors > 0));
        let a = self.requests.get(&id).and_then(|r| r.attempts.get(usize::from(attempt)));
        let overtaken = a.is_some_and(|a| m.answered >= a.overtaken_at);
        match outcome {
            // Its member is well: it was the connection that fell silent.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if overtaken => {}
            AttemptOutcome::Served | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                if let Some(class) = class {
                    self.measure(now, class, endpoint, took, outcome == AttemptOutcome::Served);
                }
            }
            // Errors between good answers, or on what erred elsewhere, follow the request, key or tenant.
            AttemptOutcome::Error if erred || m.errors + 1 < ERRORS => m.errors += u32::from(!erred),
            // One broken connection says little of its member: if that is down, the next attempt finds none.
            AttemptOutcome::Reset if m.errors + 1 < ERRORS => m.errors += 1,
            AttemptOutcome::Overloaded | AttemptOutcome::Error => {
                self.shrink(now, endpoint, class.map(|c| self.latency[c]));
                self.shun(
                    now,
                    endpoint,
                    class.map_or(HOLD_TIMER, |c| TimeDelta::from_micros_f64(self.latency[c])),
                );
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                m.unreachable = true;
                self.shun(now, endpoint, HOLD_TIMER);
            }
            _ => {}
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(a) = r.attempts.get_mut(usize::from(attempt)) {
            (a.open, a.written) = (false, outcome != AttemptOutcome::ConnectFailed);
            a.missed_at = (outcome != AttemptOutcome::Overloaded).then_some(now);
            if outcome.may_have_run() {
                r.first_ran = Some(r.first_ran.map_or(a.sent, |t| t.min(a.sent)));
            }
            r.errors += u32::from(outcome == AttemptOutcome::Error);
        }
        if finished {
            let remembers = r.writes && self.settings.session_tracking == Some(SessionTracking::Remembered);
            if let (AttemptOutcome::Served, Some(replica_status), true) = (outcome, replica_status, remembers)
            {
                let zero = self.settings.zero.unwrap_or(Timestamp::ZERO);
                let (session, commit) = (r.session, replica_status.position.commit_time(zero));
                self.remember(session, commit);
            }
            self.finish(id, out);
            return;
        }
        if r.attempts.iter().any(|a| a.open) {
            return;
        }
        if !self.may_resend(now, id) || outcome == AttemptOutcome::NotSent {
            self.give_up(id, out);
        } else if outcome == AttemptOutcome::Overloaded {
            self.hold(now, id);
        } else {
            self.route(now, id, out);
        }
    }

    /// Smooths latencies and moves the member's window: up while answers are well in time, down when late.
    fn measure(&mut self, now: Timestamp, class: usize, endpoint: EndpointId, took: TimeDelta, served: bool) {
        let latency_objective =
            self.settings.classes[class].latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        let ratio = took.as_micros_f64() / self.latency[class].max(1.0);
        if served || ratio > m.slow {
            m.slow = (m.slow + (ratio.min(20.0) - m.slow) * SMOOTHING).max(0.05);
        }
        if served {
            self.latency[class] += (took.as_micros_f64() - self.latency[class]) * SMOOTHING / 4.0;
            if took < latency_objective / 3 && (m.out.len() + 1) as f64 > m.window / 2.0 {
                m.window += m.window.min(1.0 / m.window);
            }
            self.served.add(now, self.span * 4);
            let each = self.served.per_us(now, self.span * 4) / self.units.max(0.01);
            self.peak = self.peak.max(each);
        }
        if took > latency_objective * 2 / 3 {
            self.shrink(now, endpoint, (!served).then_some(self.latency[class]));
        }
    }

    /// Closes the window against what was in use: after an attempt that was not served (`unserved`: the usual
    /// latency) against the share of time in use. Its member is buried in work that nobody waits for.
    fn shrink(&mut self, now: Timestamp, endpoint: EndpointId, unserved: Option<f64>) {
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        if now - m.shrunk_at > HOLD_TIMER / 2 {
            let share =
                unserved.filter(|_| m.out.is_empty()).map(|usual| usual / m.gap.as_micros_f64().max(1.0));
            let used = (m.out.len() + 1) as f64 * share.unwrap_or(1.0).min(1.0);
            m.window = (m.window.min(used) * SHRINK).max(self.least);
            m.shrunk_at = now;
        }
    }

    /// The final answer at once: a refusal where trying again is harmless, else a failure.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let c = &self.settings.classes[r.class];
        let ran = r.first_ran.is_some() || r.attempts.iter().any(|a| a.open);
        let keyed = c.idempotency == Some(Idempotency::Keyed) && c.key_scope == Some(KeyScope::AllEndpoints);
        if !ran || keyed || c.idempotency == Some(Idempotency::Idempotent) {
            // What is in the way outlasts a service time: who comes back at once meets it again.
            let wait =
                (HINT * r.latency_objective).min(self.settings.max_retry_after.unwrap_or(TimeDelta::MAX));
            let retry_after = (self.settings.may_send_retry_after == Some(true)).then_some(wait);
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.finish(id, out);
    }

    /// A request is over: what is still out for it is called off.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.release(id);
        let Some(r) = self.requests.remove(&id) else { return };
        if self.settings.may_cancel == Some(true) {
            let open = r.attempts.iter().enumerate().filter(|(_, a)| a.open);
            out.extend(open.map(|(n, _)| Action::Cancel { id, attempt: n as u8 }));
        }
        let g = self.groups.entry(r.group).or_default();
        g.scout = g.scout.filter(|s| *s != id);
        self.dirty.insert(r.group);
    }

    /// Tries what is held again, in the order of its rank. Writes all want the same member, so the first that
    /// finds no room ends it; reads differ in what is fresh enough for them, so a few are tried.
    fn pump(&mut self, now: Timestamp, group: GroupId, out: &mut Vec<Action>) {
        for (held, mut tries) in [(WRITES, 1), (READS, TRIES)] {
            let mut after = None;
            while tries > 0 {
                let Some(g) = self.groups.get_mut(&group) else { return };
                let from = after.map_or(Bound::Unbounded, Bound::Excluded);
                let Some(&rank) = g.held[held].range((from, Bound::Unbounded)).next() else { break };
                after = Some(rank);
                let (.., id) = rank;
                if self.may_resend(now, id) {
                    self.route(now, id, out);
                } else {
                    self.give_up(id, out);
                }
                tries -= usize::from(self.requests.get(&id).is_some_and(|r| r.held.is_some()));
            }
        }
    }

    // ---- guards ----

    /// Whether another attempt is allowed.
    fn may_resend(&self, now: Timestamp, id: RequestId) -> bool {
        let r = &self.requests[&id];
        self.may_repeat(now, r, r.first_ran)
    }

    /// The same where the first attempt that may have run was sent at `ran`: rule 2, attempt limit, deadline.
    fn may_repeat(&self, now: Timestamp, r: &Request, ran: Option<Timestamp>) -> bool {
        let c = &self.settings.classes[r.class];
        let harmless = match (c.idempotency.unwrap_or(Idempotency::NonIdempotent), ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            // Where a key is known in one zone only, the group's next primary may stand in another.
            (Idempotency::Keyed, Some(_)) if c.key_scope == Some(KeyScope::Zone) => false,
            (Idempotency::Keyed, Some(first)) => {
                now < first + c.key_window.unwrap_or(TimeDelta::ZERO) - ROUNDING
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        let left = (r.attempts.len() as u32) < self.settings.max_attempts.unwrap_or(ATTEMPTS);
        harmless && left && now < r.end && !r.streaming && r.errors < BAD
    }

    /// A cold member falls over when all drivers together send it too much. Each gives it the most answers
    /// that it saw come from a member of its size, less than such a one bears, times its warmth and the
    /// multiple. With many drivers that is less than one send in a warm-up: each starts at its own point, and
    /// a saved-up send lapses after what counts as chance, 2 root of N + 2, or most of the time between two
    /// requests for the group. What was sent just now is no pace: where all are cold it follows demand.
    fn allowance(&self, now: Timestamp, m: &EndpointState) -> f64 {
        let warmth = self.warmth(now, m);
        let (Some(multiple), true) = (self.settings.overload_multiple, warmth < 1.0) else { return f64::MAX };
        let rate = self.peak * m.units * warmth * multiple * BUDGET;
        let (saved, most) =
            (m.budget + rate * (now - m.budget_at).as_micros_f64(), rate * self.span.as_micros_f64() / 4.0);
        let bears = most * 4.0 * LEAST_TOGETHER / (self.least * BUDGET);
        let kept = most * (1.0 + 4.0 * (2.0 / bears.sqrt() + 2.0 / bears) / BUDGET);
        let endpoints = self.groups.get(&m.group).map_or(1, |g| g.endpoints.len()) as f64;
        let kept = kept.max(warmth * multiple * BUDGET * BUDGET / endpoints);
        let lapsing = saved.fract() + f64::from(u8::from(saved.fract() <= kept));
        if saved >= 1.0 && most < 1.0 { lapsing } else { saved.min(most.max(1.0)) }
    }

    fn due(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(&(at, due)) = self.agenda.first()
            && at <= now
        {
            self.agenda.pop_first();
            match due {
                Due::Subscribe => out.push(Action::Subscribe { on: true }),
                Due::Group(group) => self.group_timer(now, group, out),
                Due::Pump(group) => drop(self.dirty.insert(group)),
                Due::Guard(id) => self.guard(now, id, out),
                Due::Check(id, attempt) => self.check(id, attempt),
                Due::Lost(id, attempt) => self.lost(now, id, attempt, out),
            }
        }
    }

    /// Until when a request is held: an answer would still be worth something, and where no member has had
    /// it at all, its client has half of its time left for another way.
    fn last_call(&self, r: &Request) -> Timestamp {
        let last = r.end - TimeDelta::from_micros_f64(self.latency[r.class]);
        let half = r.arrived.midpoint(r.deadline) - WAY_OUT;
        if r.attempts.iter().any(|a| a.written) { last } else { last.min(half) }.max(r.arrived)
    }

    /// The deadline of a request: a held one is given up when hope is gone, any other at the very end.
    fn guard(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        let last = self.last_call(r);
        let at = if r.attempts.iter().any(|a| a.open) { r.deadline } else { last };
        if now >= at {
            return self.give_up(id, out);
        }
        self.agenda.insert((at, Due::Guard(id)));
        if r.held.is_some() {
            self.hold(now, id);
        }
    }

    /// An attempt on a connection that fell silent, its member answering others, is called off and repeated.
    fn lost(&mut self, now: Timestamp, id: RequestId, attempt: u8, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.moved) else { return };
        let Some(a) = r.attempts.get(usize::from(attempt)).filter(|a| a.open) else { return };
        let usual = TimeDelta::from_micros_f64(self.latency[r.class]);
        let c = &self.settings.classes[r.class];
        let known = c.idempotency == Some(Idempotency::Idempotent)
            || now < a.sent + c.key_window.unwrap_or(TimeDelta::ZERO) / 2;
        let again = known && self.may_repeat(now + usual, r, r.first_ran.or(Some(a.sent)));
        if !again || self.settings.may_cancel != Some(true) {
            return;
        }
        if self.endpoints.get(&a.endpoint).is_some_and(|m| m.answered >= a.overtaken_at) {
            self.requests.entry(id).and_modify(|r| r.moved = true);
            out.push(Action::Cancel { id, attempt });
        } else {
            self.agenda.insert((now + usual.max(ROUNDING), Due::Lost(id, attempt)));
        }
    }

    /// An attempt is overdue, not the first at its member, which has been silent since: it is suspect, and
    /// nothing new goes there. What is out stays: copies and moves add work where all members are slow.
    fn check(&mut self, id: RequestId, attempt: u8) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        let Some(a) = r.attempts.get(usize::from(attempt)).filter(|a| a.open) else { return };
        let (sent, Some(m)) = (a.sent, self.endpoints.get_mut(&a.endpoint)) else { return };
        let overdue = m.out.values().filter(|s| **s <= sent).count();
        if m.heard < Some(sent) && overdue >= 2 && !m.suspect {
            m.suspect = true;
            self.dirty.insert(m.group);
        }
    }
}
