//! Every decision of the router, read from top to bottom: learn, write path, read path, attempts and
//! answers, guards. The types it speaks (settings, events, actions) are in `src/routing/mod.rs`.
//!
//! The ordinary path is the mechanism of the RFT paper as `docs/design.md` lays it out: a believed
//! primary for each group, a ring of its other members in sorted order, holding of writes after a

use super::decayed_rate::Rate;
use super::endpoints::EndpointState;
use super::group::Group;
use super::request::Request;
use super::timers::Due;
use super::*;
use crate::primary_hint::PrimaryHint;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The design's half-second timer; also the shortest time for which a member that failed is left alone.
pub(super) const HOLD_TIMER: TimeDelta = TimeDelta::from_millis(500);
/// Doublings at most of a back-off: 8 s, about as long as a member takes to come back.
pub(super) const MAX_DOUBLINGS: u32 = 4;
/// Weight of a new sample in smoothed latencies: some ten answers make up a member's figure.
pub(super) const SMOOTHING: f64 = 0.1;
/// Attempts that all drivers together keep at a member at least, or it could not be seen to recover.
pub(super) const LEAST_TOGETHER: f64 = 3.0;
/// A driver's first window against its least, before it has seen how the member bears it; one at least.
pub(super) const FIRST_WINDOW: f64 = 8.0;
/// A window shrinks by this factor when answers come late or the member says it is full.
pub(super) const SHRINK: f64 = 0.5;
/// Latency assumed for a class before its first answer, as a share of its aim.
pub(super) const FIRST_LATENCY: f64 = 0.25;
/// Positions are told in whole milliseconds, rounded down.
pub(super) const ROUNDING: TimeDelta = TimeDelta::from_millis(1);
/// Errors with no good answer between that are laid to the member: fewer follow a request, key or tenant.
pub(super) const ERRORS: u32 = 3;
/// Errors after which a request is given up.
pub(super) const BAD: u32 = 2;
/// A read waits so long for a probe: some ten round trips between zones.
pub(super) const PROBE_WAIT: TimeDelta = TimeDelta::from_millis(50);
/// Held requests that are looked at for one event, if none finds room.
pub(super) const TRIES: usize = 4;
/// Share of the cold budget that is used: drivers' most at different times adds up, and sends come by chance.
pub(super) const BUDGET: f64 = 0.8;
/// Clients are asked to come back after so many aims of the class: crowds and failovers last that long.
pub(super) const HINT: i64 = 4;
/// A member that is gone and has not answered for so long is forgotten.
pub(super) const FORGET: TimeDelta = TimeDelta::from_secs(30);
/// Sessions whose last commit is remembered one by one.
pub(super) const SESSIONS: usize = 50_000;
/// An attempt is taken for lost after so many usual latencies, when its member has answered so many that were
/// sent after it: long work is overtaken too, but seldom by as much.
pub(super) const LOST: f64 = 8.0;
pub(super) const OVERTAKEN: u64 = 16;
/// An answer needs so long at the most from here to the client.
pub(super) const WAY_OUT: TimeDelta = TimeDelta::from_millis(15);
/// Weight in the draw of a member in another zone, against one in this driver's own.
pub(super) const FAR: f64 = 0.6;
/// Aim of a class and attempts for a request where the settings do not say.
pub(super) const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
pub(super) const ATTEMPTS: u32 = 4;

/// The decisions of one driver.
#[derive(Default)]
pub struct Router {
    pub(super) settings: Settings,
    /// Rates are taken over this long: the time in which a cold member falls over.
    pub(super) span: TimeDelta,
    /// The least window: this driver's part of `LEAST_TOGETHER`.
    pub(super) least: f64,
    pub(super) rng: Rng,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Smoothed latency of each class over all members.
    pub(super) latency: Vec<f64>,
    /// Last commit seen for each session, where the router must remember them.
    pub(super) sessions: BTreeMap<u64, Timestamp>,
    /// The last commit of any session that is remembered no more.
    pub(super) forgotten: Option<Timestamp>,
    /// Good answers, the size of all members, and the most that one unit of it has given, per microsecond.
    pub(super) served: Rate,
    pub(super) units: f64,
    pub(super) peak: f64,
    pub(super) agenda: BTreeSet<(Timestamp, Due)>,
    pub(super) armed: Option<Timestamp>,
    pub(super) dirty: BTreeSet<GroupId>,
    pub(super) greeted: bool,
    pub(super) list_failures: u32,
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

    /// How many members, groups, requests and sessions it keeps.
    pub fn kept(&self) -> [usize; 4] {
        [self.endpoints.len(), self.groups.len(), self.requests.len(), self.sessions.len()]
    }
}
