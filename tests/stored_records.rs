//! The bytes of every record that a store holds. A disk that commit 029518c wrote must be read by every later build,
//! and what a later build writes must be read by that one: values and bytes are compared both ways.

mod stored;

use brookpass::ids::{GroupId, NodeId, ZoneId};
use brookpass::store::codec;
use brookpass::store::records::{Conf, Hard, HostRecord, LogEntry, SnapshotRecord, Step};
use brookpass::store::state_machine::{Change, Membership, State};
use brookpass::store::storage::{Identity, Marks, Witness};
use brookpass::store::zone_weights::Why;
use brookpass::time::Timestamp;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use stored::*;

/// What is wrong with what some bytes are read as.
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
    let bytes = codec::write(&value);
    let fault = move |bytes: &[u8]| {
        let read: Option<T> = codec::read(bytes);
        (read.as_ref() != Some(&value)).then(|| format!("{read:?} is read, not {value:?}"))
    };
    Record { name, bytes, fault: Box::new(fault) }
}

fn full_host() -> HostRecord {
    HostRecord {
        address: address("10.1.2.3:7001"),
        group: GroupId(70_000),
        zone: ZoneId(201),
        weight: 0.75,
        leaving: true,
        started_at: Some(Timestamp::from_micros(1_780_000_000_000_123)),
    }
}

fn conf() -> Conf {
    Conf {
        voters: vec![NodeId(1), NodeId(300)],
        learners: vec![NodeId(3)],
        voters_outgoing: vec![NodeId(4), NodeId(5), NodeId(6)],
        learners_next: vec![NodeId(7)],
        auto_leave: true,
    }
}

/// A state with something in every field, and zones with a share for every reason.
fn full_state() -> State {
    let mut state = snapshot_state();
    state.founders = BTreeSet::from(["b8".to_string(), "b9".to_string()]);
    state.hosts.insert("s-9".into(), full_host());
    state.zones = BTreeMap::from([
        (ZoneId(3), share(1000, Why::Returns, 41, 1)),
        (ZoneId(4), share(0, Why::Lost, 42, 2)),
        (ZoneId(5), share(750, Why::Slow, 43, 3)),
        (ZoneId(6), share(125, Why::Operator, 44, 4)),
    ]);
    state
}

fn changes() -> Vec<(&'static str, &'static str, Change)> {
    vec![
        ("change-drain", "proposal-drain", drain("s-1-1", mark(B2, 513))),
        (
            "change-undrain",
            "proposal-undrain",
            Change::Undrain { host: "s-1-2".into(), marks: vec![mark(B1, 6), mark(B3, 7)] },
        ),
        (
            "change-inventory",
            "proposal-inventory",
            Change::Inventory {
                by: "b2".into(),
                changed: Timestamp::from_micros(1_790_000_000_000_321),
                base: 77,
                set: vec![("s-9".into(), full_host()), ("s-8".into(), host("[fd00::8]:7002", 8, 2, 1.5))],
                gone: vec!["s-6".into(), "s-7".into()],
            },
        ),
        (
            "change-settings",
            "proposal-settings",
            Change::Settings {
                by: "b3".into(),
                changed: Timestamp::from_micros(-5),
                text: "limits.probes=true\nservices.count=1\n".into(),
            },
        ),
        (
            "change-zone",
            "proposal-zone",
            Change::Zone { zone: ZoneId(9), share: share(333, Why::Operator, 1_000, 12) },
        ),
        (
            "change-regions",
            "proposal-regions",
            Change::Regions {
                by: "b1".into(),
                changed: Timestamp::from_micros(1_790_000_000_000_654),
                regions: BTreeMap::from([(ZoneId(1), "north".to_string()), (ZoneId(2), "süd".to_string())]),
            },
        ),
    ]
}

fn records() -> Vec<Record> {
    let membership = |steps, comes| Membership { steps, comes };
    let mut all = vec![
        record("form", 1_u32),
        record("dropped", (18_u64, 2_u64)),
        record("identity", Identity { id: B1, boots: 5, place: (2049, 131_072) }),
        record("hard", Hard { term: 4, vote: B2, commit: 1_000 }),
        record("conf", conf()),
        record(
            "snapshot",
            SnapshotRecord { index: 20, term: 3, conf: conf(), state: codec::write(&full_state()) },
        ),
        record("witness", Witness { boots: 3, term: 4, last: (5, 600) }),
        record("witnesses", witnesses()),
        record("marks", marks()),
        record::<Marks>("marks-none", Vec::new()),
        record("saved", saved()),
        record("learned", codec::write(&saved())),
        record("host", full_host()),
        record("host-v6-unstarted", host("[fd00::8]:7002", 8, 2, 1.5)),
        record("entry-change", LogEntry { index: 300, term: 9, kind: 0, bytes: vec![1, 2, 0xff] }),
        record("entry-members", LogEntry { index: 301, term: 10, kind: 2, bytes: vec![3] }),
        record("entry-empty", LogEntry { index: 302, term: 11, kind: 0, bytes: Vec::new() }),
        record("step-vote", Step::Vote(B2)),
        record("step-follow", Step::Follow(B3)),
        record("step-remove", Step::Remove(B8)),
        record("membership-vote", membership(vec![Step::Vote(B2)], None)),
        record(
            "membership-all",
            membership(
                vec![Step::Vote(B2), Step::Follow(B5), Step::Remove(B8)],
                Some((B5, member("b5", "127.0.0.1:5"))),
            ),
        ),
        record("why-returns", Why::Returns),
        record("why-lost", Why::Lost),
        record("why-slow", Why::Slow),
        record("why-operator", Why::Operator),
        record("share", share(875, Why::Slow, 400, 7)),
        record("mark", mark(B3, 70_000)),
        record("member-v6", member("b3", "[::1]:3")),
        record("source", source("b2", -9, 10)),
        record("state-new", State::default()),
        record("state", full_state()),
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

/// Guards against a record that is taken out of the tests and whose bytes nobody compares any more.
#[test]
fn every_line_of_the_fixture_is_compared() {
    let compared: BTreeSet<String> = records().iter().map(|r| r.name.to_string()).collect();
    let earlier = ["state-without-regions", "state-without-shares"].map(String::from);
    let compared: BTreeSet<String> = compared.into_iter().chain(earlier).collect();
    assert_eq!(golden().into_keys().collect::<BTreeSet<_>>(), compared);
}

fn without_regions() -> State {
    State { regions: Default::default(), ..full_state() }
}

fn without_shares() -> State {
    State { zones: BTreeMap::new(), ..without_regions() }
}

/// The bytes of a state from which the last `missing` ones are cut, as a version wrote it that lacked these fields.
fn earlier(state: &State, missing: usize) -> Vec<u8> {
    let bytes = codec::write(state);
    let body = &bytes[4..bytes.len() - missing];
    [&crc32fast::hash(body).to_be_bytes()[..], body].concat()
}

#[test]
fn a_state_that_was_written_before_regions_or_shares_is_read_whole() {
    let golden = golden();
    for (name, wanted) in
        [("state-without-regions", without_regions()), ("state-without-shares", without_shares())]
    {
        assert_eq!(codec::read::<State>(&golden[name]), None, "{name} is of an earlier form");
        assert_eq!(State::read(&golden[name]), Some(wanted), "{name}");
    }
    assert_eq!(State::read(&golden["state"]), Some(full_state()));
    assert_eq!(State::read(&golden["state-new"]), Some(State::default()));
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
