//! Drains and the admin server, over restarts with and without a disk.

use super::endpoint::*;
use super::pooler::*;
use super::stand_in::*;
use std::net::SocketAddr;

/// Guards against a SPARQL front that operators cannot watch, take out and bring back as they do on the platform.
#[test]
fn the_operators_door_counts_drains_and_brings_back_the_sparql_front() {
    let primary = Host::plain(true, 0);
    let mut running = start(&files("door", &[("p", primary.address)], &[]));
    let door = running.daemon.seen.iter().find_map(|l| l.split("operators at http://").nth(1)?.parse().ok());
    let door: SocketAddr = door.unwrap_or_else(|| running.daemon.address("operators at http://"));
    let call_door = |method: &str, path: &str| call(door, &format!("{method} {path} HTTP/1.1\r\n\r\n"));
    let mut client = HttpClient::connect(running.front);
    assert_eq!(client.call(&query("")).status(), 200);
    assert_eq!(client.call(&update("Brookpass-Key: 7\r\n")).status(), 200);
    let told = call_door("GET", "/v1/metrics").text();
    for line in ["svc.success.catalog-read:1|c", "svc.success.score-write:1|c", "svc.error.own-edit-read:0|c"]
    {
        assert!(told.lines().any(|l| l == line), "{line} in {told}");
    }
    assert!(told.contains("svc.dispatches:2|c") && told.contains("svc.targets:1|g"), "{told}");
    for line in ["svc.fleet.members:1|g", "svc.fleet.leads:1|g", "svc.fleet.lag:0|g", "svc.fleet.panics:0|c"]
    {
        assert!(told.lines().any(|l| l == line), "{line} in {told}");
    }
    assert_eq!(call_door("PUT", "/v1/pooler/drain").status(), 200);
    assert_eq!(client.call(&query("")).status(), 200, "what is taken is answered");
    assert_eq!(call(running.front, "GET /-/ready HTTP/1.1\r\n\r\n").status(), 503);
    assert!(read_http(&mut client.reader).is_none(), "then its connection ends");
    assert_eq!(call_door("PUT", "/v1/pooler/activate").status(), 200);
    assert_eq!(call(running.front, "GET /-/ready HTTP/1.1\r\n\r\n").status(), 200);
    assert_eq!(call(running.front, &query("")).status(), 200);
}

/// Guards against a drain that is not heard: at once here, soon at the peers, and after a restart.
#[test]
fn a_drain_holds_here_at_peers_and_after_a_restart_without_disk() {
    let (one, two) = (Host::plain(true, 0), Host::plain(true, 0));
    let hosts = [("one", one.address), ("two", two.address)];
    let a = start(&files("a", &hosts, &[]));
    let folder = files("b", &hosts, &[a.store]);
    let mut b = start(&folder);
    let drain = |at: SocketAddr, what: &str| {
        call(at, &format!("POST /{what} HTTP/1.1\r\nContent-Length: 0\r\n\r\n")).status()
    };
    assert_eq!(drain(b.store, "drain/nobody"), 404);
    assert_eq!(call(b.store, "POST /drain/one HTTP/1.1\r\nOrigin: http://x\r\n\r\n").status(), 403);
    let leaves = |at: SocketAddr| {
        let text = call(at, "GET /hosts HTTP/1.1\r\n\r\n").text();
        text.lines().any(|l| l.starts_with("one ") && l.contains(" leaving "))
    };
    assert!(!leaves(a.store) && !leaves(b.store));
    assert_eq!(drain(b.store, "drain/one"), 200);
    assert!(leaves(b.store));
    let before = one.count();
    for _ in 0..10 {
        assert_eq!(call(b.front, &query("")).status(), 200);
    }
    assert_eq!(one.count(), before, "a local drain acts at once");
    eventually("the peer hears of it", || leaves(a.store));
    b.daemon.signal("-KILL");
    b.daemon.wait();
    let b = start(&folder);
    eventually("the restarted daemon has caught up", || leaves(b.store));
    assert_eq!(drain(b.store, "undrain/one"), 200);
    eventually("a later word wins everywhere", || !leaves(a.store) && !leaves(b.store));
}

/// Guards against a restart that forgets drains where there is a disk but no peer, and against a damaged file that
/// keeps the daemon down.
#[test]
fn the_disk_brings_the_store_back_and_a_damaged_one_is_set_aside() {
    let one = Host::plain(true, 0);
    let folder = files("disk", &[("one", one.address)], &[]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("# snapshot: b1.store", "snapshot: b1.store")).unwrap();
    let mut running = start(&folder);
    // Whoever has its answer finds it again, however soon the power fails.
    assert_eq!(call(running.store, "POST /drain/one HTTP/1.1\r\n\r\n").status(), 200);
    running.daemon.signal("-KILL");
    running.daemon.wait();
    let mut again = start(&folder);
    assert!(call(again.store, "GET /hosts HTTP/1.1\r\n\r\n").text().contains(" leaving "));
    again.daemon.signal("-KILL");
    again.daemon.wait();
    let snapshot = folder.join("b1.store");
    let bytes = std::fs::read(&snapshot).unwrap();
    std::fs::write(&snapshot, &bytes[..bytes.len() / 2]).unwrap();
    let mut anew = start(&folder);
    assert!(anew.daemon.seen.iter().any(|l| l.contains("set aside as")), "{:?}", anew.daemon.seen);
    assert!(folder.join("b1.store.damaged").exists());
    anew.daemon.signal("-KILL");
    anew.daemon.wait();
    // A store of the form before is taken over, drains and all.
    std::fs::remove_file(&snapshot).unwrap();
    let old = "brookpass-store 1\n5\ta.1\tdrain/one\t+1\nend\n";
    std::fs::write(&snapshot, old).unwrap();
    let taken = start(&folder);
    let leaves = || call(taken.store, "GET /hosts HTTP/1.1\r\n\r\n").text().contains(" leaving ");
    eventually("the old store's drain holds", leaves);
}
