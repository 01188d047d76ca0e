//! The bytes of every record in a store. Later builds must read what commit 029518c wrote, and that commit must read
//! what later builds write, so encoding and decoding are both compared with golden bytes.

mod stored;

use brookpass::ids::{GroupId, NodeId, ZoneId};
use brookpass::store::codec;
use brookpass::store::records::{
    Configuration, EntryId, HardState, HostRecord, LogEntry, MembershipStep, SnapshotRecord,
};
use brookpass::store::state_machine::{Change, ClusterState, JoiningMember, MembershipChange, PendingDrain};
use brookpass::store::storage::{FileId, NodeIdentity, PersistedProgress};
use brookpass::store::zone_weights::WeightReason;
use brookpass::time::Timestamp;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use stored::*;

/// Describes how the value that some bytes decode to differs from the expected one; `None` if it is equal.
type Mismatch = Box<dyn Fn(&[u8]) -> Option<String>>;

struct Record {
    name: &'static str,
    bytes: Vec<u8>,
    mismatch: Mismatch,
}

fn record<T>(name: &'static str, value: T) -> Record
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    let bytes = codec::encode(&value);
    let mismatch = move |bytes: &[u8]| {
        let decoded: Option<T> = codec::decode(bytes);
        (decoded.as_ref() != Some(&value)).then(|| format!("decoded {decoded:?}, expected {value:?}"))
    };
    Record { name, bytes, mismatch: Box::new(mismatch) }
}

fn host_with_every_field() -> HostRecord {
    HostRecord {
        address: address("10.1.2.3:7001"),
        group: GroupId(70_000),
        zone: ZoneId(201),
        weight: 0.75,
        draining: true,
        started_at: Some(Timestamp::from_micros(1_780_000_000_000_123)),
    }
}

fn configuration() -> Configuration {
    Configuration {
        voters: vec![NodeId(1), NodeId(300)],
        learners: vec![NodeId(3)],
        voters_outgoing: vec![NodeId(4), NodeId(5), NodeId(6)],
        learners_next: vec![NodeId(7)],
        auto_leave: true,
    }
}

/// A state in which no field is empty, with a zone weight for every reason.
fn state_with_every_field() -> ClusterState {
    let mut state = snapshot_state();
    state.founders = BTreeSet::from(["b8".to_string(), "b9".to_string()]);
    state.hosts.insert("s-9".into(), host_with_every_field());
    state.zone_weights = BTreeMap::from([
        (ZoneId(3), zone_weight(1000, WeightReason::Returns, 41, 1)),
        (ZoneId(4), zone_weight(0, WeightReason::Lost, 42, 2)),
        (ZoneId(5), zone_weight(750, WeightReason::Slow, 43, 3)),
        (ZoneId(6), zone_weight(125, WeightReason::Operator, 44, 4)),
    ]);
    state
}

fn changes() -> Vec<(&'static str, &'static str, Change)> {
    vec![
        ("change-drain", "proposal-drain", drain("s-1-1", drain_id(B2, 513))),
        (
            "change-undrain",
            "proposal-undrain",
            Change::Undrain { host: "s-1-2".into(), drains: vec![drain_id(B1, 6), drain_id(B3, 7)] },
        ),
        (
            "change-inventory",
            "proposal-inventory",
            Change::Inventory {
                read_by: "b2".into(),
                changed_at: Timestamp::from_micros(1_790_000_000_000_321),
                base_version: 77,
                upserts: vec![
                    named("s-9", host_with_every_field()),
                    named("s-8", host("[fd00::8]:7002", 8, 2, 1.5)),
                ],
                removals: vec!["s-6".into(), "s-7".into()],
            },
        ),
        (
            "change-settings",
            "proposal-settings",
            Change::Settings {
                read_by: "b3".into(),
                changed_at: Timestamp::from_micros(-5),
                text: "limits.probes=true\nservices.count=1\n".into(),
            },
        ),
        (
            "change-zone",
            "proposal-zone",
            Change::ZoneWeight {
                zone: ZoneId(9),
                weight: zone_weight(333, WeightReason::Operator, 1_000, 12),
            },
        ),
        (
            "change-regions",
            "proposal-regions",
            Change::Regions {
                read_by: "b1".into(),
                changed_at: Timestamp::from_micros(1_790_000_000_000_654),
                regions: BTreeMap::from([(ZoneId(1), "north".to_string()), (ZoneId(2), "süd".to_string())]),
            },
        ),
    ]
}

#[expect(clippy::too_many_lines, reason = "a table with a value of each stored record")]
fn records() -> Vec<Record> {
    let membership = |steps, joining| MembershipChange { steps, joining };
    let mut records = vec![
        record("form", 1_u32),
        record("dropped", (18_u64, 2_u64)),
        record(
            "identity",
            NodeIdentity { id: B1, boot_count: 5, file: FileId { device: 2049, inode: 131_072 } },
        ),
        record("hard", HardState { term: 4, vote: B2, commit: 1_000 }),
        record("conf", configuration()),
        record(
            "snapshot",
            SnapshotRecord {
                index: 20,
                term: 3,
                configuration: configuration(),
                state: codec::encode(&state_with_every_field()),
            },
        ),
        record(
            "witness",
            PersistedProgress { boot_count: 3, term: 4, last_entry: EntryId { term: 5, index: 600 } },
        ),
        record("witnesses", reported_progress()),
        record("marks", pending_drains()),
        record::<Vec<PendingDrain>>("marks-none", Vec::new()),
        record("saved", persisted_gossip()),
        record("learned", codec::encode(&persisted_gossip())),
        record("host", host_with_every_field()),
        record("host-v6-unstarted", host("[fd00::8]:7002", 8, 2, 1.5)),
        record(
            "entry-change",
            LogEntry { index: 300, term: 9, kind: LogEntry::CHANGE, payload: vec![1, 2, 0xff] },
        ),
        record(
            "entry-members",
            LogEntry { index: 301, term: 10, kind: LogEntry::MEMBERSHIP, payload: vec![3] },
        ),
        record("entry-empty", LogEntry { index: 302, term: 11, kind: LogEntry::CHANGE, payload: Vec::new() }),
        record("step-vote", MembershipStep::AddVoter(B2)),
        record("step-follow", MembershipStep::AddLearner(B3)),
        record("step-remove", MembershipStep::Remove(B8)),
        record("membership-vote", membership(vec![MembershipStep::AddVoter(B2)], None)),
        record(
            "membership-all",
            membership(
                vec![
                    MembershipStep::AddVoter(B2),
                    MembershipStep::AddLearner(B5),
                    MembershipStep::Remove(B8),
                ],
                Some(JoiningMember { id: B5, member: member("b5", "127.0.0.1:5") }),
            ),
        ),
        record("why-returns", WeightReason::Returns),
        record("why-lost", WeightReason::Lost),
        record("why-slow", WeightReason::Slow),
        record("why-operator", WeightReason::Operator),
        record("share", zone_weight(875, WeightReason::Slow, 400, 7)),
        record("mark", drain_id(B3, 70_000)),
        record("member-v6", member("b3", "[::1]:3")),
        record("source", provenance("b2", -9, 10)),
        record("state-new", ClusterState::default()),
        record("state", state_with_every_field()),
    ];
    for (name, proposal_name, change) in changes() {
        records.push(record(name, change.clone()));
        records.push(record(proposal_name, proposal(B3, 0x1_0000_0001, change)));
    }
    records
}

fn golden_records() -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(fixtures().join("stored-records.hex")).unwrap();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let (name, value) = line.split_once(" = ").unwrap();
            (name.to_string(), unhex(value))
        })
        .collect()
}

#[test]
fn every_record_is_written_as_its_golden_bytes() {
    let golden = golden_records();
    for record in records() {
        assert_eq!(hex(&record.bytes), hex(&golden[record.name]), "{}", record.name);
    }
}

#[test]
fn the_golden_bytes_of_every_record_are_read_as_its_value() {
    let golden = golden_records();
    for record in records() {
        assert_eq!((record.mismatch)(&golden[record.name]), None, "{}", record.name);
    }
}

/// Guards against a record that is removed from the tests and whose bytes are then no longer compared.
#[test]
fn every_line_of_the_fixture_is_compared() {
    let compared: BTreeSet<String> = records().iter().map(|record| record.name.to_string()).collect();
    let earlier_formats = ["state-without-regions", "state-without-shares"].map(String::from);
    let compared: BTreeSet<String> = compared.into_iter().chain(earlier_formats).collect();
    assert_eq!(golden_records().into_keys().collect::<BTreeSet<_>>(), compared);
}

fn without_regions() -> ClusterState {
    ClusterState { regions: Default::default(), ..state_with_every_field() }
}

fn without_zone_weights() -> ClusterState {
    ClusterState { zone_weights: BTreeMap::new(), ..without_regions() }
}

/// Encodes a state without its last `missing_bytes` bytes, as an earlier version without these fields wrote it.
fn encode_without_last_fields(state: &ClusterState, missing_bytes: usize) -> Vec<u8> {
    let bytes = codec::encode(state);
    let body = &bytes[4..bytes.len() - missing_bytes];
    [&crc32fast::hash(body).to_be_bytes()[..], body].concat()
}

#[test]
fn a_state_written_before_regions_or_zone_weights_existed_is_decoded() {
    let golden = golden_records();
    for (name, expected) in
        [("state-without-regions", without_regions()), ("state-without-shares", without_zone_weights())]
    {
        assert_eq!(codec::decode::<ClusterState>(&golden[name]), None, "{name} has an earlier format");
        assert_eq!(ClusterState::decode(&golden[name]), Some(expected), "{name}");
    }
    assert_eq!(ClusterState::decode(&golden["state"]), Some(state_with_every_field()));
    assert_eq!(ClusterState::decode(&golden["state-new"]), Some(ClusterState::default()));
}

/// The checksum comes first, as four bytes in big-endian order, followed by the postcard encoding of the value.
#[test]
fn a_record_is_a_crc32_followed_by_the_postcard_encoding() {
    for (name, bytes) in golden_records() {
        assert_eq!(bytes[..4], crc32fast::hash(&bytes[4..]).to_be_bytes(), "{name}");
    }
    assert_eq!(golden_records()["hard"][4..], postcard::to_allocvec(&(4_u64, B2, 1_000_u64)).unwrap());
}

#[test]
#[ignore = "writes the bytes of this build; run it only for a record that has no fixture yet"]
fn write_records() {
    let mut text = String::from("# Records of a store as commit 029518c writes them; see README.md.\n");
    let mut line = |name: &str, bytes: &[u8]| text += &format!("{name} = {}\n", hex(bytes));
    records().iter().for_each(|record| line(record.name, &record.bytes));
    line("state-without-regions", &encode_without_last_fields(&without_regions(), 2));
    line("state-without-shares", &encode_without_last_fields(&without_zone_weights(), 3));
    let path = empty_folder("records").join("stored-records.hex");
    std::fs::write(&path, text).unwrap();
    println!("{}", path.display());
}
