//! The values in the store fixtures of `tests/fixtures`, whose bytes commit 029518c wrote, and helpers to read and copy
//! these fixtures.
#![allow(dead_code)]

use brookpass::engine::log_rollback::LogRollback;
use brookpass::fleet::gossip::{GossipRecord, GossipVersion};
use brookpass::fleet::recovery::{ClockReading, PersistedGossip};
use brookpass::ids::{FleetId, GroupId, NodeId, ZoneId};
use brookpass::store::codec;
use brookpass::store::raft_node::RaftPersistentState;
use brookpass::store::records::{
    Configuration, EntryId, HardState, HostRecord, LogEntry, MembershipStep, NamedHost, SnapshotRecord,
};
use brookpass::store::state_machine::{
    Change, ClusterState, DrainId, JoiningMember, Member, MembershipChange, PendingDrain, Proposal,
    Provenance, RegionMap, ServiceSettings,
};
use brookpass::store::storage::{FileId, NodeIdentity, PersistedProgress};
use brookpass::store::zone_weights::{WeightReason, ZoneWeight};
use brookpass::time::{LogPosition, TimeDelta, Timestamp};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The tables of a store file. Their names are repeated here so that the tests detect a change of the program's names.
pub const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
pub const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub const B1: NodeId = NodeId(0x1b1b_0000_0000_0001);
pub const B2: NodeId = NodeId(0x2b2b_0000_0000_0002);
pub const B3: NodeId = NodeId(0x3b3b_0000_0000_0003);
pub const B5: NodeId = NodeId(0x5b5b_0000_0000_0005);
pub const B7: NodeId = NodeId(0x7b7b_0000_0000_0007);
pub const B8: NodeId = NodeId(0x8b8b_0000_0000_0008);
pub const FLEET: FleetId = FleetId(0xf1ee_7000_0000_0000_0000_0000_0000_0042);

/// The folder of the fixtures.
pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// Creates an empty folder whose path contains `name` and the process id.
pub fn empty_folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "{text}");
    (0..text.len()).step_by(2).map(|n| u8::from_str_radix(&text[n..n + 2], 16).unwrap()).collect()
}

pub fn drain_id(node: NodeId, sequence: u64) -> DrainId {
    DrainId { node, sequence }
}

pub fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

pub fn member(name: &str, address_text: &str) -> Member {
    Member { name: name.into(), address: address(address_text) }
}

pub fn provenance(read_by: &str, changed_at_micros: i64, version: u64) -> Provenance {
    Provenance { read_by: read_by.into(), changed_at: Timestamp::from_micros(changed_at_micros), version }
}

pub fn zone_weight(permille: u16, reason: WeightReason, version: u64, failed_returns: u8) -> ZoneWeight {
    ZoneWeight { permille, reason, version, failed_returns }
}

pub fn host(address_text: &str, group: u32, zone: u8, weight: f64) -> HostRecord {
    HostRecord {
        address: address(address_text),
        group: GroupId(group),
        zone: ZoneId(zone),
        weight,
        draining: false,
        started_at: None,
    }
}

pub fn named(name: &str, host: HostRecord) -> NamedHost {
    NamedHost { name: name.into(), host }
}

pub fn proposal(from: NodeId, token: u64, change: Change) -> Proposal {
    Proposal { from, token, change }
}

pub fn drain(host: &str, drain: DrainId) -> Change {
    Change::Drain { host: host.into(), drain }
}

fn regions(zones: &[(ZoneId, &str)]) -> BTreeMap<ZoneId, String> {
    zones.iter().map(|(zone, region)| (*zone, region.to_string())).collect()
}

/// The text of the fixture's committed settings, as the program stores it.
pub const SETTINGS: &str = "family-info.behind=none\nfamily-info.consistency=lag_bound,mutate\n\
    family-info.max-age=0.8,0\nguarantees.cold-share=0.25\nguarantees.warm-up=16\nlimits.probes=true\n\
    services.0.deadline=2.5\nservices.0.name=fixture-read\nservices.0.repeat=repeatable\nservices.0.target=1.0\n\
    services.1.deadline=2.0\nservices.1.dedup-window=1.2\nservices.1.group=cell\nservices.1.name=fixture-write\n\
    services.1.repeat=by_key\nservices.1.target=0.6\nservices.count=2\n";

/// The replicated state in the fixture's snapshot, at entry 20.
pub fn snapshot_state() -> ClusterState {
    ClusterState {
        fleet: FLEET,
        members: BTreeMap::from([
            (B1, member("b1", "127.0.0.1:1")),
            (B2, member("b2", "127.0.0.1:2")),
            (B3, member("b3", "[::1]:3")),
            (B8, member("b8", "127.0.0.1:8")),
        ]),
        removed: BTreeMap::from([(B7, "b7".to_string())]),
        founders: BTreeSet::new(),
        settings: Some(ServiceSettings {
            provenance: provenance("b2", 1_790_000_000_111_000, 12),
            text: SETTINGS.to_string(),
        }),
        inventory: Some(provenance("b3", 1_790_000_000_222_000, 15)),
        hosts: BTreeMap::from([
            ("s-1-0".to_string(), host("127.0.0.1:10", 1, 0, 1.0)),
            ("s-1-1".to_string(), host("127.0.0.1:11", 1, 1, 0.5)),
            (
                "s-1-2".to_string(),
                HostRecord {
                    started_at: Some(Timestamp::from_micros(1_780_000_000_333_000)),
                    ..host("[::1]:12", 1, 2, 2.25)
                },
            ),
            ("s-2-0".to_string(), host("127.0.0.1:20", 2, 0, 1.0)),
            ("s-2-1".to_string(), host("127.0.0.1:21", 2, 1, 1.0)),
            ("s-2-2".to_string(), HostRecord { draining: true, ..host("127.0.0.1:22", 2, 2, 1.0) }),
        ]),
        drains: BTreeMap::from([
            ("s-1-1".to_string(), BTreeSet::from([drain_id(B1, 4), drain_id(B2, 8)])),
            ("s-1-2".to_string(), BTreeSet::from([drain_id(B2, 7)])),
        ]),
        undone_drains: BTreeMap::from([(drain_id(B3, 1), 14)]),
        previous_fleets: BTreeSet::from([FleetId(0xf0f0)]),
        digest: 0xd16e_57ab,
        zone_weights: BTreeMap::from([
            (ZoneId(1), zone_weight(500, WeightReason::Slow, 1, 2)),
            (ZoneId(2), zone_weight(0, WeightReason::Operator, 3, 0)),
        ]),
        regions: RegionMap {
            changed_at: Timestamp::from_micros(1_790_000_000_444_000),
            by_zone: regions(&[(ZoneId(0), "north"), (ZoneId(1), "south")]),
        },
    }
}

/// The fixture's log: two entries covered by the snapshot, seven committed entries after it, and one uncommitted entry.
pub fn entries() -> Vec<LogEntry> {
    let change = |index, term, from, token, change| LogEntry {
        index,
        term,
        kind: LogEntry::CHANGE,
        payload: codec::encode(&proposal(from, token, change)),
    };
    let membership = |index, change: MembershipChange| LogEntry {
        index,
        term: 3,
        kind: LogEntry::MEMBERSHIP,
        payload: codec::encode(&change),
    };
    vec![
        change(19, 2, B3, 31, drain("s-1-1", drain_id(B2, 8))),
        LogEntry { index: 20, term: 3, kind: LogEntry::CHANGE, payload: Vec::new() },
        change(21, 3, B3, 32, drain("s-2-0", drain_id(B3, 2))),
        change(22, 3, B2, 33, Change::Undrain { host: "s-1-2".into(), drains: vec![drain_id(B2, 7)] }),
        change(
            23,
            3,
            B2,
            34,
            Change::ZoneWeight { zone: ZoneId(1), weight: zone_weight(250, WeightReason::Lost, 2, 3) },
        ),
        change(
            24,
            3,
            B1,
            35,
            Change::Regions {
                read_by: "b1".into(),
                changed_at: Timestamp::from_micros(1_790_000_000_555_000),
                regions: regions(&[(ZoneId(0), "north"), (ZoneId(1), "north"), (ZoneId(2), "south")]),
            },
        ),
        membership(25, MembershipChange { steps: vec![MembershipStep::Remove(B8)], joining: None }),
        membership(
            26,
            MembershipChange {
                steps: vec![MembershipStep::AddLearner(B5)],
                joining: Some(JoiningMember { id: B5, member: member("b5", "127.0.0.1:5") }),
            },
        ),
        change(
            27,
            3,
            B3,
            36,
            Change::Inventory {
                read_by: "b3".into(),
                changed_at: Timestamp::from_micros(1_790_000_000_666_000),
                base_version: 15,
                upserts: vec![named("s-3-0", host("127.0.0.1:30", 3, 0, 4.0))],
                removals: vec!["s-2-1".into()],
            },
        ),
        change(28, 4, B2, 37, drain("s-1-0", drain_id(B2, 11))),
    ]
}

/// The replicated state at entry 27; `digest` is the checksum there.
pub fn committed_state(digest: u32) -> ClusterState {
    let mut state = snapshot_state();
    state.drains = BTreeMap::from([
        ("s-1-1".to_string(), BTreeSet::from([drain_id(B1, 4), drain_id(B2, 8)])),
        ("s-2-0".to_string(), BTreeSet::from([drain_id(B3, 2)])),
    ]);
    state.undone_drains = BTreeMap::from([(drain_id(B3, 1), 14), (drain_id(B2, 7), 22)]);
    state.zone_weights = BTreeMap::from([
        (ZoneId(1), zone_weight(250, WeightReason::Lost, 2, 3)),
        (ZoneId(2), zone_weight(0, WeightReason::Operator, 3, 0)),
    ]);
    state.regions = RegionMap {
        changed_at: Timestamp::from_micros(1_790_000_000_555_000),
        by_zone: regions(&[(ZoneId(0), "north"), (ZoneId(1), "north"), (ZoneId(2), "south")]),
    };
    state.members.remove(&B8);
    state.members.insert(B5, member("b5", "127.0.0.1:5"));
    state.removed.insert(B8, "b8".to_string());
    state.hosts.remove("s-2-1");
    state.hosts.insert("s-3-0".to_string(), host("127.0.0.1:30", 3, 0, 4.0));
    state.inventory = Some(provenance("b3", 1_790_000_000_666_000, 27));
    state.digest = digest;
    state
}

/// The persistent Raft state in the fixture.
pub fn raft_state() -> RaftPersistentState {
    RaftPersistentState {
        hard_state: HardState { term: 4, vote: B2, commit: 27 },
        snapshot: SnapshotRecord {
            index: 20,
            term: 3,
            configuration: Configuration {
                voters: vec![B1, B2],
                learners: vec![B3, B8],
                ..Configuration::default()
            },
            state: codec::encode(&snapshot_state()),
        },
        compacted: EntryId { term: 2, index: 18 },
        entries: entries(),
    }
}

/// The identity of the fixture's node. Its file id is that of no existing file.
pub fn identity() -> NodeIdentity {
    NodeIdentity { id: B1, boot_count: 5, file: FileId { device: 11, inode: 12 } }
}

pub fn pending_drain(host: &str, drain: DrainId) -> PendingDrain {
    PendingDrain { host: host.into(), drain }
}

pub fn pending_drains() -> Vec<PendingDrain> {
    vec![pending_drain("s-2-0", drain_id(B1, 9)), pending_drain("s-1-0", drain_id(B1, 10))]
}

pub fn reported_progress() -> BTreeMap<NodeId, PersistedProgress> {
    BTreeMap::from([
        (B2, PersistedProgress { boot_count: 3, term: 4, last_entry: EntryId { term: 4, index: 28 } }),
        (B3, PersistedProgress { boot_count: 2, term: 3, last_entry: EntryId { term: 3, index: 27 } }),
    ])
}

pub fn persisted_gossip() -> PersistedGossip {
    PersistedGossip {
        written_at: ClockReading {
            wall: Timestamp::from_micros(1_790_000_000_777_000),
            boot_id: "6f1c0e0e-2c5b-4d0f".into(),
            uptime: TimeDelta::from_micros(86_400_123_456),
        },
        records: vec![
            GossipRecord {
                observer: B1,
                version: GossipVersion { incarnation: 1_790_000_000_000_001, sequence: 17 },
                endpoint: "s-1-0".into(),
                is_primary: true,
                position: LogPosition::from_micros(1_790_000_000_700_000),
                age: TimeDelta::from_micros(250_000),
                attempts_in_flight: 3,
                uptime: Some(TimeDelta::from_micros(7_200_000_000)),
                service_rate_milli: 12_500,
                utilization_permille: 730,
            },
            GossipRecord {
                observer: B3,
                version: GossipVersion { incarnation: 5, sequence: 6 },
                endpoint: "s-2-0".into(),
                is_primary: false,
                position: LogPosition::from_micros(-7),
                age: TimeDelta::from_micros(8),
                attempts_in_flight: 0,
                uptime: None,
                service_rate_milli: 0,
                utilization_permille: 0,
            },
        ],
        rollbacks: vec![
            LogRollback {
                group: GroupId(1),
                from: LogPosition::from_micros(1_780_000_000_100_000),
                to: LogPosition::from_micros(1_780_000_000_200_000),
            },
            LogRollback {
                group: GroupId(2),
                from: LogPosition::from_micros(1_780_000_000_300_000),
                to: LogPosition::from_micros(1_780_000_000_400_000),
            },
        ],
    }
}

/// Copies the fixture's store file. The copy has another file id than the one recorded in it, by which the program
/// detects copies; `adopted` records the copy's own file id, as if the node had created the file itself.
pub fn copy_fixture(folder: &Path, name: &str, adopted: bool) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, std::fs::read(fixtures().join("member.store")).unwrap()).unwrap();
    if adopted {
        let file_metadata = std::fs::metadata(&path).unwrap();
        let adopted_identity = NodeIdentity {
            file: FileId { device: file_metadata.dev(), inode: file_metadata.ino() },
            ..identity()
        };
        put_meta(&path, "identity", &codec::encode(&adopted_identity));
    }
    path
}

/// Writes one encoded value into the `meta` table of a store file.
pub fn put_meta(path: &Path, key: &str, value: &[u8]) {
    let db = Database::open(path).unwrap();
    let transaction = db.begin_write().unwrap();
    transaction.open_table(META).unwrap().insert(key, value).unwrap();
    transaction.commit().unwrap();
}

/// The contents of a store file as lines `table key = hex`, ordered by key, with the `meta` table first.
pub fn dump_store(path: &Path) -> Vec<String> {
    let db = Database::open(path).unwrap();
    let transaction = db.begin_read().unwrap();
    let mut tables: Vec<String> =
        transaction.list_tables().unwrap().map(|table| redb::TableHandle::name(&table).to_string()).collect();
    tables.sort();
    assert_eq!(tables, ["log", "meta"]);
    let mut lines = Vec::new();
    for row in transaction.open_table(META).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        lines.push(format!("meta {} = {}", key.value(), hex(value.value())));
    }
    for row in transaction.open_table(LOG).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        lines.push(format!("log {} = {}", key.value(), hex(value.value())));
    }
    lines
}
