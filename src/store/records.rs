//! What stands on the disk and goes between daemons: serde forms of our own.
//!
//! The consensus library keeps its messages in protobuf types. They are made here from parts that were read in
//! our own form; bytes from a socket or a disk are never parsed by protobuf.

use crate::engine::endpoints::EndpointRecord;
use crate::ids::NodeId;
use crate::ids::{GroupId, ZoneId};
use crate::routing::Availability;
use crate::time::Timestamp;
use raft::eraftpb::{self, ConfChangeType, EntryType, MessageType};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A fleet's identity.
pub type FleetId = u128;

/// Bytes of a value, a check sum before them.
pub fn write<T: Serialize>(value: &T) -> Vec<u8> {
    // Our own types have nothing that this form cannot hold.
    let body = postcard::to_allocvec(value).unwrap_or_default();
    let mut out = crc32fast::hash(&body).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// The body of what was written, if it is whole.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let (sum, body) = bytes.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*sum) == crc32fast::hash(body)).then_some(body)
}

/// The value that all of a body makes.
fn value<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

/// A value from its bytes; `None` where they are not whole, changed or of another form.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    value(body(bytes)?)
}

/// A value from bytes that an earlier version wrote, whose form ended before `missing`.
pub fn read_earlier<T: DeserializeOwned>(bytes: &[u8], missing: &[u8]) -> Option<T> {
    value(&[body(bytes)?, missing].concat())
}

/// A host as the agreed inventory has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its size against others.
    pub weight: f64,
    /// The inventory itself says that it leaves.
    pub leaving: bool,
    /// When it last started.
    pub started_at: Option<Timestamp>,
}

impl HostRecord {
    /// Of a line of a list.
    pub fn of(listed: &EndpointRecord) -> HostRecord {
        HostRecord {
            address: listed.address,
            group: listed.group,
            zone: listed.zone,
            weight: listed.weight,
            leaving: listed.availability != Availability::Ready,
            started_at: listed.started_at,
        }
    }

    /// As a line of a list.
    pub fn listed(&self, name: &str, drained: bool) -> EndpointRecord {
        let closed = drained || self.leaving;
        EndpointRecord {
            name: name.to_string(),
            address: self.address,
            zone: self.zone,
            group: self.group,
            availability: if closed { Availability::Draining } else { Availability::Ready },
            primary: false,
            weight: self.weight,
            started_at: self.started_at,
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place.
    pub index: u64,
    /// The term in which it was made.
    pub term: u64,
    /// 0: a change of the state; 2: a change of the membership.
    pub kind: u8,
    /// The change, in our form; empty: nothing.
    pub bytes: Vec<u8>,
}

/// What a daemon must not forget of the votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The term.
    pub term: u64,
    /// Who got its vote in this term; 0: nobody.
    pub vote: NodeId,
    /// How far the log is agreed.
    pub commit: u64,
}

/// Who has a say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conf {
    /// Whose majority agrees.
    pub voters: Vec<NodeId>,
    /// Who only follows.
    pub learners: Vec<NodeId>,
    /// The voters before a change that goes on.
    pub voters_outgoing: Vec<NodeId>,
    /// Who is to follow after it.
    pub learners_next: Vec<NodeId>,
    /// The change ends by itself.
    pub auto_leave: bool,
}

/// The whole state at a point of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The membership there.
    pub conf: Conf,
    /// The state, in our form.
    pub state: Vec<u8>,
}

/// A message of the consensus, from one daemon to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    pub(super) kind: u8,
    /// To whom.
    pub to: NodeId,
    /// From whom.
    pub from: NodeId,
    /// The sender's term.
    pub term: u64,
    pub(super) log_term: u64,
    /// What it is about.
    pub index: u64,
    pub(super) entries: Vec<LogEntry>,
    /// How far the sender knows the log to be agreed.
    pub commit: u64,
    pub(super) commit_term: u64,
    pub(super) snapshot: Option<SnapshotRecord>,
    pub(super) request_snapshot: u64,
    /// It says no.
    pub reject: bool,
    pub(super) reject_hint: u64,
    pub(super) context: Vec<u8>,
    pub(super) priority: i64,
}

/// Messages that go between daemons. All others are a daemon's own: from a socket they are out of form.
const KINDS: [(u8, MessageType); 13] = [
    (3, MessageType::MsgAppend),
    (4, MessageType::MsgAppendResponse),
    (5, MessageType::MsgRequestVote),
    (6, MessageType::MsgRequestVoteResponse),
    (7, MessageType::MsgSnapshot),
    (8, MessageType::MsgHeartbeat),
    (9, MessageType::MsgHeartbeatResponse),
    (13, MessageType::MsgTransferLeader),
    (14, MessageType::MsgTimeoutNow),
    (15, MessageType::MsgReadIndex),
    (16, MessageType::MsgReadIndexResp),
    (17, MessageType::MsgRequestPreVote),
    (18, MessageType::MsgRequestPreVoteResponse),
];

impl Letter {
    /// Of the library's message; `None` for one that stays in the daemon.
    pub fn of(mut m: eraftpb::Message) -> Option<Letter> {
        let kind = KINDS.iter().find(|(_, t)| *t == m.msg_type)?.0;
        let entries = m.take_entries().into_iter().map(LogEntry::of).collect();
        let snapshot = (m.has_snapshot() && !m.get_snapshot().get_metadata().index.eq(&0))
            .then(|| SnapshotRecord::of(m.get_snapshot()));
        Some(Letter {
            kind,
            to: NodeId(m.to),
            from: NodeId(m.from),
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries,
            commit: m.commit,
            commit_term: m.commit_term,
            snapshot,
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        })
    }

    /// As the library wants it; `None` where it is of no kind that goes between daemons.
    pub fn message(self) -> Option<eraftpb::Message> {
        let kind = KINDS.iter().find(|(k, _)| *k == self.kind)?.1;
        let mut m = eraftpb::Message::default();
        m.set_msg_type(kind);
        (m.to, m.from, m.term, m.log_term, m.index) =
            (self.to.0, self.from.0, self.term, self.log_term, self.index);
        (m.commit, m.commit_term, m.request_snapshot) =
            (self.commit, self.commit_term, self.request_snapshot);
        (m.reject, m.reject_hint, m.priority) = (self.reject, self.reject_hint, self.priority);
        m.context = self.context.into();
        m.set_entries(self.entries.into_iter().map(LogEntry::entry).collect::<Option<Vec<_>>>()?.into());
        if let Some(snapshot) = self.snapshot {
            m.set_snapshot(snapshot.snapshot());
        }
        // What the library needs and would otherwise end the daemon for.
        let told = kind == MessageType::MsgSnapshot && m.get_snapshot().get_metadata().index > 0;
        (told == (kind == MessageType::MsgSnapshot)).then_some(m)
    }

    /// Whether it carries a whole state.
    pub fn carries_state(&self) -> bool {
        self.snapshot.is_some()
    }

    /// The term that the sender is in for certain: it stands on its disk. A first question before an election
    /// names a term that nobody is in yet.
    pub fn promised(&self) -> Option<u64> {
        matches!(self.kind, 3..=6 | 8 | 9).then_some(self.term)
    }

    /// The last entry that it says the sender holds for certain: an append that was taken.
    pub fn acknowledged(&self) -> Option<u64> {
        (self.kind == 4 && !self.reject).then_some(self.index)
    }
}

impl LogEntry {
    /// Of the library's entry. A change of the membership keeps our form of it in the context.
    pub fn of(e: eraftpb::Entry) -> LogEntry {
        let member = e.entry_type != EntryType::EntryNormal;
        LogEntry {
            index: e.index,
            term: e.term,
            kind: if member { 2 } else { 0 },
            bytes: if member { e.context.to_vec() } else { e.data.to_vec() },
        }
    }

    /// As the library wants it. The library's own form of a change of the membership is left out: nobody reads
    /// it after it was proposed.
    pub fn entry(self) -> Option<eraftpb::Entry> {
        let mut e = eraftpb::Entry { index: self.index, term: self.term, ..Default::default() };
        match self.kind {
            0 => e.data = self.bytes.into(),
            2 => {
                e.set_entry_type(EntryType::EntryConfChangeV2);
                e.context = self.bytes.into();
            }
            _ => return None,
        }
        Some(e)
    }
}

impl Conf {
    /// Of the library's.
    pub fn of(c: &eraftpb::ConfState) -> Conf {
        // The library keeps sets: in order they are alike at all daemons.
        let sorted = |ids: &[u64]| {
            let mut ids: Vec<NodeId> = ids.iter().copied().map(NodeId).collect();
            ids.sort_unstable();
            ids
        };
        Conf {
            voters: sorted(&c.voters),
            learners: sorted(&c.learners),
            voters_outgoing: sorted(&c.voters_outgoing),
            learners_next: sorted(&c.learners_next),
            auto_leave: c.auto_leave,
        }
    }

    /// As the library wants it.
    pub fn state(&self) -> eraftpb::ConfState {
        let numbers = |ids: &[NodeId]| ids.iter().map(|id| id.0).collect::<Vec<u64>>();
        let mut c = eraftpb::ConfState::default();
        c.set_voters(numbers(&self.voters));
        c.set_learners(numbers(&self.learners));
        c.set_voters_outgoing(numbers(&self.voters_outgoing));
        c.set_learners_next(numbers(&self.learners_next));
        c.auto_leave = self.auto_leave;
        c
    }
}

impl SnapshotRecord {
    /// Of the library's.
    pub fn of(s: &eraftpb::Snapshot) -> SnapshotRecord {
        let meta = s.get_metadata();
        SnapshotRecord {
            index: meta.index,
            term: meta.term,
            conf: Conf::of(meta.get_conf_state()),
            state: s.data.to_vec(),
        }
    }

    /// As the library wants it.
    pub fn snapshot(&self) -> eraftpb::Snapshot {
        let mut s = eraftpb::Snapshot { data: self.state.clone().into(), ..Default::default() };
        let meta = s.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(self.conf.state());
        s
    }
}

/// One step of a change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// It is to vote.
    Vote(NodeId),
    /// It is to follow only.
    Follow(NodeId),
    /// It is to go.
    Remove(NodeId),
}

impl Step {
    /// As the library wants it.
    pub fn single(self) -> eraftpb::ConfChangeSingle {
        let (kind, id) = match self {
            Step::Vote(id) => (ConfChangeType::AddNode, id),
            Step::Follow(id) => (ConfChangeType::AddLearnerNode, id),
            Step::Remove(id) => (ConfChangeType::RemoveNode, id),
        };
        let mut single = eraftpb::ConfChangeSingle { node_id: id.0, ..Default::default() };
        single.set_change_type(kind);
        single
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against bytes that were changed or cut short and are believed.
    #[test]
    fn a_value_that_was_changed_in_any_byte_is_no_value() {
        let value = LogEntry { index: 7, term: 3, kind: 0, bytes: b"drain".to_vec() };
        let bytes = write(&value);
        assert_eq!(read::<LogEntry>(&bytes), Some(value));
        for n in 0..bytes.len() {
            assert_eq!(read::<LogEntry>(&bytes[..n]), None, "{n} bytes");
            let mut changed = bytes.clone();
            changed[n] ^= 0x10;
            assert_eq!(read::<LogEntry>(&changed), None, "byte {n}");
        }
        assert_eq!(read::<LogEntry>(&[&bytes[..], &[0]].concat()), None);
    }

    /// Guards against a message that a peer may not send: the library would parse a proposal's bytes.
    #[test]
    fn only_messages_that_go_between_daemons_are_made() {
        for kind in 0..=u8::MAX {
            let letter = Letter { kind, to: NodeId(1), from: NodeId(2), ..Letter::default() };
            let known = KINDS.iter().any(|(k, _)| *k == kind) && kind != 7;
            assert_eq!(letter.message().is_some(), known, "{kind}");
        }
    }

    #[test]
    fn a_message_keeps_all_that_counts_on_its_way() {
        let entry = LogEntry { index: 6, term: 3, kind: 2, bytes: vec![1, 2] };
        let conf = Conf { voters: vec![NodeId(1), NodeId(2)], learners: vec![NodeId(3)], ..Conf::default() };
        let snapshot = SnapshotRecord { index: 5, term: 2, conf, state: vec![9] };
        for (kind, snapshot) in [(3, None), (7, Some(snapshot))] {
            let letter = Letter {
                kind,
                to: NodeId(1),
                from: NodeId(2),
                term: 3,
                log_term: 2,
                index: 5,
                entries: vec![entry.clone()],
                commit: 4,
                snapshot,
                reject: true,
                reject_hint: 8,
                context: vec![7],
                ..Letter::default()
            };
            assert_eq!(Letter::of(letter.clone().message().unwrap()), Some(letter));
        }
    }
}
