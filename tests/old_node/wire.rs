//! The messages between daemons as commit 029518c wrote them, declared apart from the program: a change of the program's
//! own types cannot change these. Only what the stand-in reads or writes is here, in the order of that commit.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes before the body of a message: its length and its CRC-32.
const HEADER: usize = 8;
/// Variants of the message, as they are numbered on the wire.
pub const HELLO: u8 = 0;
pub const VERDICT: u8 = 1;
pub const RAFT: u8 = 2;
pub const DRAINS: u8 = 5;
pub const HEARTBEAT: u8 = 6;

/// Kinds of messages of the consensus.
pub const APPEND: u8 = 3;
pub const APPEND_RESPONSE: u8 = 4;
pub const VOTE: u8 = 5;
pub const VOTE_RESPONSE: u8 = 6;
pub const SNAPSHOT: u8 = 7;
pub const RAFT_HEARTBEAT: u8 = 8;
pub const RAFT_HEARTBEAT_RESPONSE: u8 = 9;
pub const PRE_VOTE: u8 = 17;
pub const PRE_VOTE_RESPONSE: u8 = 18;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    pub fleet: u128,
    pub id: u64,
    pub name: String,
    pub address: SocketAddr,
    /// Starts, term, and the term and index of the last entry.
    pub witness: (u64, u64, (u64, u64)),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Verdict {
    Welcome,
    Stranger,
    Removed,
    Older,
    Recovered,
    Candidate(Vec<(String, SocketAddr)>),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    pub index: u64,
    pub term: u64,
    pub kind: u8,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub voters_outgoing: Vec<u64>,
    pub learners_next: Vec<u64>,
    pub auto_leave: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub configuration: Configuration,
    pub state: Vec<u8>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RaftMessage {
    pub kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<LogEntry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    pub leader: u64,
    pub term: u64,
    pub last: (u64, u64),
    pub participates: bool,
    pub committed: u64,
    pub applied: (u64, u32),
    pub drains: u32,
    pub hears: Vec<u64>,
    pub recovers: bool,
}

/// A drain: who said it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DrainMark {
    pub by: u64,
    pub number: u64,
}

/// The first variants of a change; no other one is proposed in these tests before the drains are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Drain { host: String, mark: DrainMark },
    Undrain { host: String, marks: Vec<DrainMark> },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    pub from: u64,
    pub token: u64,
    pub change: Change,
}

/// A record of the store: its CRC-32 and its body.
fn record(body: Vec<u8>) -> Vec<u8> {
    [&crc32fast::hash(&body).to_be_bytes()[..], &body[..]].concat()
}

/// A message of a variant, with its length before it.
pub fn message(variant: u8, fields: &impl Serialize) -> Vec<u8> {
    let mut body = vec![variant];
    body.extend(postcard::to_allocvec(fields).unwrap());
    let record = record(body);
    [&(record.len() as u32).to_be_bytes()[..], &record[..]].concat()
}

/// The first whole message of these bytes: its variant, the bytes of its fields, and its length with its header.
pub fn split(bytes: &[u8]) -> Option<(u8, Vec<u8>, usize)> {
    let length = u32::from_be_bytes(bytes.get(..4)?.try_into().unwrap()) as usize;
    let whole = bytes.get(4..4 + length)?;
    let (sum, body) = whole.split_at(HEADER - 4);
    assert_eq!(sum, crc32fast::hash(body).to_be_bytes(), "the check sum of a message");
    Some((body[0], body[1..].to_vec(), length + 4))
}

/// The fields of a message, all of its bytes used.
pub fn fields<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let (value, rest) = postcard::take_from_bytes(bytes).unwrap();
    assert!(rest.is_empty(), "a message of this version has {} bytes more", rest.len());
    value
}

/// The proposal in an entry of the log; `None` for a change that this version of the tests does not name.
pub fn proposal(entry: &LogEntry) -> Option<Proposal> {
    let (sum, body) = entry.bytes.split_at_checked(4)?;
    assert_eq!(sum, crc32fast::hash(body).to_be_bytes(), "the check sum of an entry");
    let (proposal, rest) = postcard::take_from_bytes::<Proposal>(body).ok()?;
    rest.is_empty().then_some(proposal)
}
