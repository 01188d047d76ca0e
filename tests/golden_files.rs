//! The files that operators and the platform write: every key is read into its field. Field names may change, but keys
//! and their meaning may not.

use brookpass::config::Limits;
use brookpass::daemon::operator_config::{self, OperatorConfig, ParsedSettings, StoreConfig};
use brookpass::engine::endpoints::{EndpointRecord, EndpointUpdate, ListCoverage};
use brookpass::fleet::zones::EvacuationBackoff;
use brookpass::fleet::zones::EvacuationPolicy;
use brookpass::inventory::{self, Inventory};
use brookpass::net::sparql::front::FrontConfig;
use brookpass::platform_config::{self, PlatformConfig};
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

/// A duration in microseconds, as the value of an optional setting.
fn micros(micros: i64) -> Option<TimeDelta> {
    Some(TimeDelta::from_micros(micros))
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Guards against a setting that is read from another key, into another field or in another unit. The destructuring
/// without `..` does not compile for a new field until it has a line in the file.
#[test]
fn every_settings_key_is_read_into_its_field() {
    let Settings {
        pooler_count,
        pooler_number: number,
        zone,
        event_batch_interval: interval,
        classes,
        tenants,
        over_quota_priority_weight,
        must_subscribe,
        list_request_interval,
        may_hedge,
        may_cancel,
        may_probe,
        peer_messages,
        may_send_retry_after,
        max_retry_after,
        max_attempts,
        connect_timeout,
        answer_grace,
        drain_grace,
        keep_unlisted_endpoints,
        cold_capacity,
        warm_up,
        overload_multiple,
        overload_window,
        replication_lag_policy,
        catch_up_timeout,
        session_tracking,
        position_epoch,
        report_fields,
        cross_zone_cost,
        probe_cost,
        waste_cost,
    } = settings_parser::parse(SETTINGS).unwrap();
    assert_eq!((pooler_count, number, zone, interval), (Some(3), Some(2), Some(ZoneId(1)), micros(5_000)));
    assert_eq!(
        (over_quota_priority_weight, must_subscribe, list_request_interval),
        (Some(0.3), Some(true), micros(30_000_000))
    );
    assert_eq!((may_hedge, may_cancel, may_probe), (Some(true), Some(false), Some(true)));
    assert_eq!(
        (peer_messages, may_send_retry_after, max_retry_after),
        (Some(false), Some(true), micros(1_100_000))
    );
    assert_eq!((max_attempts, connect_timeout, answer_grace), (Some(8), micros(220_000), micros(50_000)));
    assert_eq!((drain_grace, keep_unlisted_endpoints), (micros(150_000), Some(true)));
    assert_eq!((cold_capacity, warm_up), (Some(0.35), micros(16_000_000)));
    assert_eq!((overload_multiple, overload_window), (Some(4.0), micros(1_750_000)));
    assert_eq!(
        (replication_lag_policy, catch_up_timeout),
        (Some(ReplicationLagPolicy::WaitThenReject), micros(450_000))
    );
    assert_eq!(
        (session_tracking, position_epoch),
        (Some(SessionTracking::Carried), Some(Timestamp::from_micros(12_500_000)))
    );
    assert_eq!(report_fields, ["x0", "x1", "up", "util"]);
    assert_eq!((cross_zone_cost, probe_cost, waste_cost), (Some(0.01), Some(0.02), Some(0.03)));
    assert_eq!((classes.len(), tenants.len()), (2, 2));
}

/// Guards against a key of a class or of a tenant that is read into another field or in another unit.
#[test]
fn every_key_of_a_class_and_a_tenant_is_read_into_its_field() {
    let Settings { classes, tenants, .. } = settings_parser::parse(SETTINGS).unwrap();
    let quotas: Vec<_> = tenants.into_iter().map(|Tenant { quota_per_s }| quota_per_s).collect();
    assert_eq!(quotas, [Some(40.0), Some(41.5)]);
    let [read, write] = <[Class; 2]>::try_from(classes).unwrap();
    let Class {
        latency_objective,
        latency_objective_per_work,
        deadline,
        priority_weight,
        late_priority_weight,
        idempotency,
        key_scope,
        key_window,
        consistency,
        max_age,
    } = read;
    assert_eq!(
        (latency_objective, latency_objective_per_work, deadline),
        (micros(250_000), Some(1.5), micros(2_500_000))
    );
    assert_eq!(
        (priority_weight, late_priority_weight, idempotency),
        (Some(3.0), Some(0.2), Some(Idempotency::Idempotent))
    );
    assert_eq!((key_scope, key_window), (Some(KeyScope::AllEndpoints), micros(1_200_000)));
    assert_eq!((consistency, max_age), (Some(Consistency::Bounded), micros(800_000)));
    assert_eq!(
        (write.latency_objective, write.latency_objective_per_work, write.deadline),
        (micros(600_000), Some(2.5), micros(2_750_000))
    );
    assert_eq!(
        (write.priority_weight, write.late_priority_weight, write.idempotency),
        (Some(6.0), Some(0.5), Some(Idempotency::Keyed))
    );
    assert_eq!((write.key_scope, write.key_window), (Some(KeyScope::Group), micros(1_250_000)));
    assert_eq!((write.consistency, write.max_age), (Some(Consistency::Write), micros(900_000)));
}

/// Guards against a line of the settings file that nothing reads: without it some field must differ.
#[test]
fn every_settings_key_changes_a_field() {
    let complete = format!("{:?}", settings_parser::parse(SETTINGS).unwrap());
    // Class names are read by the callers of the parser, not by the parser.
    let is_name = |line: &&str| line.contains(".name=");
    let lines: Vec<&str> = SETTINGS.lines().collect();
    for line in lines.iter().filter(|line| !is_name(line)) {
        let without: String =
            lines.iter().filter(|other| *other != line).map(|other| format!("{other}\n")).collect();
        assert_ne!(format!("{:?}", settings_parser::parse(&without).unwrap()), complete, "{line}");
    }
}

/// Guards against a keyword of a setting that changes its meaning.
#[test]
fn every_keyword_of_a_setting_keeps_its_meaning() {
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
    for (keyword, scope) in
        [("all", KeyScope::AllEndpoints), ("cell", KeyScope::Group), ("zone", KeyScope::Zone)]
    {
        assert_eq!(class(&format!("services.0.group={keyword}")), (None, Some(scope), None));
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
    let parse = |line: &str| settings_parser::parse(line).unwrap();
    for (keyword, policy) in [
        ("none", ReplicationLagPolicy::ServeStale),
        ("bounce", ReplicationLagPolicy::Reject),
        ("await", ReplicationLagPolicy::WaitThenReject),
    ] {
        assert_eq!(parse(&format!("family-info.behind={keyword}")).replication_lag_policy, Some(policy));
    }
    for (keyword, tracking) in [("brought", SessionTracking::Carried), ("kept", SessionTracking::Remembered)]
    {
        assert_eq!(parse(&format!("family-info.session-marks={keyword}")).session_tracking, Some(tracking));
    }
    for (keyword, must_subscribe) in [("subscribe", true), ("automatic", false)] {
        assert_eq!(parse(&format!("discovery={keyword}")).must_subscribe, Some(must_subscribe));
    }
}

/// Guards against a key of the operator's file that is read into another field, with another default path or in
/// another unit, and against settings that reach the fleet's store as other pairs.
#[test]
#[expect(clippy::too_many_lines, reason = "a list: one assertion for each key")]
fn every_key_of_the_operators_file_is_read_into_its_field() {
    let path = fixture("operator-every-key.yaml");
    let OperatorConfig {
        path: config_path,
        name,
        number,
        listen,
        admin,
        endpoint_path,
        service,
        store,
        inventory_path,
        zones,
        evacuation_policy,
        sockets,
        settings,
        modified_at,
    } = operator_config::load(&path).unwrap();
    assert_eq!((config_path, name.as_str(), number, sockets), (path, "b7", 3, 2048));
    assert_eq!((listen, admin), (address("127.0.0.1:9001"), Some(address("127.0.0.1:9006"))));
    let FrontConfig { path, query_class, session_query_class, update_class, default_group } = service;
    assert_eq!((path.as_str(), endpoint_path.as_str()), ("/query", "/host/sparql"));
    assert_eq!(
        (query_class.as_str(), session_query_class.as_deref()),
        ("catalog-read", Some("own-edit-read"))
    );
    assert_eq!((update_class.as_str(), default_group), ("score-write", Some(GroupId(12))));
    let StoreConfig { listen, peers, advertise, file } = store;
    assert_eq!((listen, advertise), (address("127.0.0.1:9002"), Some(address("127.0.0.1:9003"))));
    assert_eq!(peers, [address("127.0.0.1:9004"), address("[::1]:9005")]);
    assert_eq!((file, inventory_path), (Some(fixture("kept/b7.store")), Some(fixture("hosts.csv"))));
    assert_eq!(zones, ["north-1", "south-2"]);
    let EvacuationPolicy { zone_names, automatic, backoff } = evacuation_policy;
    assert_eq!(
        (zone_names, automatic, backoff),
        (
            zones,
            false,
            EvacuationBackoff {
                initial: TimeDelta::from_micros(4_500_000),
                maximum: TimeDelta::from_micros(90_000_000)
            }
        )
    );
    assert!(modified_at > Timestamp::from_micros(0));
    let text = settings.unwrap();
    assert_eq!(text, PAIRS, "the pairs that are passed to the store:\n{text}");
    let ParsedSettings { settings, class_names, pairs } = operator_config::parse_settings(&text, 3).unwrap();
    assert_eq!(class_names, ["catalog-read", "own-edit-read", "score-write"]);
    assert_eq!(
        (settings.pooler_count, settings.pooler_number, settings.may_probe),
        (Some(5), Some(3), Some(true))
    );
    assert_eq!(pairs["limits.conn-idle"], "15");
    assert_eq!(pairs.len(), PAIRS.lines().count() + 9, "and the pairs that the program sets itself");
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
        assert_eq!(pairs.get(key).map(String::as_str), Some(value), "{key}");
    }
}

/// Guards against a changed default of a key.
#[test]
fn a_key_that_an_operators_file_lacks_has_its_default() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-minimal-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("operator.yaml");
    let minimal =
        "name: b1\nsparql:\n  listen: 127.0.0.1:1\n  query: q\n  update: u\nstore:\n  listen: 127.0.0.1:2\n";
    std::fs::write(&path, minimal).unwrap();
    let config = operator_config::load(&path).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!((config.number, config.admin, config.sockets), (0, None, 1024));
    assert_eq!((config.endpoint_path.as_str(), config.service.path.as_str()), ("/sparql", "/sparql"));
    assert_eq!((config.service.session_query_class, config.service.default_group), (None, None));
    assert_eq!((config.store.advertise, config.store.peers, config.store.file), (None, Vec::new(), None));
    assert_eq!((config.inventory_path, config.zones, config.settings), (None, Vec::new(), None));
    assert_eq!((config.evacuation_policy.zone_names, config.evacuation_policy.automatic), (Vec::new(), true));
    assert_eq!(
        config.evacuation_policy.backoff,
        EvacuationBackoff {
            initial: TimeDelta::from_micros(3_000_000),
            maximum: TimeDelta::from_micros(60_000_000)
        }
    );
}

/// Guards against a column of a CSV inventory, or a variable of a YAML one, that is read into another field.
#[test]
fn every_key_of_an_inventory_is_read_into_its_field() {
    let first = EndpointRecord {
        name: "s-1".into(),
        address: address("127.0.0.1:7001"),
        zone: ZoneId(0),
        group: GroupId(1),
        availability: Availability::Ready,
        primary: false,
        weight: 0.5,
        started_at: Some(Timestamp::from_micros(1_767_225_600_123_000)),
    };
    let second = EndpointRecord {
        name: "s-2".into(),
        address: address("127.0.0.1:7002"),
        zone: ZoneId(1),
        group: GroupId(2),
        availability: Availability::Draining,
        primary: false,
        weight: 2.0,
        started_at: None,
    };
    let regions = BTreeMap::from([(ZoneId(0), "north".to_string()), (ZoneId(1), "south".to_string())]);
    let expected = Inventory { hosts: vec![first, second], regions };
    let zones = ["north-1".to_string(), "south-2".to_string()];
    for (name, text) in [("i.csv", CSV), ("i.yaml", YAML), ("i.yml", YAML)] {
        let read = inventory::parse(Path::new(name), text, &zones, &Limits::for_sockets(64));
        assert_eq!(read.as_ref(), Ok(&expected), "{name}");
    }
}

/// Guards against a key of the platform's configuration that is read into another field.
#[test]
fn every_key_of_the_platforms_configuration_is_read_into_its_field() {
    let PlatformConfig {
        name,
        listen,
        discovery,
        seed,
        sockets,
        memory_mb,
        peer_listen,
        peers,
        peers_all,
        inherited_socket,
        admin,
        cached_list,
        settings,
        classes,
        zones,
        backend_idle_secs,
    } = platform_config::parse(PLATFORM).unwrap();
    assert_eq!((name.as_str(), seed), ("n3", 0x8c1f_30d2_7a5b_e964));
    assert_eq!((listen, discovery), (address("127.0.0.1:9101"), address("127.0.0.1:9102")));
    assert_eq!((sockets, memory_mb, backend_idle_secs), (Some(1024), Some(192.0), Some(15.0)));
    assert_eq!((peer_listen, peers_all), (Some(address("127.0.0.1:9103")), Some(address("127.0.0.1:9105"))));
    assert_eq!(peers, [address("127.0.0.1:9103"), address("127.0.0.1:9104")]);
    assert_eq!((inherited_socket, admin), (None, Some(address("127.0.0.1:9106"))));
    let endpoint = |name: &str, port: u16, zone, group, availability, weight, started_at| EndpointRecord {
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
        endpoint(
            "s-1",
            7001,
            ZoneId(1),
            GroupId(3),
            Availability::Draining,
            0.5,
            Some(Timestamp::from_micros(1_767_225_600_123_000)),
        ),
        endpoint("s-2", 7002, ZoneId(0), GroupId(4), Availability::Ready, 2.0, None),
        endpoint("s-3", 7003, ZoneId(0), GroupId(5), Availability::Gone, 1.0, None),
    ];
    assert_eq!(cached_list, Some(EndpointUpdate { version: 41, coverage: ListCoverage::Changes, entries }));
    assert_eq!((classes, zones), (vec!["read".into(), "write".into()], vec!["a".into(), "b".into()]));
    let pooler_number = settings.pooler_number;
    assert_eq!((settings.pooler_count, pooler_number, settings.zone), (Some(2), Some(1), Some(ZoneId(1))));
    assert_eq!(
        (settings.must_subscribe, settings.position_epoch),
        (Some(false), Some(Timestamp::ZERO)),
        "log positions are Unix times"
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

/// Guards against changed keys or program names in the build file, and against lists in it that name moved files.
#[test]
fn the_build_file_keeps_its_keys_and_names_existing_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let pairs: Vec<(&str, &str)> = text
        .lines()
        .filter(|line| !line.trim().is_empty() && !line.starts_with('#'))
        .map(|line| line.split('#').next().unwrap().split_once('=').expect("key = value"))
        .map(|(key, value)| (key.trim(), value.trim()))
        .collect();
    let keys: Vec<&str> = pairs.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys, ["build", "run", "sim", "policy", "node", "packages"]);
    let value = |key: &str| pairs.iter().find(|(name, _)| *name == key).unwrap().1;
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
    // Every file of the routing module except the settings parser and unit tests.
    let mut policy_files: Vec<String> = rust_files_below(root, "src/routing")
        .into_iter()
        .filter(|path| path != "src/routing/settings_parser.rs" && !path.ends_with("/tests.rs"))
        .collect();
    policy_files.sort();
    assert_eq!(paths("policy"), policy_files);
    let node_paths = paths("node");
    assert!(node_paths.contains(&"src/main.rs".to_string()), "{node_paths:?}");
    for path in &node_paths {
        assert!(root.join(path).exists(), "{path}");
    }
}
