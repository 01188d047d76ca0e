//! A driver's bench in miniature for the tests: one router, a group of members, and what it asked for.
#![allow(dead_code)]

use brookpass::Router;
use brookpass::routing::*;

pub const MS: TimeDelta = TimeDelta::from_millis(1);
/// Age of data that does not trail.
pub const FRESH: TimeDelta = TimeDelta::ZERO;
pub const READ: usize = 0;
pub const OWN: usize = 1;
pub const WRITE: usize = 2;
pub const ANY: usize = 3;

pub struct Rig {
    pub router: Router,
    pub now: Timestamp,
    pub log: Vec<Action>,
    /// How long members take to answer.
    pub took: TimeDelta,
    next: RequestId,
}

pub fn member(n: u8) -> EndpointId {
    EndpointId { ip: [10, 0, 0, n], port: 5432 }
}

fn class(consistency: Consistency, repeat: Repeat) -> Class {
    Class {
        aim: Some(500 * MS),
        deadline: Some(5_000 * MS),
        worth: Some(1.0),
        late_worth: Some(0.5),
        repeat: Some(repeat),
        key_group: Some(KeyGroup::Cell),
        key_window: Some(3_000 * MS),
        consistency: Some(consistency),
        max_age: Some(300 * MS),
        ..Class::default()
    }
}

/// Four classes: a bounded read, a session read, an unsafe write, an eventual read.
pub fn settings() -> Settings {
    Settings {
        drivers: Some(3),
        classes: vec![
            class(Consistency::Bounded, Repeat::Safe),
            class(Consistency::Session, Repeat::Safe),
            class(Consistency::Write, Repeat::Unsafe),
            class(Consistency::Eventual, Repeat::Safe),
        ],
        second_copies: Some(true),
        may_cancel: Some(true),
        retry_after: Some(true),
        max_retry_after: Some(2_000 * MS),
        max_attempts: Some(8),
        cold_share: Some(0.16),
        warm_up: Some(15_000 * MS),
        fall_multiple: Some(2.5),
        tip_after: Some(3_000 * MS),
        behind: Some(Behind::Answers),
        session_marks: Some(SessionMarks::Carried),
        zero: Some(Timestamp::ZERO),
        report_fields: vec!["x0".into(), "x1".into()],
        ..Settings::default()
    }
}

pub fn entry(n: u8) -> Entry {
    Entry {
        member: member(n),
        zone: ZoneId(0),
        group: GroupId(1),
        availability: Availability::Ready,
        primary: false,
        units: 1.0,
        started_at: None,
    }
}

impl Rig {
    /// A router with a group of `members`, the first of them named primary by the list.
    pub fn new(settings: Settings, members: u8) -> Rig {
        Rig::seeded(settings, members, 1)
    }

    pub fn seeded(settings: Settings, members: u8, seed: u64) -> Rig {
        let mut rig = Rig {
            router: Router::new(settings, seed),
            now: Timestamp::ZERO + 10_000 * MS,
            log: Vec::new(),
            took: 20 * MS,
            next: RequestId(1),
        };
        let entries = (1..=members).map(|n| Entry { primary: n == 1, ..entry(n) }).collect();
        rig.list(ListKind::Full, entries);
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        self.log.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::Members { kind, entries })
    }

    /// Lets time pass, with every timer handed back when due.
    pub fn pass(&mut self, span: TimeDelta) -> Vec<Action> {
        let (end, from) = (self.now + span, self.log.len());
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            self.event(Event::Wake { timer: 0 });
        }
        self.log[from..].to_vec()
    }

    /// A request of `class` with the client waiting `patience`; its number and what was done.
    pub fn ask(
        &mut self,
        class: usize,
        patience: TimeDelta,
        token_age: Option<TimeDelta>,
    ) -> (RequestId, Vec<Action>) {
        let id = self.next;
        self.next.0 += 1;
        let ask = Ask { id, class, group: GroupId(1), token_age, session: 7, patience, ..Ask::default() };
        (id, self.event(Event::Request(ask)))
    }

    /// Ends an attempt. `role`: the member says that it is the primary; `age`: how far its data trails.
    pub fn answer(
        &mut self,
        id: RequestId,
        attempt: u8,
        from: u8,
        outcome: Outcome,
        role: Option<bool>,
        age: TimeDelta,
    ) -> Vec<Action> {
        let position = LogPosition::of_commit(self.now - age, Timestamp::ZERO);
        let mark = role.map(|primary| Mark { primary, position });
        self.event(Event::Settled(Settled {
            id,
            attempt,
            member: member(from),
            took: self.took,
            outcome,
            finished: outcome == Outcome::Ok,
            mark,
            report: Report::default(),
        }))
    }

    /// Asks `count` requests of `class`, each answered after 10 ms by where it went; those members.
    pub fn serve(&mut self, class: usize, count: usize) -> Vec<EndpointId> {
        let one = |_| {
            let (id, sent) = self.ask(class, 2_000 * MS, None);
            let to = sends(&sent, id)[0];
            self.pass(10 * MS);
            self.answer(id, 0, to.ip[3], Outcome::Ok, Some(to == member(1)), FRESH);
            to
        };
        (0..count).map(one).collect()
    }

    /// Makes member `n` known by a probe's report: its role, and data `age` old.
    pub fn introduce(&mut self, n: u8, primary: bool, age: TimeDelta) {
        let report = Report {
            count: 2,
            values: [(self.now - age).as_secs_f64(), f64::from(u8::from(primary)), 0.0, 0.0],
        };
        self.event(Event::Probed { member: member(n), ok: true, took: MS, report });
    }
}

/// The members that `actions` send `id` to.
pub fn sends(actions: &[Action], id: RequestId) -> Vec<EndpointId> {
    let to = |a: &Action| match a {
        Action::Send { id: i, member, .. } if *i == id => Some(*member),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i } if *i == id))
}
