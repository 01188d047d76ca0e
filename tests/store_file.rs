//! Files of stores that earlier builds wrote: the whole state in them is read, a store written now lies on the disk as
//! they do, and the program serves from one. tests/fixtures/README.md tells how the files were made.

mod stored;

use async_channel::Receiver;
use brookpass::config::Limits;
use brookpass::fleet::recovery::Saved;
use brookpass::ids::NodeId;
use brookpass::store::legacy::{self, Legacy};
use brookpass::store::raft_node::{Applied, Replica, What, Write};
use brookpass::store::records::{self, Conf, HostRecord, Letter, LogEntry};
use brookpass::store::state_machine::{Change, Effect};
use brookpass::store::storage::{Disk, Held};
use brookpass::store::store_thread::{self, Input, Output};
use brookpass::time::Timestamp;
use brookpass_testkit::process::{ClockOffset, Process};
use brookpass_testkit::{eventually, http, log_lines};
use raft::eraftpb;
use redb::Database;
use std::fs;
use std::path::Path;
use stored::*;

/// Check sums over all that was agreed, after the entries 21 to 27 of the fixture.
const DIGESTS: [u32; 7] =
    [0xee5a_9c8e, 0xd71d_b247, 0x2c14_3a22, 0xb2ce_1177, 0x9e11_de07, 0x962a_59e8, 0x9204_19f3];

/// What the fixture's disk must hold, as one opens it.
fn assert_held(held: &Held) {
    assert_eq!(held.image, image());
    assert_eq!(held.marks, marks());
    assert_eq!(held.witnesses, witnesses());
    assert_eq!(held.learned.as_deref().and_then(records::read::<Saved>), Some(saved()));
    assert_eq!((&held.legacy, &held.notes), (&None, &Vec::new()));
}

/// What the fixture's entries after the snapshot are taken in as.
fn wanted() -> Vec<(u64, u32, What, Effect)> {
    let entries = entries().into_iter().filter(|e| (21..=27).contains(&e.index));
    let what = |e: &LogEntry| match e.kind {
        0 => What::Change(records::read(&e.bytes).unwrap()),
        _ => What::Members(records::read(&e.bytes).unwrap()),
    };
    entries.zip(DIGESTS).map(|(e, digest)| (e.index, digest, what(&e), Effect::Done)).collect()
}

fn taken_in(applied: Vec<Applied>) -> Vec<(u64, u32, What, Effect)> {
    applied.into_iter().map(|a| (a.index, a.digest, a.what, a.effect)).collect()
}

#[test]
fn a_store_file_of_an_earlier_build_is_opened_whole() {
    let folder = folder("opened");
    let path = copy(&folder, "b1.store", true);
    let (disk, held) = Disk::open(&path).unwrap();
    assert_held(&held);
    assert_eq!((disk.identity.id, disk.identity.boots), (B1, 6), "one start more");
    assert_eq!(disk.image().unwrap(), image());
    drop(disk);
    let (disk, held) = Disk::open(&path).unwrap();
    assert_held(&held);
    assert_eq!((disk.identity.id, disk.identity.boots), (B1, 7));
    fs::remove_dir_all(folder).unwrap();
}

/// The file as it lies in the fixtures is a copy, and a copy must not vote under the identity of the original.
#[test]
fn a_copied_store_file_of_an_earlier_build_is_set_aside_unchanged() {
    let folder = folder("copied");
    let path = copy(&folder, "b1.store", false);
    let (disk, held) = Disk::open(&path).unwrap();
    assert_ne!(disk.identity.id, B1);
    assert!(held.image.is_new() && held.marks.is_empty() && held.learned.is_none());
    assert!(held.notes[0].contains("a copy of another file"), "{:?}", held.notes);
    drop(disk);
    assert_eq!(dump(&folder.join("b1.store.damaged")), dump(&copy(&folder, "again.store", false)));
    fs::remove_dir_all(folder).unwrap();
}

/// The agreed entries after the snapshot make the same state, with the same check sums, as they did then.
#[test]
fn the_log_of_an_earlier_build_makes_the_same_agreed_state() {
    let mut replica = Replica::new(B1, image()).unwrap();
    assert_eq!(replica.state(), &snapshot_state());
    let mut all = Vec::new();
    while let Some(pending) = replica.step() {
        assert_eq!(pending.write, Write::default());
        let (letters, applied) = replica.written(pending);
        assert_eq!(letters, []);
        all.extend(applied);
    }
    assert_eq!(taken_in(all), wanted());
    assert_eq!(replica.state(), &agreed_state(DIGESTS[6]));
    let conf = Conf { voters: vec![B1, B2], learners: vec![B3, B5], ..Conf::default() };
    assert_eq!(replica.conf(), conf);
    assert_eq!((replica.applied(), replica.agreed(), replica.last()), (27, 27, (28, 4)));
    assert_eq!((replica.written_vote(), replica.term_at(18), replica.term_at(28)), ((4, B2), 2, 4));
}

fn next(outputs: &Receiver<Output>) -> Option<Output> {
    outputs.recv_blocking().ok()
}

#[test]
fn the_owner_starts_on_a_store_file_of_an_earlier_build_with_all_that_it_holds() {
    let folder = folder("owner");
    let path = copy(&folder, "b1.store", true);
    let (disk, held) = Disk::open(&path).unwrap();
    let (opened, inputs, outputs) = store_thread::start(disk, held, &Limits::for_sockets(1024)).unwrap();
    assert_eq!((opened.identity.id, opened.identity.boots), (B1, 6));
    assert_eq!(opened.state, snapshot_state());
    // Drains in the log after the snapshot act as well, agreed or not.
    let mut drains = marks();
    drains.extend([("s-2-0".to_string(), mark(B3, 2)), ("s-1-0".to_string(), mark(B2, 11))]);
    assert_eq!(opened.marks, drains);
    assert_eq!(opened.learned.as_deref().and_then(records::read::<Saved>), Some(saved()));
    assert_eq!(opened.legacy, None);
    let status = &opened.status;
    assert_eq!(
        (status.term, status.leader, status.part),
        (4, NodeId::NOBODY, false),
        "others are asked first"
    );
    assert_eq!((status.agreed, status.applied), (27, 20));
    assert_eq!((status.witness.boots, status.witness.term, status.witness.last), (6, 4, (4, 28)));
    assert_eq!(status.witnesses, witnesses());
    assert_eq!(status.conf, image().snapshot.conf);
    let mut all = Vec::new();
    while all.len() < 7 {
        if let Output::Applied(applied) = next(&outputs).unwrap() {
            all.extend(applied);
        }
    }
    assert_eq!(taken_in(all), wanted());
    drop(inputs);
    while next(&outputs).is_some() {}
    fs::remove_dir_all(folder).unwrap();
}

/// All tables, keys and bytes: those of the fixture, of the values in the tests, and of a store that is written now.
#[test]
fn a_store_written_now_has_the_tables_keys_and_bytes_of_the_fixture() {
    let folder = folder("dump");
    let mut wanted: Vec<String> = [
        ("dropped", records::write(&image().dropped)),
        ("form", records::write(&1_u32)),
        ("hard", records::write(&image().hard)),
        ("identity", records::write(&identity())),
        ("learned", records::write(&records::write(&saved()))),
        ("marks", records::write(&marks())),
        ("snapshot", records::write(&image().snapshot)),
        ("witnesses", records::write(&witnesses())),
    ]
    .map(|(key, value)| format!("meta {key} = {}", hex(&value)))
    .into();
    wanted.extend(entries().iter().map(|e| format!("log {} = {}", e.index, hex(&records::write(e)))));
    assert_eq!(dump(&copy(&folder, "b1.store", false)), wanted);
    let path = folder.join("now.store");
    make(&path);
    assert_eq!(dump(&path), wanted);
    fs::remove_dir_all(folder).unwrap();
}

/// The owner writes under the same keys, in the same form, as the fixture has them.
#[test]
fn what_the_owner_keeps_lies_under_the_keys_of_the_fixture() {
    let folder = folder("keeps");
    let path = folder.join("b1.store");
    let (mut disk, held) = Disk::open(&path).unwrap();
    disk.identity.id = B1;
    disk.write(&image().whole(), &[("identity", records::write(&disk.identity))]).unwrap();
    let held = Held { image: disk.image().unwrap(), ..held };
    let (_, inputs, outputs) = store_thread::start(disk, held, &Limits::for_sockets(1024)).unwrap();
    let heartbeat = |from: NodeId, term| {
        let mut m = eraftpb::Message { from: from.0, to: B1.0, term, ..Default::default() };
        m.set_msg_type(eraftpb::MessageType::MsgHeartbeat);
        Letter::of(m).unwrap()
    };
    inputs.send(Input::Letters(vec![heartbeat(B2, 4), heartbeat(B3, 3)])).unwrap();
    inputs.send(Input::Learned(records::write(&saved()))).unwrap();
    inputs.send(Input::Marks(marks(), 77)).unwrap();
    while !matches!(next(&outputs).unwrap(), Output::Saved(77)) {}
    drop(inputs);
    while next(&outputs).is_some() {}
    let kept = dump(&path);
    let fixture = dump(&copy(&folder, "fixture.store", false));
    for key in ["meta learned ", "meta marks ", "meta form ", "meta snapshot "] {
        let of = |lines: &[String]| lines.iter().find(|l| l.starts_with(key)).cloned();
        assert!(of(&kept).is_some(), "{key}");
        assert_eq!(of(&kept), of(&fixture));
    }
    let heard = [B2, B3].map(|id| (id, (0_u64, if id == B2 { 4_u64 } else { 3 }, (0_u64, 0_u64))));
    let heard = records::write(&std::collections::BTreeMap::from(heard));
    assert!(kept.contains(&format!("meta witnesses = {}", hex(&heard))), "{kept:#?}");
    fs::remove_dir_all(folder).unwrap();
}

/// Writes the fixture's store with this build.
fn make(path: &Path) {
    let (disk, _) = Disk::open(path).unwrap();
    let more = [
        ("identity", records::write(&identity())),
        ("learned", records::write(&records::write(&saved()))),
        ("marks", records::write(&marks())),
        ("witnesses", records::write(&witnesses())),
    ];
    disk.write(&image().whole(), &more).unwrap();
    drop(disk);
    let mut db = Database::open(path).unwrap();
    while db.compact().unwrap() {}
}

#[test]
#[ignore = "writes the file with this build: only for a form that the fixtures do not have yet"]
fn write_the_store_file() {
    let path = folder("made").join("member.store");
    make(&path);
    println!("{}: {} bytes", path.display(), fs::metadata(&path).unwrap().len());
}

fn old_text() -> String {
    fs::read_to_string(fixtures().join("store-0.2.0.txt")).unwrap()
}

/// What tests/fixtures/store-0.2.0.txt says.
fn old_store() -> Legacy {
    Legacy {
        hosts: vec![
            (
                "odd\tname\\x".into(),
                HostRecord { leaving: true, ..host("127.0.0.1:7003", 70_000, 201, 0.75) },
            ),
            (
                "s-1".into(),
                HostRecord {
                    started_at: Some(Timestamp::from_micros(1_780_000_000_123_000)),
                    ..host("127.0.0.1:7001", 1, 0, 0.5)
                },
            ),
            ("s-2".into(), host("[fd00::8]:7002", 2, 1, 2.0)),
        ],
        hosts_changed: Timestamp::from_micros(1_780_000_000_333_444),
        drains: vec!["s-1".into(), "odd\tname\\x".into(), "s-4".into()],
        settings: Some((
            "limits.probes=true\nnote=tab\there, backslash \\, return\r, literal \\n\n".into(),
            Timestamp::from_micros(1_780_000_000_111_222),
        )),
    }
}

#[test]
fn every_line_and_escape_of_the_old_text_form_is_read() {
    assert_eq!(legacy::parse(&old_text()), Ok(old_store()));
    let old = old_store();
    let (text, changed) = old.settings.clone().unwrap();
    assert_eq!(
        old.changes("b1"),
        [
            Change::Settings { by: "b1".into(), changed, text },
            Change::Inventory {
                by: "b1".into(),
                changed: Timestamp::from_micros(1_780_000_000_333_444),
                base: 0,
                set: old.hosts,
                gone: Vec::new(),
            },
        ]
    );
}

#[test]
fn a_disk_takes_over_a_store_of_the_old_text_form_and_keeps_the_file() {
    let folder = folder("old");
    let path = folder.join("b1.store");
    fs::write(&path, old_text()).unwrap();
    let (disk, held) = Disk::open(&path).unwrap();
    assert_eq!(held.legacy, Some(old_store()));
    assert!(held.image.is_new() && held.marks.is_empty() && held.notes.len() == 1, "{:?}", held.notes);
    drop(disk);
    assert_eq!(fs::read_to_string(folder.join("b1.store.old")).unwrap(), old_text());
    assert_eq!(Disk::open(&path).unwrap().1.legacy, None, "once");
    fs::remove_dir_all(folder).unwrap();
}

const OPERATOR: &str = "name: b1\nnumber: 3\nsparql:\n  listen: 127.0.0.1:0\n  query: fixture-read\n  \
    update: fixture-write\nstore:\n  listen: 127.0.0.1:0\n  snapshot: fleet.store\nzones: [z-0, z-1, z-2]\n";

/// The program on the fixture, without any of the others: it serves by what was last agreed, and drains that are in
/// its marks or in its log act.
#[test]
fn the_program_serves_hosts_drains_members_and_settings_of_an_earlier_builds_store() {
    let folder = folder("program");
    let path = copy(&folder, "fleet.store", true);
    // What was learned is worth nothing after an hour: here it was written now.
    let mut learned = saved();
    learned.at.wall = Timestamp::from_micros(brookpass_testkit::Timestamp::now().as_micros());
    put(&path, "learned", &records::write(&records::write(&learned)));
    let file = folder.join("operator.yaml");
    fs::write(&file, OPERATOR).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_brookpass"));
    let mut process = Process::start(program, &["--operator", &file.to_string_lossy()], ClockOffset::NONE);
    let store = process.wait_for_address(log_lines::STORE_LISTENING);
    let get = |path: &str| {
        let answer = http::call(store, "GET", path).unwrap();
        assert_eq!(answer.status(), 200);
        answer.text()
    };
    eventually("the log is taken in", || get("/fleet").contains("agreed 27 applied 27 "));
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
        assert!(fleet.lines().any(|l| l == line), "{line:?} is not in\n{fleet}");
    }
    let counted = |start: &str| fleet.lines().filter(|l| l.starts_with(start)).count();
    let counts = ["drain ", "unagreed drain ", "member ", "removed ", "lost "].map(counted);
    assert_eq!(counts, [2, 3, 4, 2, 2], "{fleet}");
    let zones = get("/zones");
    let shares: Vec<_> = zones.lines().map(|l| l.split(';').next().unwrap()).collect();
    assert_eq!(
        shares,
        [
            "zone z-0 gets 1000 of 1000, agreed 1000 by move 0, Returns, failed 0",
            "zone z-1 gets 250 of 1000, agreed 250 by move 2, Lost, failed 3",
            "zone z-2 gets 0 of 1000, agreed 0 by move 3, Operator, failed 0",
        ]
    );
    let regions: Vec<_> = zones.lines().map(|l| l.split(" of region ").nth(1).unwrap()).collect();
    assert_eq!(regions, ["north", "north", "south"]);
    let learned = get("/fleet/learned");
    assert!(learned.starts_with("group 1 guess s-1-0 from before this start, "), "{learned}");
    assert_eq!(learned.lines().count(), 1, "{learned}");
    // The services that the operator's file asks for are named by the agreed settings only.
    process.wait_for_line(log_lines::SERVING_WITHOUT_MAJORITY);
    assert!(process.is_running());
    drop(process);
    fs::remove_dir_all(folder).unwrap();
}
