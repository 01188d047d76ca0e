//! The messages between nodes as commit 029518c wrote them, declared independently of the program, so that a change of
//! the program's own types cannot change these. Only what the stand-in reads or writes is declared, with fields and
//! variants in the order of that commit. Field names are not part of the encoding.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes before the body of a message: its length and its CRC-32, four bytes each.
const HEADER_LENGTH: usize = 8;
/// Message variants, as they are numbered on the wire.
pub const HELLO: u8 = 0;
pub const VERDICT: u8 = 1;
pub const RAFT: u8 = 2;
pub const DRAINS: u8 = 5;
pub const HEARTBEAT: u8 = 6;

/// Kinds of Raft messages.
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
    /// The sender's boot count, its term, and the term and index of its last log entry.
    pub progress: (u64, u64, (u64, u64)),
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
    pub payload: Vec<u8>,
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
    pub pending_drains_digest: u32,
    pub reachable_peers: Vec<u64>,
    pub recovering: bool,
}

/// Identifies a drain by the node that accepted it and its sequence number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DrainId {
    pub node: u64,
    pub sequence: u64,
}

/// The first variants of a change. Other variants do not decode as these and are skipped; the tests only read drains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Drain { host: String, drain: DrainId },
    Undrain { host: String, drains: Vec<DrainId> },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    pub from: u64,
    pub token: u64,
    pub change: Change,
}

/// Encodes a store record: the CRC-32 of the body, then the body.
fn encode_record(body: Vec<u8>) -> Vec<u8> {
    [&crc32fast::hash(&body).to_be_bytes()[..], &body[..]].concat()
}

/// Encodes a message of a variant: its length, then a record of the variant and the fields.
pub fn encode_message(variant: u8, fields: &impl Serialize) -> Vec<u8> {
    let mut body = vec![variant];
    body.extend(postcard::to_allocvec(fields).unwrap());
    let record = encode_record(body);
    [&(record.len() as u32).to_be_bytes()[..], &record[..]].concat()
}

/// Splits off the first message: its variant, the bytes of its fields, and its length including the header. `None` if
/// the message is incomplete.
pub fn split_message(bytes: &[u8]) -> Option<(u8, Vec<u8>, usize)> {
    let length = u32::from_be_bytes(bytes.get(..4)?.try_into().unwrap()) as usize;
    let record = bytes.get(4..4 + length)?;
    let (checksum, body) = record.split_at(HEADER_LENGTH - 4);
    assert_eq!(checksum, crc32fast::hash(body).to_be_bytes(), "the checksum of a message");
    Some((body[0], body[1..].to_vec(), length + 4))
}

/// Decodes the fields of a message; panics unless they use all of its bytes.
pub fn decode_fields<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let (value, rest) = postcard::take_from_bytes(bytes).unwrap();
    assert!(rest.is_empty(), "{} unexpected bytes after the fields of a message", rest.len());
    value
}

/// Decodes the proposal in a log entry; `None` if its change has no variant here.
pub fn decode_proposal(entry: &LogEntry) -> Option<Proposal> {
    let (checksum, body) = entry.payload.split_at_checked(4)?;
    assert_eq!(checksum, crc32fast::hash(body).to_be_bytes(), "the checksum of an entry");
    let (proposal, rest) = postcard::take_from_bytes::<Proposal>(body).ok()?;
    rest.is_empty().then_some(proposal)
}
