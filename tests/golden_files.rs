//! The files that operators and the platform write: every key, read into the value that it stands for. The names of
//! fields in the program may change, the keys and what they mean may not.

use brookpass::config::Limits;
use brookpass::daemon::file::{self, Operator, StoreConfig};
use brookpass::engine::endpoints::{EndpointRecord, EndpointUpdate};
use brookpass::fleet::zones::Dwell;
use brookpass::fleet::zoning::Leaving;
use brookpass::inventory::{self, Inventory};
use brookpass::json::{self, Platform};
use brookpass::net::sparql::front::Service;
use brookpass::routing::settings_parser;
use brookpass::routing::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

const SETTINGS: &str = include_str!("fixtures/settings-every-key.txt");
const CSV: &str = include_str!("fixtures/inventory-every-column.csv");
const YAML: &str = include_str!("fixtures/inventory-every-key.yaml");
const PLATFORM: &str = include_str!("fixtures/platform-every-key.json");
const PAIRS: &str = include_str!("fixtures/operator-every-key.pairs");

fn fixture(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// A stated length of time.
fn micros(micros: i64) -> Option<TimeDelta> {
    Some(TimeDelta::from_micros(micros))
}

fn at(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// What the file of settings states. A field that is added fails to compile here until it has a line in the file.
fn stated_settings() -> Settings {
    let keyword = |keyword: &str| keyword.to_string();
    Settings {
        pooler_count: Some(3),
        me: Some(2),
        zone: Some(ZoneId(1)),
        step: micros(5_000),
        classes: stated_classes(),
        tenants: vec![Tenant { quota_per_s: Some(40.0) }, Tenant { quota_per_s: Some(41.5) }],
        over_quota_priority_weight: Some(0.3),
        must_subscribe: Some(true),
        list_request_interval: micros(30_000_000),
        may_hedge: Some(true),
        may_cancel: Some(false),
        may_probe: Some(true),
        peer_messages: Some(false),
        may_send_retry_after: Some(true),
        max_retry_after: micros(1_100_000),
        max_attempts: Some(8),
        connect_timeout: micros(220_000),
        answer_grace: micros(50_000),
        drain_grace: micros(150_000),
        only_stated_drain_binds: Some(true),
        cold_capacity: Some(0.35),
        warm_up: micros(16_000_000),
        overload_multiple: Some(4.0),
        overload_window: micros(1_750_000),
        replication_lag_policy: Some(ReplicationLagPolicy::WaitThenReject),
        catch_up_timeout: micros(450_000),
        session_tracking: Some(SessionTracking::Carried),
        zero: Some(Timestamp::from_micros(12_500_000)),
        report_fields: ["x0", "x1", "up", "util"].map(keyword).to_vec(),
        cross_zone_cost: Some(0.01),
        probe_cost: Some(0.02),
        waste_cost: Some(0.03),
    }
}

fn stated_classes() -> Vec<Class> {
    let read = Class {
        latency_objective: micros(250_000),
        latency_objective_per_work: Some(1.5),
        deadline: micros(2_500_000),
        priority_weight: Some(3.0),
        late_priority_weight: Some(0.2),
        idempotency: Some(Idempotency::Idempotent),
        key_scope: Some(KeyScope::AllEndpoints),
        key_window: micros(1_200_000),
        consistency: Some(Consistency::Bounded),
        max_age: micros(800_000),
    };
    let write = Class {
        latency_objective: micros(600_000),
        latency_objective_per_work: Some(2.5),
        deadline: micros(2_750_000),
        priority_weight: Some(6.0),
        late_priority_weight: Some(0.5),
        idempotency: Some(Idempotency::Keyed),
        key_scope: Some(KeyScope::Group),
        key_window: micros(1_250_000),
        consistency: Some(Consistency::Write),
        max_age: micros(900_000),
    };
    vec![read, write]
}

/// Guards against a setting that is read from another key, into another field or in another unit.
#[test]
fn every_settings_key_is_read_into_its_field() {
    let read = settings_parser::parse(SETTINGS).unwrap();
    // Their debug texts name every field with its value.
    assert_eq!(format!("{read:#?}"), format!("{:#?}", stated_settings()));
}

/// Guards against a line of the file above that nothing reads: without it some field must be another one.
#[test]
fn every_settings_key_counts() {
    let whole = format!("{:?}", settings_parser::parse(SETTINGS).unwrap());
    // Names belong to those who read the pairs; the report says by itself how it comes.
    let named = |line: &&str| line.contains(".name=");
    let lines: Vec<&str> = SETTINGS.lines().collect();
    for line in lines.iter().filter(|l| !named(l)) {
        let without: String = lines.iter().filter(|l| *l != line).map(|l| format!("{l}\n")).collect();
        assert_ne!(format!("{:?}", settings_parser::parse(&without).unwrap()), whole, "{line}");
    }
}

/// Guards against a keyword of a setting that means something else.
#[test]
fn every_keyword_of_a_setting_means_what_it_meant() {
    let class = |line: &str| {
        let class = settings_parser::parse(&format!("services.count=1\n{line}\n")).unwrap().classes.remove(0);
        (class.idempotency, class.key_scope, class.consistency)
    };
    for (keyword, idempotency) in [
        ("repeatable", Idempotency::Idempotent),
        ("by_key", Idempotency::Keyed),
        ("once", Idempotency::NonIdempotent),
    ] {
        assert_eq!(class(&format!("services.0.repeat={keyword}")), (Some(idempotency), None, None));
    }
    for (keyword, key_scope) in
        [("all", KeyScope::AllEndpoints), ("cell", KeyScope::Group), ("zone", KeyScope::Zone)]
    {
        assert_eq!(class(&format!("services.0.group={keyword}")), (None, Some(key_scope), None));
    }
    for (keyword, consistency) in [
        ("mutate", Consistency::Write),
        ("strong", Consistency::Strong),
        ("causal", Consistency::Session),
        ("lag_bound", Consistency::Bounded),
        ("eventual", Consistency::Eventual),
    ] {
        assert_eq!(class(&format!("family-info.consistency={keyword}")), (None, None, Some(consistency)));
    }
    let read = |line: &str| settings_parser::parse(line).unwrap();
    for (keyword, policy) in [
        ("none", ReplicationLagPolicy::ServeStale),
        ("bounce", ReplicationLagPolicy::Reject),
        ("await", ReplicationLagPolicy::WaitThenReject),
    ] {
        assert_eq!(read(&format!("family-info.behind={keyword}")).replication_lag_policy, Some(policy));
    }
    for (keyword, tracking) in [("brought", SessionTracking::Carried), ("kept", SessionTracking::Remembered)]
    {
        assert_eq!(read(&format!("family-info.session-marks={keyword}")).session_tracking, Some(tracking));
    }
    for (keyword, must_subscribe) in [("subscribe", true), ("automatic", false)] {
        assert_eq!(read(&format!("discovery={keyword}")).must_subscribe, Some(must_subscribe));
    }
}

/// Guards against a key of the operator's file that is read into another field, with another default path or in
/// another unit, and against settings that reach the fleet's store as other pairs.
#[test]
fn every_key_of_the_operators_file_is_read_into_its_field() {
    let path = fixture("operator-every-key.yaml");
    let Operator {
        path: own,
        name,
        number,
        listen,
        admin,
        host_path,
        service,
        store,
        inventory,
        zones,
        leaving,
        sockets,
        settings,
        changed,
    } = file::load(&path).unwrap();
    assert_eq!((own, name.as_str(), number, sockets), (path, "b7", 3, 2048));
    assert_eq!((listen, admin), (at("127.0.0.1:9001"), Some(at("127.0.0.1:9006"))));
    let Service { path, query, session, update, group } = service;
    assert_eq!((path.as_str(), host_path.as_str()), ("/query", "/host/sparql"));
    assert_eq!((query.as_str(), session.as_deref()), ("catalog-read", Some("own-edit-read")));
    assert_eq!((update.as_str(), group), ("score-write", Some(GroupId(12))));
    let StoreConfig { listen, peers, advertise, snapshot } = store;
    assert_eq!((listen, advertise), (at("127.0.0.1:9002"), Some(at("127.0.0.1:9003"))));
    assert_eq!(peers, [at("127.0.0.1:9004"), at("[::1]:9005")]);
    assert_eq!((snapshot, inventory), (Some(fixture("kept/b7.store")), Some(fixture("hosts.csv"))));
    assert_eq!(zones, ["north-1", "south-2"]);
    let Leaving { names, automatic, dwell } = leaving;
    assert_eq!(
        (names, automatic, dwell),
        (
            zones,
            false,
            Dwell { least: TimeDelta::from_micros(4_500_000), longest: TimeDelta::from_micros(90_000_000) }
        )
    );
    assert!(changed > Timestamp::from_micros(0));
    let text = settings.unwrap();
    assert_eq!(text, PAIRS, "the pairs that the store gets:\n{text}");
    let (settings, names, all) = file::read_settings(&text, 3).unwrap();
    assert_eq!(names, ["catalog-read", "own-edit-read", "score-write"]);
    assert_eq!((settings.pooler_count, settings.me, settings.may_probe), (Some(5), Some(3), Some(true)));
    assert_eq!(all["limits.conn-idle"], "15");
    assert_eq!(all.len(), PAIRS.lines().count() + 9, "and what the daemon itself decides");
    for (key, value) in [
        ("me", "3"),
        ("discovery", "automatic"),
        ("limits.may-cancel", "true"),
        ("limits.second-copies", "false"),
        ("limits.retry-after", "true"),
        ("limits.peer-messages", "true"),
        ("family-info.session-marks", "brought"),
        ("family-info.zero", "0"),
        ("report.fields", "x0,x1,up,util"),
    ] {
        assert_eq!(all.get(key).map(String::as_str), Some(value), "{key}");
    }
}

/// Guards against a default that changes for whoever leaves a key out.
#[test]
fn what_an_operators_file_leaves_out_has_its_default() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-least-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("operator.yaml");
    let least =
        "name: b1\nsparql:\n  listen: 127.0.0.1:1\n  query: q\n  update: u\nstore:\n  listen: 127.0.0.1:2\n";
    std::fs::write(&path, least).unwrap();
    let o = file::load(&path).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!((o.number, o.admin, o.sockets), (0, None, 1024));
    assert_eq!((o.host_path.as_str(), o.service.path.as_str()), ("/sparql", "/sparql"));
    assert_eq!((o.service.session, o.service.group), (None, None));
    assert_eq!((o.store.advertise, o.store.peers, o.store.snapshot), (None, Vec::new(), None));
    assert_eq!((o.inventory, o.zones, o.settings), (None, Vec::new(), None));
    assert_eq!((o.leaving.names, o.leaving.automatic), (Vec::new(), true));
    assert_eq!(
        o.leaving.dwell,
        Dwell { least: TimeDelta::from_micros(3_000_000), longest: TimeDelta::from_micros(60_000_000) }
    );
}

/// Guards against a column or a variable of an inventory that is read as something else, in both forms.
#[test]
fn every_key_of_an_inventory_is_read_into_its_field() {
    let first = EndpointRecord {
        name: "s-1".into(),
        address: at("127.0.0.1:7001"),
        zone: ZoneId(0),
        group: GroupId(1),
        availability: Availability::Ready,
        primary: false,
        weight: 0.5,
        started_at: Some(Timestamp::from_micros(1_767_225_600_123_000)),
    };
    let second = EndpointRecord {
        name: "s-2".into(),
        address: at("127.0.0.1:7002"),
        zone: ZoneId(1),
        group: GroupId(2),
        availability: Availability::Draining,
        primary: false,
        weight: 2.0,
        started_at: None,
    };
    let regions = BTreeMap::from([(ZoneId(0), "north".to_string()), (ZoneId(1), "south".to_string())]);
    let wanted = Inventory { hosts: vec![first, second], regions };
    let zones = ["north-1".to_string(), "south-2".to_string()];
    for (name, text) in [("i.csv", CSV), ("i.yaml", YAML), ("i.yml", YAML)] {
        let read = inventory::parse(Path::new(name), text, &zones, &Limits::for_sockets(64));
        assert_eq!(read.as_ref(), Ok(&wanted), "{name}");
    }
}

/// Guards against a key of the platform's configuration that is read into another field.
#[test]
fn every_key_of_the_platforms_configuration_is_read_into_its_field() {
    let Platform {
        name,
        listen,
        discovery,
        seed,
        sockets,
        memory_mb,
        peer_listen,
        peers,
        peers_all,
        passed,
        admin,
        known,
        settings,
        classes,
        zones,
        conn_idle,
    } = json::platform(PLATFORM).unwrap();
    assert_eq!((name.as_str(), seed), ("n3", 0x8c1f_30d2_7a5b_e964));
    assert_eq!((listen, discovery), (at("127.0.0.1:9101"), at("127.0.0.1:9102")));
    assert_eq!((sockets, memory_mb, conn_idle), (Some(1024), Some(192.0), Some(15.0)));
    assert_eq!((peer_listen, peers_all), (Some(at("127.0.0.1:9103")), Some(at("127.0.0.1:9105"))));
    assert_eq!(peers, [at("127.0.0.1:9103"), at("127.0.0.1:9104")]);
    assert_eq!((passed, admin), (None, Some(at("127.0.0.1:9106"))));
    let host = |name: &str, port: u16, zone, group, availability, weight, started_at| EndpointRecord {
        name: name.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone,
        group,
        availability,
        primary: false,
        weight,
        started_at,
    };
    let entries = vec![
        host(
            "s-1",
            7001,
            ZoneId(1),
            GroupId(3),
            Availability::Draining,
            0.5,
            Some(Timestamp::from_micros(1_767_225_600_123_000)),
        ),
        host("s-2", 7002, ZoneId(0), GroupId(4), Availability::Ready, 2.0, None),
        host("s-3", 7003, ZoneId(0), GroupId(5), Availability::Gone, 1.0, None),
    ];
    assert_eq!(known, Some(EndpointUpdate { index: 41, whole: false, entries }));
    assert_eq!((classes, zones), (vec!["read".into(), "write".into()], vec!["a".into(), "b".into()]));
    assert_eq!((settings.pooler_count, settings.me, settings.zone), (Some(2), Some(1), Some(ZoneId(1))));
    assert_eq!(
        (settings.must_subscribe, settings.zero),
        (Some(false), Some(Timestamp::ZERO)),
        "positions are Unix times"
    );
    assert_eq!(settings.tenants[0].quota_per_s, Some(40.0));
    assert_eq!(settings.classes[1].key_window, micros(1_200_000));
    assert_eq!(settings.classes[0].consistency, Some(Consistency::Bounded));
    assert_eq!(settings.report_fields, ["x0", "x1", "util"]);
}

/// The Rust files in `folder` and the folders below it, as paths from `root`.
fn rust_files_below(root: &Path, folder: &str) -> Vec<String> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root.join(folder)).unwrap() {
        let entry = entry.unwrap();
        let path = format!("{folder}/{}", entry.file_name().to_str().unwrap());
        if entry.file_type().unwrap().is_dir() {
            files.extend(rust_files_below(root, &path));
        } else if path.ends_with(".rs") {
            files.push(path);
        }
    }
    files
}

/// Guards against a build file whose keys or programs are others, and whose parts lists name what has moved.
#[test]
fn the_build_file_has_its_keys_and_names_what_is_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let pairs: Vec<(&str, &str)> = text
        .lines()
        .filter(|l| !l.trim().is_empty() && !l.starts_with('#'))
        .map(|l| l.split('#').next().unwrap().split_once('=').expect("key = value"))
        .map(|(key, value)| (key.trim(), value.trim()))
        .collect();
    let keys: Vec<&str> = pairs.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys, ["build", "run", "sim", "policy", "node", "packages"]);
    let value = |key: &str| pairs.iter().find(|(k, _)| *k == key).unwrap().1;
    assert_eq!(value("build"), r#""cargo build --release --locked""#);
    assert_eq!(value("run"), r#""exec target/release/brookpass""#);
    assert_eq!(value("sim"), r#""exec target/release/brookpass-simulator-adapter""#);
    assert_eq!(value("packages"), "[]");
    let programs = [env!("CARGO_BIN_EXE_brookpass"), env!("CARGO_BIN_EXE_brookpass-simulator-adapter")];
    for (program, name) in programs.iter().zip(["brookpass", "brookpass-simulator-adapter"]) {
        assert_eq!(Path::new(program).file_name().unwrap(), name);
    }
    let paths = |key: &str| -> Vec<String> {
        let list = value(key).trim_start_matches('[').trim_end_matches(']').split(',');
        list.map(|path| path.trim().trim_matches('"').to_string()).collect()
    };
    // Every file of the decision module, but for the one that reads its settings from text and for unit tests.
    let mut decisions: Vec<String> = rust_files_below(root, "src/routing")
        .into_iter()
        .filter(|path| path != "src/routing/settings_parser.rs" && !path.ends_with("/tests.rs"))
        .collect();
    decisions.sort();
    assert_eq!(paths("policy"), decisions);
    let node = paths("node");
    assert!(node.contains(&"src/main.rs".to_string()), "{node:?}");
    for path in &node {
        assert!(root.join(path).exists(), "{path}");
    }
}
