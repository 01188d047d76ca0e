//! The operator's file and its inventory: at the start, on reload, and from a peer.

use super::endpoint::SparqlEndpoint;
use super::pooler::{
    OperatorFiles, RunningPooler, entry, entry_of_group, query_request, start_pooler, start_process,
    update_request,
};
use super::stand_in::http::HttpClient;
use super::stand_in::network::unused_address;
use super::stand_in::waiting::{eventually, now_ms};
use brookpass_testkit::log_lines;
use std::path::Path;
use std::process::{Command, Output};

/// Guards against a pooler without settings and inventory that does not use those in its peers' store.
#[test]
fn settings_and_endpoints_come_from_a_peer_when_the_file_has_none() {
    let endpoint = SparqlEndpoint::primary();
    let peer = start_pooler(&OperatorFiles::write("giver", &[entry("one", endpoint.address)]));
    let unused_entry = entry("one", unused_address());
    let files = OperatorFiles::write_with_peers("taker", &[unused_entry], &[peer.store_address]);
    files.edit_operator_file(|text| {
        let before_settings = text.split("\nsettings:").next().unwrap();
        before_settings.replace("inventory: hosts.csv\n", "") + "\n"
    });
    let pooler = start_pooler(&files);
    assert_eq!(pooler.call(&query_request("")).status(), 200);
    assert_eq!(endpoint.operation_count(), 1);
}

/// The names in the store's list of endpoints.
fn listed_names(pooler: &RunningPooler) -> Vec<String> {
    let list = pooler.endpoint_list();
    list.lines().filter_map(|line| line.split(' ').next()).map(str::to_string).collect()
}

/// Guards against an incomplete inventory file that removes endpoints or is used in part.
#[test]
fn an_inventory_is_reloaded_completely_or_not_at_all() {
    let one = SparqlEndpoint::primary();
    let two = SparqlEndpoint::replica(0);
    let files = OperatorFiles::write("reload", &[entry("one", one.address)]);
    let mut pooler = start_pooler(&files);
    assert_eq!(listed_names(&pooler), ["one"]);
    std::fs::write(files.inventory_path(), "name,address,group\ntwo,nowhere,1\n").unwrap();
    pooler.process.signal("-HUP");
    let line = pooler.process.wait_for_log(log_lines::INVENTORY_KEPT);
    assert!(line.contains("hosts.csv: line 2"), "{line}");
    assert_eq!(listed_names(&pooler), ["one"]);
    files.write_inventory(&[entry("one", one.address), entry("two", two.address)]);
    eventually("the new endpoint is listed", || listed_names(&pooler) == ["one", "two"]);
    let list = pooler.endpoint_list();
    let mut in_service_since_ms = Vec::new();
    for line in list.lines() {
        let last_column: i64 = line.rsplit(' ').next().unwrap().parse().unwrap();
        in_service_since_ms.push(last_column);
    }
    assert_eq!(in_service_since_ms[0], 0, "an endpoint of the first inventory counts as warm");
    let age_ms = now_ms() - in_service_since_ms[1];
    assert!(age_ms < 60_000, "an endpoint that a reload adds starts cold: {list}");
}

/// Guards against updates of a group that are executed by a primary which an edit of the inventory has moved to another
/// group.
#[test]
fn an_edit_that_exchanges_two_groups_redirects_their_updates() {
    let north = SparqlEndpoint::primary();
    let south = SparqlEndpoint::primary();
    let entries = |north_group, south_group| {
        [entry_of_group("n", north.address, north_group), entry_of_group("s", south.address, south_group)]
    };
    let files = OperatorFiles::write("exchange", &entries(2, 1));
    let pooler = start_pooler(&files);
    let update_both = || {
        for group in [1, 2] {
            let headers = format!("Brookpass-Group: {group}\r\nBrookpass-Key: {}\r\n", now_ms() + group);
            assert_eq!(pooler.call(&update_request(&headers)).status(), 200);
        }
    };
    let group_of_last_update =
        |endpoint: &SparqlEndpoint| endpoint.last_operation().header("brookpass-group").map(str::to_string);
    update_both();
    assert_eq!(group_of_last_update(&south).as_deref(), Some("1"));
    files.write_inventory(&entries(1, 2));
    let north_is_in_group_1 =
        |list: &str| list.lines().any(|line| line.starts_with("n ") && line.split(' ').nth(2) == Some("1"));
    eventually("the edit is in force", || north_is_in_group_1(&pooler.endpoint_list()));
    update_both();
    assert_eq!(group_of_last_update(&north).as_deref(), Some("1"));
    assert_eq!(group_of_last_update(&south).as_deref(), Some("2"));
}

/// Guards against overload of a new endpoint: until it is warm, it must get only a small share of the requests.
#[test]
fn an_endpoint_that_a_reload_adds_gets_a_slow_start() {
    let primary = SparqlEndpoint::primary();
    let old = SparqlEndpoint::replica(0);
    let new = SparqlEndpoint::replica(0);
    let old_entries = || vec![entry("p", primary.address), entry("old", old.address)];
    let files = OperatorFiles::write("cold", &old_entries());
    // With `await`, endpoints check the age of a read themselves, so they are tried before any health check.
    files.edit_operator_file(|text| {
        text.replace("cold-share: 0.25", "cold-share: 0.05")
            .replace("behind: none", "behind: await")
            .replace("fall-multiple: 4", "fall-multiple: 1")
    });
    let pooler = start_pooler(&files);
    let mut client = HttpClient::connect(pooler.client_address);
    let mut send_reads = |count: usize| {
        for _ in 0..count {
            assert_eq!(client.call(&query_request("")).status(), 200);
        }
    };
    // Until the router's latency estimates have settled, an endpoint without measurements looks slow in any case.
    send_reads(600);
    let mut all_entries = old_entries();
    all_entries.push(entry("new", new.address));
    files.write_inventory(&all_entries);
    eventually("the new endpoint is listed", || pooler.endpoint_list().contains("new "));
    let old_count_before = old.operation_count();
    send_reads(200);
    let warm_count = old.operation_count() - old_count_before;
    let cold_count = new.operation_count();
    assert!(
        cold_count * 4 < warm_count,
        "the cold endpoint got {cold_count} reads, the warm one {warm_count}"
    );
    eventually("the cold endpoint gets reads", || {
        send_reads(1);
        new.operation_count() > 0
    });
}

/// Checks that the program exits with a failure and logs an error that contains `error`.
fn check_start_fails(files: &OperatorFiles, error: &str) {
    let mut process = start_process(&files.operator_path());
    let line = process.wait_for_log(log_lines::ERROR_LEVEL);
    assert!(line.contains(error), "{line}");
    assert!(!process.wait_for_exit().success());
}

/// Runs `brookpass --check` on an operator's file.
fn check_file(operator_path: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brookpass"));
    command.args(["--check", operator_path.to_str().unwrap()]).output().unwrap()
}

/// Guards against an invalid file whose error the log does not locate.
#[test]
fn an_invalid_file_at_the_start_is_logged_in_one_line_with_file_and_line() {
    let files = OperatorFiles::write("bad", &[entry("one", unused_address())]);
    let valid_text = files.operator_text();
    files.edit_operator_file(|text| text.replace("warm-up: 16", "warm-up: long"));
    let line_number = valid_text.lines().position(|line| line.contains("warm-up")).unwrap() + 1;
    check_start_fails(&files, &format!("operator.yaml: line {line_number}: guarantees.warm-up"));
    std::fs::write(files.operator_path(), &valid_text).unwrap();
    let duplicate_name = "name,address,group\none,127.0.0.1:1,1\none,127.0.0.1:2,1\n";
    std::fs::write(files.inventory_path(), duplicate_name).unwrap();
    check_start_fails(&files, "hosts.csv: line 3: host \"one\" stands twice");
    assert!(!check_file(&files.operator_path()).status.success());
    files.write_inventory(&[entry("one", unused_address())]);
    let checked = check_file(&files.operator_path());
    assert!(checked.status.success());
    assert!(String::from_utf8_lossy(&checked.stdout).contains("in order, 1 hosts"));
    std::fs::remove_file(files.inventory_path()).unwrap();
    check_start_fails(&files, "hosts.csv");
}
