//! The bytes of every record that a store holds. Every later build must read what commit 029518c has written, and that
//! build what a later one writes: values and bytes are compared both ways.

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

/// Describes how the value that some bytes decode to differs from the expected one.
type Fault = Box<dyn Fn(&[u8]) -> Option<String>>;

struct Record {
    name: &'static str,
    bytes: Vec<u8>,
    fault: Fault,
}

fn record<T>(name: &'static str, value: T) -> Record
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    let bytes = codec::encode(&value);
    let fault = move |bytes: &[u8]| {
        let read: Option<T> = codec::decode(bytes);
        (read.as_ref() != Some(&value)).then(|| format!("{read:?} is read, not {value:?}"))
    };
    Record { name, bytes, fault: Box::new(fault) }
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

/// A state with something in every field, and zones with a share for every reason.
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

#[expect(clippy::too_many_lines, reason = "a table: one value of each stored record")]
fn records() -> Vec<Record> {
    let membership = |steps, comes| MembershipChange { steps, joining: comes };
    let mut all = vec![
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
    for (name, whole, change) in changes() {
        all.push(record(name, change.clone()));
        all.push(record(whole, proposal(B3, 0x1_0000_0001, change)));
    }
    all
}

fn golden() -> BTreeMap<String, Vec<u8>> {
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
    let golden = golden();
    for r in records() {
        assert_eq!(hex(&r.bytes), hex(&golden[r.name]), "{}", r.name);
    }
}

#[test]
fn the_golden_bytes_of_every_record_are_read_as_its_value() {
    let golden = golden();
    for r in records() {
        assert_eq!((r.fault)(&golden[r.name]), None, "{}", r.name);
    }
}

/// Guards against a record that is removed from the tests, so that its bytes are no longer compared.
#[test]
fn every_line_of_the_fixture_is_compared() {
    let compared: BTreeSet<String> = records().iter().map(|r| r.name.to_string()).collect();
    let earlier = ["state-without-regions", "state-without-shares"].map(String::from);
    let compared: BTreeSet<String> = compared.into_iter().chain(earlier).collect();
    assert_eq!(golden().into_keys().collect::<BTreeSet<_>>(), compared);
}

fn without_regions() -> ClusterState {
    ClusterState { regions: Default::default(), ..state_with_every_field() }
}

fn without_shares() -> ClusterState {
    ClusterState { zone_weights: BTreeMap::new(), ..without_regions() }
}

/// The bytes of a state from which the last `missing` ones are cut, as a version wrote it that lacked these fields.
fn earlier(state: &ClusterState, missing: usize) -> Vec<u8> {
    let bytes = codec::encode(state);
    let body = &bytes[4..bytes.len() - missing];
    [&crc32fast::hash(body).to_be_bytes()[..], body].concat()
}

#[test]
fn a_state_that_was_written_before_regions_or_shares_is_read_whole() {
    let golden = golden();
    for (name, expected) in
        [("state-without-regions", without_regions()), ("state-without-shares", without_shares())]
    {
        assert_eq!(codec::decode::<ClusterState>(&golden[name]), None, "{name} is of an earlier form");
        assert_eq!(ClusterState::decode(&golden[name]), Some(expected), "{name}");
    }
    assert_eq!(ClusterState::decode(&golden["state"]), Some(state_with_every_field()));
    assert_eq!(ClusterState::decode(&golden["state-new"]), Some(ClusterState::default()));
}

/// The check sum comes first, as four bytes with the highest first; what follows is postcard's form of the value.
#[test]
fn a_record_is_its_crc32_and_its_postcard_form() {
    for (name, bytes) in golden() {
        assert_eq!(bytes[..4], crc32fast::hash(&bytes[4..]).to_be_bytes(), "{name}");
    }
    assert_eq!(golden()["hard"][4..], postcard::to_allocvec(&(4_u64, B2, 1_000_u64)).unwrap());
}

#[test]
#[ignore = "writes the bytes of this build: only for a record that the fixture does not have yet"]
fn write_records() {
    let mut text = String::from("# Records of a store as commit 029518c writes them; see README.md.\n");
    let mut line = |name: &str, bytes: &[u8]| text += &format!("{name} = {}\n", hex(bytes));
    records().iter().for_each(|r| line(r.name, &r.bytes));
    line("state-without-regions", &earlier(&without_regions(), 2));
    line("state-without-shares", &earlier(&without_shares(), 3));
    let to = folder("records").join("stored-records.hex");
    std::fs::write(&to, text).unwrap();
    println!("{}", to.display());
}
