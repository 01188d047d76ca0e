//! Golden tests of the wire format of messages between nodes. Types and fields may be renamed, but the bytes must not
//! change, because nodes of adjacent versions exchange messages during an upgrade.

use super::*;
use crate::fleet::bootstrap::MemberAddress;
use crate::fleet::gossip::GossipVersion;
use crate::fleet::membership::MembershipRequest;
use crate::ids::{FleetId, GroupId, ZoneId};
use crate::store::records::{EntryId, HostRecord, NamedHost};
use crate::store::state_machine::{Change, DrainId, PendingDrain};
use crate::store::storage::PersistedProgress;
use crate::store::zone_weights::{WeightReason, ZoneWeight};
use crate::time::{LogPosition, Timestamp};
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use std::collections::BTreeSet;

/// One message per line, as `name = hex`. The hex covers the whole frame, with length prefix and checksum.
const GOLDEN: &str = include_str!("../../../tests/fixtures/peer-messages.hex");

/// A decoding limit above the longest golden message.
const LIMIT_BYTES: usize = 4096;

fn handshake(name: &str, fleet: u128) -> Handshake {
    Handshake {
        fleet: FleetId(fleet),
        id: NodeId(0x1122_3344_5566_7788),
        name: name.into(),
        address: "127.0.0.1:8891".parse().unwrap(),
        progress: PersistedProgress {
            boot_count: 3,
            term: 500,
            last_entry: EntryId { term: 499, index: 70_000 },
        },
    }
}

fn handshake_replies() -> Vec<(&'static str, PeerMessage)> {
    let members = vec![
        MemberAddress { name: "b0".to_string(), address: "127.0.0.1:8001".parse().unwrap() },
        MemberAddress { name: "b1".to_string(), address: "[::1]:8002".parse().unwrap() },
    ];
    [
        ("verdict welcome", HandshakeVerdict::Accepted),
        ("verdict stranger", HandshakeVerdict::OtherFleet),
        ("verdict removed", HandshakeVerdict::RemovedMember),
        ("verdict older", HandshakeVerdict::OutdatedStorage),
        ("verdict recovered", HandshakeVerdict::SupersededFleet),
        ("verdict candidate", HandshakeVerdict::NotYetMember(members)),
    ]
    .map(|(name, verdict)| {
        (name, PeerMessage::HandshakeReply(HandshakeReply { verdict, handshake: handshake("b2", 9) }))
    })
    .into()
}

/// A Raft message with a distinct value in every field that all types share.
fn raft_message(message_type: MessageType) -> Message {
    let mut message =
        Message { to: 11, from: 12, term: 13, log_term: 14, index: 15, commit: 16, ..Message::default() };
    message.set_msg_type(message_type);
    message.commit_term = 17;
    message.request_snapshot = 18;
    message.reject = true;
    message.reject_hint = 19;
    message.priority = -20;
    message.context = vec![0xc0, 0xff, 0xee].into();
    message
}

fn entries() -> Vec<Entry> {
    let normal = Entry { index: 300, term: 21, data: vec![0xda, 0x7a].into(), ..Entry::default() };
    let mut conf_change =
        Entry { index: 301, term: 22, context: vec![0x4d, 0x45].into(), ..Entry::default() };
    conf_change.set_entry_type(EntryType::EntryConfChangeV2);
    vec![normal, conf_change, Entry { index: 302, term: 23, ..Entry::default() }]
}

fn snapshot() -> Snapshot {
    let mut configuration = ConfState::default();
    configuration.set_voters(vec![1, 2]);
    configuration.set_learners(vec![3]);
    configuration.set_voters_outgoing(vec![1, 4]);
    configuration.set_learners_next(vec![5]);
    configuration.auto_leave = true;
    let mut snapshot = Snapshot { data: vec![0x57, 0xa7, 0xe0].into(), ..Snapshot::default() };
    let meta = snapshot.mut_metadata();
    meta.index = 400;
    meta.term = 24;
    meta.set_conf_state(configuration);
    snapshot
}

fn raft_messages() -> Vec<(&'static str, PeerMessage)> {
    let mut all: Vec<(&'static str, Message)> = [
        ("letter append", MessageType::MsgAppend),
        ("letter append response", MessageType::MsgAppendResponse),
        ("letter request vote", MessageType::MsgRequestVote),
        ("letter request vote response", MessageType::MsgRequestVoteResponse),
        ("letter snapshot", MessageType::MsgSnapshot),
        ("letter heartbeat", MessageType::MsgHeartbeat),
        ("letter heartbeat response", MessageType::MsgHeartbeatResponse),
        ("letter transfer leader", MessageType::MsgTransferLeader),
        ("letter timeout now", MessageType::MsgTimeoutNow),
        ("letter read index", MessageType::MsgReadIndex),
        ("letter read index response", MessageType::MsgReadIndexResp),
        ("letter request pre-vote", MessageType::MsgRequestPreVote),
        ("letter request pre-vote response", MessageType::MsgRequestPreVoteResponse),
    ]
    .map(|(name, message_type)| (name, raft_message(message_type)))
    .into();
    for (name, message) in &mut all {
        match *name {
            "letter append" => message.set_entries(entries().into()),
            "letter snapshot" => message.set_snapshot(snapshot()),
            _ => {}
        }
    }
    let to_raft_message =
        |message: &Message| RaftMessage::from_raft(message.clone()).expect("a type sent between nodes");
    let pair = vec![to_raft_message(&all[5].1), to_raft_message(&all[6].1)];
    let singles =
        all.iter().map(|(name, message)| (*name, PeerMessage::RaftMessages(vec![to_raft_message(message)])));
    singles
        .chain([
            ("letters none", PeerMessage::RaftMessages(Vec::new())),
            ("letters two", PeerMessage::RaftMessages(pair)),
        ])
        .collect()
}

#[expect(clippy::too_many_lines, reason = "a table with one value of each variant")]
fn forwarded_proposals() -> Vec<(&'static str, PeerMessage)> {
    let drains = vec![DrainId { node: NodeId(5), sequence: 6 }, DrainId { node: NodeId(7), sequence: 800 }];
    let record = |address: &str, draining, started_at| HostRecord {
        address: address.parse().unwrap(),
        group: GroupId(300),
        zone: ZoneId(2),
        weight: 0.75,
        draining,
        started_at,
    };
    let upserts = vec![
        NamedHost {
            name: "s-1".to_string(),
            host: record("127.0.0.1:7001", false, Some(Timestamp::from_micros(1_767_225_600_123_000))),
        },
        NamedHost { name: "s-2".to_string(), host: record("[::1]:7002", true, None) },
    ];
    let zone_weight = |permille, reason| Change::ZoneWeight {
        zone: ZoneId(4),
        weight: ZoneWeight { permille, reason, version: 31, failed_returns: 2 },
    };
    [
        (
            "forward drain",
            Change::Drain { host: "s-1-1".into(), drain: DrainId { node: NodeId(5), sequence: 6 } },
        ),
        ("forward undrain", Change::Undrain { host: "s-1-2".into(), drains }),
        (
            "forward inventory",
            Change::Inventory {
                read_by: "b0".into(),
                changed_at: Timestamp::from_micros(-5),
                base_version: 41,
                upserts,
                removals: vec!["s-9".into()],
            },
        ),
        (
            "forward settings",
            Change::Settings {
                read_by: "b1".into(),
                changed_at: Timestamp::from_micros(1_767_225_600_000_000),
                text: "step=1\n".into(),
            },
        ),
        ("forward zone returns", zone_weight(20, WeightReason::Returns)),
        ("forward zone lost", zone_weight(0, WeightReason::Lost)),
        ("forward zone slow", zone_weight(650, WeightReason::Slow)),
        ("forward zone operator", zone_weight(1000, WeightReason::Operator)),
        (
            "forward regions",
            Change::Regions {
                read_by: "b2".into(),
                changed_at: Timestamp::from_micros(77),
                regions: BTreeMap::from([(ZoneId(0), "north".to_string()), (ZoneId(3), "south".to_string())]),
            },
        ),
    ]
    .map(|(name, change)| {
        (name, PeerMessage::ForwardedProposal(Proposal { from: NodeId(0xfedc_ba98), token: 600, change }))
    })
    .into()
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        leader: NodeId(7),
        term: 300,
        last_entry: EntryId { term: 299, index: 70_001 },
        participates: true,
        commit_index: 70_002,
        applied: AppliedPosition { index: 70_003, digest: 0xdead_beef },
        pending_drains_digest: 0x0bad_cafe,
        reachable_peers: vec![NodeId(5), NodeId(600)],
        recovering: false,
    }
}

fn gossip_records() -> Vec<GossipRecord> {
    let full = GossipRecord {
        observer: NodeId(5),
        version: GossipVersion { incarnation: 6, sequence: 700 },
        endpoint: "s-1-0".into(),
        is_primary: true,
        position: LogPosition::from_micros(1_767_225_600_123_456),
        age: TimeDelta::from_micros(250_000),
        attempts_in_flight: 400,
        uptime: Some(TimeDelta::from_micros(16_000_000)),
        service_rate_milli: 123_456,
        utilization_permille: 610,
    };
    let bare = GossipRecord {
        uptime: None,
        is_primary: false,
        position: LogPosition::from_micros(0),
        utilization_permille: 0,
        endpoint: "s-2".into(),
        ..full.clone()
    };
    vec![full, bare]
}

fn zone_outcomes() -> BTreeMap<ZoneId, ZoneOutcomes> {
    let outcomes = ZoneOutcomes {
        on_time: 1000,
        late: 2,
        unanswered: 3,
        connect_failed: 400,
        endpoints_tried: 5,
        endpoints_failed: 6,
        endpoints_total: 700,
        utilization_permille: 810,
    };
    BTreeMap::from([
        (ZoneId(0), outcomes),
        (ZoneId(200), ZoneOutcomes { on_time: 9, ..ZoneOutcomes::default() }),
    ])
}

/// Golden messages by name: one at least for each message type and each variant inside a message.
fn messages() -> Vec<(&'static str, PeerMessage)> {
    let fleet = 0x0123_4567_89ab_cdef_0011_2233_4455_6677;
    let drains = vec![
        PendingDrain { host: "s-1-1".to_string(), drain: DrainId { node: NodeId(5), sequence: 6 } },
        PendingDrain { host: "s-2".to_string(), drain: DrainId { node: NodeId(7), sequence: 800 } },
    ];
    let v6 = Handshake { address: "[::1]:8892".parse().unwrap(), ..handshake("b1", 0) };
    let digest = vec![
        (NodeId(5), GossipVersion { incarnation: 6, sequence: 700 }),
        (NodeId(800), GossipVersion { incarnation: 9, sequence: 0 }),
    ];
    let rollbacks = vec![LogRollback {
        group: GroupId(300),
        from: LogPosition::from_micros(1_767_225_600_000_000),
        to: LogPosition::from_micros(1_767_225_600_000_001),
    }];
    let recovering = Heartbeat { participates: false, recovering: true, ..heartbeat() };
    let mut all = vec![
        ("hello", PeerMessage::Handshake(handshake("b0", fleet))),
        ("hello without a fleet at an IPv6 address", PeerMessage::Handshake(v6)),
        (
            "wish vote",
            PeerMessage::MembershipRequest(MemberRequest {
                member: "b3".into(),
                request: MembershipRequest::GrantVote,
            }),
        ),
        (
            "wish leave",
            PeerMessage::MembershipRequest(MemberRequest {
                member: "b4".into(),
                request: MembershipRequest::Remove,
            }),
        ),
        ("marks", PeerMessage::PendingDrains(drains)),
        ("beat", PeerMessage::Heartbeat(heartbeat())),
        ("beat of one that returns", PeerMessage::Heartbeat(recovering)),
        ("digest", PeerMessage::GossipDigest(digest)),
        ("words with and without optional parts", PeerMessage::GossipRecords(gossip_records())),
        (
            "hint",
            PeerMessage::PrimaryHint {
                endpoint: EndpointBytes([127, 0, 0, 1, 0xd4, 0x31]),
                age: TimeDelta::from_micros(250_000),
            },
        ),
        ("breaks", PeerMessage::LogRollbacks(rollbacks)),
        ("sights", PeerMessage::ZoneOutcomes(zone_outcomes())),
    ];
    all.extend(handshake_replies());
    all.extend(raft_messages());
    all.extend(forwarded_proposals());
    all
}

/// The golden name's parts for a message: its type, and the variant inside it. A new variant does not compile until it
/// has a line here; it also needs a golden message above.
fn type_and_variant(message: &PeerMessage) -> (&'static str, &'static str) {
    match message {
        PeerMessage::Handshake(_) => ("hello", ""),
        PeerMessage::HandshakeReply(HandshakeReply { verdict, .. }) => (
            "verdict",
            match verdict {
                HandshakeVerdict::Accepted => "welcome",
                HandshakeVerdict::OtherFleet => "stranger",
                HandshakeVerdict::RemovedMember => "removed",
                HandshakeVerdict::OutdatedStorage => "older",
                HandshakeVerdict::SupersededFleet => "recovered",
                HandshakeVerdict::NotYetMember(_) => "candidate",
            },
        ),
        PeerMessage::RaftMessages(_) => ("letters", ""),
        PeerMessage::ForwardedProposal(proposal) => (
            "forward",
            match &proposal.change {
                Change::Drain { .. } => "drain",
                Change::Undrain { .. } => "undrain",
                Change::Inventory { .. } => "inventory",
                Change::Settings { .. } => "settings",
                Change::ZoneWeight { weight, .. } => match weight.reason {
                    WeightReason::Returns => "zone returns",
                    WeightReason::Lost => "zone lost",
                    WeightReason::Slow => "zone slow",
                    WeightReason::Operator => "zone operator",
                },
                Change::Regions { .. } => "regions",
            },
        ),
        PeerMessage::MembershipRequest(MemberRequest { request: MembershipRequest::GrantVote, .. }) => {
            ("wish", "vote")
        }
        PeerMessage::MembershipRequest(MemberRequest { request: MembershipRequest::Remove, .. }) => {
            ("wish", "leave")
        }
        PeerMessage::PendingDrains(_) => ("marks", ""),
        PeerMessage::Heartbeat(_) => ("beat", ""),
        PeerMessage::GossipDigest(_) => ("digest", ""),
        PeerMessage::GossipRecords(_) => ("words", ""),
        PeerMessage::PrimaryHint { .. } => ("hint", ""),
        PeerMessage::LogRollbacks(_) => ("breaks", ""),
        PeerMessage::ZoneOutcomes(_) => ("sights", ""),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex")).collect()
}

/// Guards against a change of the wire format, which nodes of the previous version could not decode.
#[test]
fn every_peer_message_is_encoded_as_its_golden_bytes() {
    let encoded: String =
        messages().iter().map(|(name, message)| format!("{name} = {}\n", hex(&message.encode()))).collect();
    assert_eq!(encoded, GOLDEN, "encoded now:\n{encoded}");
}

/// Guards against decoding a message of the previous version as something else.
#[test]
fn the_golden_bytes_of_every_peer_message_decode_to_its_value() {
    let mut golden = GOLDEN.lines();
    for (name, message) in messages() {
        let (golden_name, hex) = golden.next().and_then(|line| line.split_once(" = ")).expect("name = hex");
        let bytes = bytes_from_hex(hex);
        let decoded = DecodedMessage { message, encoded_bytes: bytes.len() };
        assert_eq!(
            (golden_name, PeerMessage::decode(&bytes, LIMIT_BYTES)),
            (name, Ok(Some(decoded))),
            "{name}"
        );
    }
    assert_eq!(golden.next(), None);
}

/// Guards against a Raft message that decodes correctly but reaches the Raft library as a different message.
#[test]
fn the_golden_raft_messages_survive_conversion_to_the_raft_library_and_back() {
    for (name, message) in messages() {
        let PeerMessage::RaftMessages(raft_messages) = message else { continue };
        for raft_message in raft_messages {
            let message_type = raft_message.clone().into_raft().map(|message| message.msg_type);
            // Conversion succeeds exactly if a snapshot message carries a snapshot and no other message does.
            assert_eq!(
                message_type.is_some(),
                raft_message.carries_state() == name.starts_with("letter snapshot"),
                "{name}"
            );
            assert_eq!(
                raft_message.clone().into_raft().and_then(RaftMessage::from_raft),
                Some(raft_message),
                "{name}"
            );
        }
    }
}

/// Guards against a message variant without a golden message.
#[test]
fn every_variant_of_a_peer_message_has_golden_bytes() {
    let messages = messages();
    let names: BTreeSet<&str> = messages.iter().map(|(name, _)| *name).collect();
    assert_eq!(names.len(), messages.len(), "names are unique");
    let found: BTreeSet<(&str, &str)> =
        messages.iter().map(|(_, message)| type_and_variant(message)).collect();
    let message_types: BTreeSet<&str> = found.iter().map(|(message_type, _)| *message_type).collect();
    assert_eq!((message_types.len(), found.len()), (12, 6 + 9 + 2 + 9), "{found:?}");
}
