//! The admin server, and drains across restarts with and without a store on disk.

use super::endpoint::SparqlEndpoint;
use super::pooler::{OperatorFiles, RunningPooler, entry, query_request, start_pooler, update_request};
use super::stand_in::http::{HttpClient, HttpMessage, call, read_http_message};
use super::stand_in::waiting::eventually;
use std::net::SocketAddr;

/// The text before the admin server's address in the log.
const ADMIN_ADDRESS_PREFIX: &str = "operators at http://";

/// The address of the admin server, which may be logged before or after the clients' address.
fn admin_address(pooler: &mut RunningPooler) -> SocketAddr {
    let logged = pooler.process.log_lines.iter().find_map(|line| {
        let address = line.split(ADMIN_ADDRESS_PREFIX).nth(1)?;
        address.parse().ok()
    });
    logged.unwrap_or_else(|| pooler.process.wait_for_address(ADMIN_ADDRESS_PREFIX))
}

fn call_admin(address: SocketAddr, method: &str, path: &str) -> HttpMessage {
    call(address, &format!("{method} {path} HTTP/1.1\r\n\r\n"))
}

/// Guards against a SPARQL server that operators cannot observe, drain or reactivate. With a PostgreSQL server
/// they can do all three.
#[test]
fn the_admin_server_returns_metrics_and_drains_and_reactivates_the_sparql_server() {
    let primary = SparqlEndpoint::primary();
    let mut pooler = start_pooler(&OperatorFiles::write("door", &[entry("p", primary.address)]));
    let admin = admin_address(&mut pooler);
    let mut client = HttpClient::connect(pooler.client_address);
    assert_eq!(client.call(&query_request("")).status(), 200);
    assert_eq!(client.call(&update_request("Brookpass-Key: 7\r\n")).status(), 200);
    let metrics = call_admin(admin, "GET", "/v1/metrics").text();
    let request_lines =
        ["svc.success.catalog-read:1|c", "svc.success.score-write:1|c", "svc.error.own-edit-read:0|c"];
    for expected in request_lines {
        assert!(metrics.lines().any(|line| line == expected), "{expected} in {metrics}");
    }
    let has_two_dispatches = metrics.contains("svc.dispatches:2|c");
    assert!(has_two_dispatches && metrics.contains("svc.targets:1|g"), "{metrics}");
    let fleet_lines =
        ["svc.fleet.members:1|g", "svc.fleet.leads:1|g", "svc.fleet.lag:0|g", "svc.fleet.panics:0|c"];
    for expected in fleet_lines {
        assert!(metrics.lines().any(|line| line == expected), "{expected} in {metrics}");
    }
    assert_eq!(call_admin(admin, "PUT", "/v1/pooler/drain").status(), 200);
    assert_eq!(client.call(&query_request("")).status(), 200, "an open connection is still served");
    assert_eq!(pooler.readiness(), 503);
    assert!(read_http_message(&mut client.reader).is_none(), "the connection is closed after the response");
    assert_eq!(call_admin(admin, "PUT", "/v1/pooler/activate").status(), 200);
    assert_eq!(pooler.readiness(), 200);
    assert_eq!(pooler.call(&query_request("")).status(), 200);
}

/// Sends a POST without a body to the store and returns the status.
fn post_to_store(pooler: &RunningPooler, path: &str) -> u16 {
    pooler.call_store(&format!("POST /{path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n")).status()
}

/// Whether the store lists endpoint `one` as leaving.
fn is_one_leaving(pooler: &RunningPooler) -> bool {
    let list = pooler.endpoint_list();
    list.lines().any(|line| line.starts_with("one ") && line.contains(" leaving "))
}

/// Guards against a drain that does not take effect: at once on the pooler that receives it, soon after on its
/// peers, and after a restart.
#[test]
fn a_drain_takes_effect_locally_on_peers_and_after_a_restart_without_disk() {
    let one = SparqlEndpoint::primary();
    let two = SparqlEndpoint::primary();
    let entries = || [entry("one", one.address), entry("two", two.address)];
    let peer = start_pooler(&OperatorFiles::write("a", &entries()));
    let files = OperatorFiles::write_with_peers("b", &entries(), &[peer.store_address]);
    let mut pooler = start_pooler(&files);
    assert_eq!(post_to_store(&pooler, "drain/nobody"), 404);
    let cross_origin_request = "POST /drain/one HTTP/1.1\r\nOrigin: http://x\r\n\r\n";
    assert_eq!(pooler.call_store(cross_origin_request).status(), 403);
    assert!(!is_one_leaving(&peer) && !is_one_leaving(&pooler));
    assert_eq!(post_to_store(&pooler, "drain/one"), 200);
    assert!(is_one_leaving(&pooler));
    let count_before = one.operation_count();
    for _ in 0..10 {
        assert_eq!(pooler.call(&query_request("")).status(), 200);
    }
    assert_eq!(one.operation_count(), count_before, "the drain takes effect at once where it was requested");
    eventually("the peer learns of the drain", || is_one_leaving(&peer));
    pooler.kill();
    let pooler = start_pooler(&files);
    eventually("the restarted pooler has the drain again", || is_one_leaving(&pooler));
    assert_eq!(post_to_store(&pooler, "undrain/one"), 200);
    eventually("the later undrain takes effect on both poolers", || {
        !is_one_leaving(&peer) && !is_one_leaving(&pooler)
    });
}

/// Guards against a restart without peers that loses the drains on disk, and against a damaged store file that
/// prevents the start.
#[test]
fn a_restart_restores_the_store_from_disk_and_renames_a_damaged_store_file() {
    let one = SparqlEndpoint::primary();
    let files = OperatorFiles::write("disk", &[entry("one", one.address)]);
    files.edit_operator_file(|text| text.replace("# snapshot: b1.store", "snapshot: b1.store"));
    let mut pooler = start_pooler(&files);
    // A drain is durable as soon as its request is answered, even if the power fails right after.
    assert_eq!(pooler.call_store("POST /drain/one HTTP/1.1\r\n\r\n").status(), 200);
    pooler.kill();
    let mut restarted = start_pooler(&files);
    assert!(restarted.endpoint_list().contains(" leaving "));
    restarted.kill();
    let store_path = files.directory.join("b1.store");
    let stored_bytes = std::fs::read(&store_path).unwrap();
    std::fs::write(&store_path, &stored_bytes[..stored_bytes.len() / 2]).unwrap();
    let mut without_store = start_pooler(&files);
    let log_lines = &without_store.process.log_lines;
    assert!(log_lines.iter().any(|line| line.contains("set aside as")), "{log_lines:?}");
    assert!(files.directory.join("b1.store.damaged").exists());
    without_store.kill();
    // A store file in the format of the previous version is read, with its drains.
    std::fs::remove_file(&store_path).unwrap();
    let old_format = "brookpass-store 1\n5\ta.1\tdrain/one\t+1\nend\n";
    std::fs::write(&store_path, old_format).unwrap();
    let with_old_store = start_pooler(&files);
    eventually("the drain in the old store file is in effect", || {
        with_old_store.endpoint_list().contains(" leaving ")
    });
}
