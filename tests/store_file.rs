//! Compatibility with store files of earlier builds: all their contents are read, this build writes the same bytes, and
//! the program serves from such a file. tests/fixtures/README.md describes how the files were made.

mod stored;

use async_channel::Receiver;
use brookpass::config::Limits;
use brookpass::fleet::recovery::PersistedGossip;
use brookpass::ids::NodeId;
use brookpass::store::codec;
use brookpass::store::legacy::{self, LegacySettings, LegacyStore};
use brookpass::store::raft_message::RaftMessage;
use brookpass::store::raft_node::{AppliedContent, AppliedEntry, CompletedWrite, RaftNode, RaftWrite};
use brookpass::store::records::{Configuration, EntryId, HostRecord, LogEntry, Vote};
use brookpass::store::state_machine::{ApplyResult, Change};
use brookpass::store::storage::{DurableStorage, NodeValue, OpenedStorage, StoreContents};
use brookpass::store::store_thread::{self, RunningStore, StoreCommand, StoreEvent};
use brookpass::time::Timestamp;
use brookpass_testkit::process::{ClockOffset, Process};
use brookpass_testkit::{eventually, http, log_lines};
use raft::eraftpb;
use redb::Database;
use std::fs;
use std::path::Path;
use stored::*;

/// The digests over all committed entries up to each of the entries 21 to 27 of the fixture.
const DIGESTS: [u32; 7] =
    [0xee5a_9c8e, 0xd71d_b247, 0x2c14_3a22, 0xb2ce_1177, 0x9e11_de07, 0x962a_59e8, 0x9204_19f3];

/// Asserts that the opened storage has all contents of the fixture.
fn assert_fixture_contents(contents: &StoreContents) {
    assert_eq!(contents.raft, raft_state());
    assert_eq!(contents.drains, pending_drains());
    assert_eq!(contents.reported_progress, reported_progress());
    assert_eq!(
        contents.gossip.as_deref().and_then(codec::decode::<PersistedGossip>),
        Some(persisted_gossip())
    );
    assert_eq!((&contents.legacy, &contents.warnings), (&None, &Vec::new()));
}

/// Index, digest, content and result of the fixture's committed entries after the snapshot, as they are applied.
fn expected_entries() -> Vec<(u64, u32, AppliedContent, ApplyResult)> {
    let entries = entries().into_iter().filter(|entry| (21..=27).contains(&entry.index));
    let content = |entry: &LogEntry| match entry.kind {
        LogEntry::CHANGE => AppliedContent::Change(codec::decode(&entry.payload).unwrap()),
        _ => AppliedContent::Membership(codec::decode(&entry.payload).unwrap()),
    };
    entries
        .zip(DIGESTS)
        .map(|(entry, digest)| (entry.index, digest, content(&entry), ApplyResult::Done))
        .collect()
}

fn comparable_entries(applied: Vec<AppliedEntry>) -> Vec<(u64, u32, AppliedContent, ApplyResult)> {
    applied.into_iter().map(|entry| (entry.index, entry.digest, entry.content, entry.result)).collect()
}

#[test]
fn opening_a_store_file_of_an_earlier_build_reads_all_its_contents() {
    let folder = empty_folder("opened");
    let path = copy_fixture(&folder, "b1.store", true);
    let OpenedStorage { storage, contents } = DurableStorage::open(&path).unwrap();
    assert_fixture_contents(&contents);
    assert_eq!(
        (storage.identity.id, storage.identity.boot_count),
        (B1, 6),
        "the boot count grows with each start"
    );
    assert_eq!(storage.read_raft_state().unwrap(), raft_state());
    drop(storage);
    let OpenedStorage { storage, contents } = DurableStorage::open(&path).unwrap();
    assert_fixture_contents(&contents);
    assert_eq!((storage.identity.id, storage.identity.boot_count), (B1, 7));
    fs::remove_dir_all(folder).unwrap();
}

/// A copy of a store file, such as the fixture, must not vote under the identity of the original.
#[test]
fn a_copied_store_file_of_an_earlier_build_is_set_aside_unchanged() {
    let folder = empty_folder("copied");
    let path = copy_fixture(&folder, "b1.store", false);
    let OpenedStorage { storage, contents } = DurableStorage::open(&path).unwrap();
    assert_ne!(storage.identity.id, B1);
    assert!(contents.raft.is_new() && contents.drains.is_empty() && contents.gossip.is_none());
    assert!(contents.warnings[0].contains("a copy of another file"), "{:?}", contents.warnings);
    drop(storage);
    assert_eq!(
        dump_store(&folder.join("b1.store.damaged")),
        dump_store(&copy_fixture(&folder, "again.store", false))
    );
    fs::remove_dir_all(folder).unwrap();
}

/// Applying the committed entries after the snapshot yields the same state and digests as in the earlier build.
#[test]
fn applying_the_log_of_an_earlier_build_yields_the_same_replicated_state() {
    let mut node = RaftNode::new(B1, raft_state()).unwrap();
    assert_eq!(node.state(), &snapshot_state());
    let mut applied_entries = Vec::new();
    while let Some(ready) = node.next_ready() {
        assert_eq!(ready.write, RaftWrite::default());
        let CompletedWrite { messages, applied } = node.complete_write(ready);
        assert_eq!(messages, []);
        applied_entries.extend(applied);
    }
    assert_eq!(comparable_entries(applied_entries), expected_entries());
    assert_eq!(node.state(), &committed_state(DIGESTS[6]));
    let configuration =
        Configuration { voters: vec![B1, B2], learners: vec![B3, B5], ..Configuration::default() };
    assert_eq!(node.configuration(), configuration);
    assert_eq!((node.applied(), node.committed(), node.last_index(), node.term()), (27, 27, 28, 4));
    assert_eq!(
        (node.persisted_vote(), node.term_at(18), node.term_at(28)),
        (Vote { term: 4, candidate: B2 }, 2, 4)
    );
}

fn next_event(events: &Receiver<StoreEvent>) -> Option<StoreEvent> {
    events.recv_blocking().ok()
}

#[test]
fn the_store_thread_loads_all_contents_of_a_store_file_of_an_earlier_build() {
    let folder = empty_folder("owner");
    let path = copy_fixture(&folder, "b1.store", true);
    let storage = DurableStorage::open(&path).unwrap();
    let RunningStore { opened, commands, events } =
        store_thread::start(storage, &Limits::for_sockets(1024)).unwrap();
    assert_eq!((opened.identity.id, opened.identity.boot_count), (B1, 6));
    assert_eq!(opened.state, snapshot_state());
    // Drains in the log after the snapshot take effect too, committed or not.
    let mut drains = pending_drains();
    drains.extend([pending_drain("s-2-0", drain_id(B3, 2)), pending_drain("s-1-0", drain_id(B2, 11))]);
    assert_eq!(opened.drains, drains);
    assert_eq!(opened.gossip.as_deref().and_then(codec::decode::<PersistedGossip>), Some(persisted_gossip()));
    assert_eq!(opened.legacy, None);
    let status = &opened.status;
    assert_eq!(
        (status.term, status.leader, status.participating),
        (4, NodeId::NONE, false),
        "its peers first compare its storage with its earlier reports"
    );
    assert_eq!((status.committed, status.applied), (27, 20));
    assert_eq!(
        (status.own_progress.boot_count, status.own_progress.term, status.own_progress.last_entry),
        (6, 4, EntryId { term: 4, index: 28 })
    );
    assert_eq!(status.reported_progress, reported_progress());
    assert_eq!(status.configuration, raft_state().snapshot.configuration);
    let mut applied_entries = Vec::new();
    while applied_entries.len() < 7 {
        if let StoreEvent::Applied(applied) = next_event(&events).unwrap() {
            applied_entries.extend(applied);
        }
    }
    assert_eq!(comparable_entries(applied_entries), expected_entries());
    drop(commands);
    while next_event(&events).is_some() {}
    fs::remove_dir_all(folder).unwrap();
}

/// Compares all tables, keys and bytes of the fixture, of the values in `stored`, and of a store that this build
/// writes.
#[test]
fn a_store_written_now_has_the_tables_keys_and_bytes_of_the_fixture() {
    let folder = empty_folder("dump");
    let mut expected: Vec<String> = [
        ("dropped", codec::encode(&(raft_state().compacted.index, raft_state().compacted.term))),
        ("form", codec::encode(&1_u32)),
        ("hard", codec::encode(&raft_state().hard_state)),
        ("identity", codec::encode(&identity())),
        ("learned", codec::encode(&codec::encode(&persisted_gossip()))),
        ("marks", codec::encode(&pending_drains())),
        ("snapshot", codec::encode(&raft_state().snapshot)),
        ("witnesses", codec::encode(&reported_progress())),
    ]
    .map(|(key, value)| format!("meta {key} = {}", hex(&value)))
    .into();
    expected.extend(
        entries().iter().map(|entry| format!("log {} = {}", entry.index, hex(&codec::encode(entry)))),
    );
    assert_eq!(dump_store(&copy_fixture(&folder, "b1.store", false)), expected);
    let path = folder.join("now.store");
    write_fixture_store(&path);
    assert_eq!(dump_store(&path), expected);
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a store thread that writes under other keys than the fixture has, or in another encoding.
#[test]
fn the_store_thread_writes_the_keys_and_bytes_of_the_fixture() {
    let folder = empty_folder("keeps");
    let path = folder.join("b1.store");
    let OpenedStorage { mut storage, contents } = DurableStorage::open(&path).unwrap();
    storage.identity.id = B1;
    storage.write(&raft_state().full_write(), &[NodeValue::Identity(&storage.identity)]).unwrap();
    let contents = StoreContents { raft: storage.read_raft_state().unwrap(), ..contents };
    let storage = OpenedStorage { storage, contents };
    let RunningStore { commands, events, .. } =
        store_thread::start(storage, &Limits::for_sockets(1024)).unwrap();
    let heartbeat = |from: NodeId, term| {
        let mut message = eraftpb::Message { from: from.0, to: B1.0, term, ..Default::default() };
        message.set_msg_type(eraftpb::MessageType::MsgHeartbeat);
        RaftMessage::from_raft(message).unwrap()
    };
    commands.send(StoreCommand::RaftMessages(vec![heartbeat(B2, 4), heartbeat(B3, 3)])).unwrap();
    let gossip = StoreCommand::PersistGossip { encoded: codec::encode(&persisted_gossip()), records: 1 };
    commands.send(gossip).unwrap();
    commands.send(StoreCommand::PersistDrains { drains: pending_drains(), version: 77 }).unwrap();
    while !matches!(next_event(&events).unwrap(), StoreEvent::DrainsPersisted(77)) {}
    drop(commands);
    while next_event(&events).is_some() {}
    let written = dump_store(&path);
    let fixture = dump_store(&copy_fixture(&folder, "fixture.store", false));
    for key in ["meta learned ", "meta marks ", "meta form ", "meta snapshot "] {
        let line_of = |lines: &[String]| lines.iter().find(|line| line.starts_with(key)).cloned();
        assert!(line_of(&written).is_some(), "{key}");
        assert_eq!(line_of(&written), line_of(&fixture));
    }
    let progress = [B2, B3].map(|id| (id, (0_u64, if id == B2 { 4_u64 } else { 3 }, (0_u64, 0_u64))));
    let progress = codec::encode(&std::collections::BTreeMap::from(progress));
    assert!(written.contains(&format!("meta witnesses = {}", hex(&progress))), "{written:#?}");
    fs::remove_dir_all(folder).unwrap();
}

/// Writes a store with the fixture's contents, using this build.
fn write_fixture_store(path: &Path) {
    let OpenedStorage { storage, .. } = DurableStorage::open(path).unwrap();
    let (identity, gossip, drains, progress) =
        (identity(), codec::encode(&persisted_gossip()), pending_drains(), reported_progress());
    let values = [
        NodeValue::Identity(&identity),
        NodeValue::Gossip(&gossip),
        NodeValue::PendingDrains(&drains),
        NodeValue::ReportedProgress(&progress),
    ];
    storage.write(&raft_state().full_write(), &values).unwrap();
    drop(storage);
    let mut db = Database::open(path).unwrap();
    while db.compact().unwrap() {}
}

#[test]
#[ignore = "writes the fixture with this build; run it only for a store format that has no fixture yet"]
fn write_the_store_file() {
    let path = empty_folder("made").join("member.store");
    write_fixture_store(&path);
    println!("{}: {} bytes", path.display(), fs::metadata(&path).unwrap().len());
}

fn legacy_text() -> String {
    fs::read_to_string(fixtures().join("store-0.2.0.txt")).unwrap()
}

/// The contents of tests/fixtures/store-0.2.0.txt.
fn legacy_store() -> LegacyStore {
    LegacyStore {
        hosts: vec![
            named("odd\tname\\x", HostRecord { draining: true, ..host("127.0.0.1:7003", 70_000, 201, 0.75) }),
            named(
                "s-1",
                HostRecord {
                    started_at: Some(Timestamp::from_micros(1_780_000_000_123_000)),
                    ..host("127.0.0.1:7001", 1, 0, 0.5)
                },
            ),
            named("s-2", host("[fd00::8]:7002", 2, 1, 2.0)),
        ],
        hosts_changed_at: Timestamp::from_micros(1_780_000_000_333_444),
        drains: vec!["s-1".into(), "odd\tname\\x".into(), "s-4".into()],
        settings: Some(LegacySettings {
            text: "limits.probes=true\nnote=tab\there, backslash \\, return\r, literal \\n\n".into(),
            changed_at: Timestamp::from_micros(1_780_000_000_111_222),
        }),
    }
}

#[test]
fn every_line_and_escape_of_the_legacy_text_format_is_parsed() {
    assert_eq!(legacy::parse(&legacy_text()), Ok(legacy_store()));
    let store = legacy_store();
    let LegacySettings { text, changed_at } = store.settings.clone().unwrap();
    assert_eq!(
        store.changes("b1"),
        [
            Change::Settings { read_by: "b1".into(), changed_at, text },
            Change::Inventory {
                read_by: "b1".into(),
                changed_at: Timestamp::from_micros(1_780_000_000_333_444),
                base_version: 0,
                upserts: store.hosts,
                removals: Vec::new(),
            },
        ]
    );
}

#[test]
fn a_legacy_text_store_is_imported_once_and_its_file_is_kept() {
    let folder = empty_folder("old");
    let path = folder.join("b1.store");
    fs::write(&path, legacy_text()).unwrap();
    let OpenedStorage { storage, contents } = DurableStorage::open(&path).unwrap();
    assert_eq!(contents.legacy, Some(legacy_store()));
    assert!(
        contents.raft.is_new() && contents.drains.is_empty() && contents.warnings.len() == 1,
        "{:?}",
        contents.warnings
    );
    drop(storage);
    assert_eq!(fs::read_to_string(folder.join("b1.store.old")).unwrap(), legacy_text());
    assert_eq!(DurableStorage::open(&path).unwrap().contents.legacy, None, "imported once only");
    fs::remove_dir_all(folder).unwrap();
}

const OPERATOR_FILE: &str = "name: b1\nnumber: 3\nsparql:\n  listen: 127.0.0.1:0\n  query: fixture-read\n  \
    update: fixture-write\nstore:\n  listen: 127.0.0.1:0\n  snapshot: fleet.store\nzones: [z-0, z-1, z-2]\n";

/// Runs the program on the fixture without any of its peers: it serves by the last committed state, and drains that are
/// pending or in its log take effect.
#[test]
#[expect(clippy::too_many_lines, reason = "lists the lines of the expected answers")]
fn the_program_serves_hosts_drains_members_and_settings_of_an_earlier_builds_store() {
    let folder = empty_folder("program");
    let path = copy_fixture(&folder, "fleet.store", true);
    // Saved gossip is discarded after an hour, so its time of writing is set to now.
    let mut gossip = persisted_gossip();
    gossip.written_at.wall = Timestamp::from_micros(brookpass_testkit::Timestamp::now().as_micros());
    put_meta(&path, "learned", &codec::encode(&codec::encode(&gossip)));
    let operator_file = folder.join("operator.yaml");
    fs::write(&operator_file, OPERATOR_FILE).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_brookpass"));
    let mut process =
        Process::start(program, &["--operator", &operator_file.to_string_lossy()], ClockOffset::NONE);
    let store = process.wait_for_address(log_lines::STORE_LISTENING);
    let get = |path: &str| {
        let answer = http::call(store, "GET", path).unwrap();
        assert_eq!(answer.status(), 200);
        answer.text()
    };
    eventually("the log is applied", || get("/fleet").contains("agreed 27 applied 27 "));
    assert_eq!(
        get("/hosts").trim_end().lines().collect::<Vec<_>>(),
        [
            "s-1-0 127.0.0.1:10 1 0 1 leaving 0",
            "s-1-1 127.0.0.1:11 1 1 0.5 leaving 0",
            "s-1-2 [::1]:12 1 2 2.25 active 1780000000333",
            "s-2-0 127.0.0.1:20 2 0 1 leaving 0",
            "s-2-2 127.0.0.1:22 2 2 1 leaving 0",
            "s-3-0 127.0.0.1:30 3 0 4 active 0",
        ]
    );
    let fleet = get("/fleet");
    for line in [
        "fleet f1ee7000000000000000000000000042",
        "daemon b1 1b1b000000000001 voter",
        "leader none term 4",
        &format!("agreed 27 applied 27 digest {:08x} lag 0", DIGESTS[6]),
        "serves with what was last agreed: no majority is known",
        "lost group 1 after 1780000000100 up to 1780000000200",
        "lost group 2 after 1780000000300 up to 1780000000400",
        "unagreed drain s-1-0 said by b1 10",
        "unagreed drain s-1-0 said by b2 11",
        "unagreed drain s-2-0 said by b1 9",
        "drain s-1-1",
        "drain s-2-0",
        "settings of b2 changed 1790000000111 version 12",
        "inventory of b3 changed 1790000000666 version 27 hosts 6; no file of its own",
        "member b1 1b1b000000000001 127.0.0.1:1 voter this daemon",
        "member b2 2b2b000000000002 127.0.0.1:2 voter never heard",
        "member b3 3b3b000000000003 [::1]:3 follower never heard",
        "member b5 5b5b000000000005 127.0.0.1:5 follower never heard",
        "removed b8 8b8b000000000008",
        "removed b7 7b7b000000000007",
    ] {
        assert!(fleet.lines().any(|answered| answered == line), "{line:?} is not in\n{fleet}");
    }
    let count_lines = |start: &str| fleet.lines().filter(|line| line.starts_with(start)).count();
    let counts = ["drain ", "unagreed drain ", "member ", "removed ", "lost "].map(count_lines);
    assert_eq!(counts, [2, 3, 4, 2, 2], "{fleet}");
    let zones = get("/zones");
    let weights: Vec<_> = zones.lines().map(|line| line.split(';').next().unwrap()).collect();
    assert_eq!(
        weights,
        [
            "zone z-0 gets 1000 of 1000, agreed 1000 by move 0, Returns, failed 0",
            "zone z-1 gets 250 of 1000, agreed 250 by move 2, Lost, failed 3",
            "zone z-2 gets 0 of 1000, agreed 0 by move 3, Operator, failed 0",
        ]
    );
    let regions: Vec<_> = zones.lines().map(|line| line.split(" of region ").nth(1).unwrap()).collect();
    assert_eq!(regions, ["north", "north", "south"]);
    let gossip = get("/fleet/learned");
    assert!(gossip.starts_with("group 1 guess s-1-0 from before this start, "), "{gossip}");
    assert_eq!(gossip.lines().count(), 1, "{gossip}");
    // The services that the operator's file names are defined only in the committed settings, so serving shows that
    // these were read.
    process.wait_for_line(log_lines::SERVING_WITHOUT_MAJORITY);
    assert!(process.is_running());
    drop(process);
    fs::remove_dir_all(folder).unwrap();
}
