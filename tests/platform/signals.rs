//! SIGTERM, SIGHUP and invalid configurations.

use super::stand_in::discovery::{DiscoveryServer, endpoint_json};
use super::stand_in::network::unused_address;
use super::stand_in::platform::{
    PostgresGroup, SETTINGS, config, keyed_write_statement, read_statement, start_pooler,
};
use super::stand_in::postgres::client::{PostgresClient, row_of};
use super::stand_in::postgres::endpoint::{PostgresEndpoint, Reply, release_channel};
use super::stand_in::process::{Process, test_directory};
use super::stand_in::waiting::eventually;
use brookpass_testkit::log_lines;

/// Guards against requests that are lost in a planned restart.
#[test]
fn after_sigterm_all_open_requests_are_answered_before_the_exit() {
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |text| match text.contains("INSERT") {
        true => Reply::RowAfterRelease(released.clone(), b"late"),
        false => Reply::Row(b"replica"),
    });
    let mut pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    let mut idle = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("1", 2_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    pooler.process.signal("-TERM");
    pooler.process.wait_for_log(log_lines::DRAINING);
    assert_eq!(idle.query(&read_statement("2", 1000)).value, row_of(b"replica"), "accepted after SIGTERM");
    release.send(()).unwrap();
    assert_eq!(client.receive().unwrap().value, row_of(b"late"));
    assert_eq!(idle.receive(), None, "idle connections are closed");
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against a reload that terminates the program, waits for the old discovery server or fails an open
/// request.
#[test]
fn sighup_changes_the_discovery_server_at_once_and_keeps_open_requests() {
    let (release, released) = release_channel();
    let group = PostgresGroup::start(move |text| match text.contains("INSERT") {
        true => Reply::RowAfterRelease(released.clone(), b"late"),
        false => Reply::Row(b"old"),
    });
    let new_replica = PostgresEndpoint::replica(|_| Reply::Row(b"new"));
    let mut pooler = start_pooler(&group.endpoint_list());
    let mut client = PostgresClient::connect(pooler.address);
    client.send_query(&keyed_write_statement("1", 5_000, 1));
    eventually("the primary has the write", || group.primary.statement_count() == 1);
    let new_discovery = DiscoveryServer::start();
    new_discovery.preset(&[
        endpoint_json("p", group.primary.address, 1, "leaving"),
        endpoint_json("other", new_replica.address, 1, "active"),
    ]);
    std::fs::write(&pooler.config_path, config("127.0.0.1:0", new_discovery.address, SETTINGS)).unwrap();
    // The old discovery server still holds a watch open and does not respond to it.
    pooler.process.signal("-HUP");
    pooler.process.wait_for_log(log_lines::DISCOVERY_RELOADED);
    new_discovery.wait_for_watch();
    let mut second_client = PostgresClient::connect(pooler.address);
    for number in 2..12 {
        let response = second_client.query(&read_statement(&number.to_string(), 1000));
        assert_eq!(response.value, row_of(b"new"));
    }
    std::fs::write(&pooler.config_path, "{\"name\":7}").unwrap();
    pooler.process.signal("-HUP");
    let line = pooler.process.wait_for_log(log_lines::CONFIGURATION_KEPT);
    assert!(line.contains("name is no text"), "{line}");
    new_discovery.publish(&[endpoint_json("other", new_replica.address, 1, "active")]);
    release.send(()).unwrap();
    assert_eq!(client.receive().unwrap().value, row_of(b"late"));
    pooler.process.signal("-TERM");
    pooler.process.signal("-HUP");
    pooler.process.wait_for_log(log_lines::CONFIGURATION_KEPT);
    assert!(pooler.process.wait_for_exit().success());
}

/// Guards against an invalid configuration whose error the log does not locate.
#[test]
fn an_invalid_configuration_is_logged_in_one_line_with_file_and_location() {
    let path = test_directory("bad").join("config.json");
    let file = path.to_str().unwrap();
    let valid = config("127.0.0.1:0", unused_address(), SETTINGS);
    for (text, error) in [
        (valid.replace("\"repeat\":\"by_key\"", "\"repeat\":\"by_key\"]"), "line 6"),
        (valid.replace("127.0.0.1:0", "here"), "listen"),
        (valid.replace("\"deadline\":2.0", "\"deadline\":\"soon\""), "services.1.deadline"),
    ] {
        std::fs::write(&path, text).unwrap();
        let mut process = Process::start(&[], &[("GW_CONFIG", file)]);
        let line = process.wait_for_log(file);
        assert!(line.contains(error), "{line}");
        assert!(!process.wait_for_exit().success());
    }
}
