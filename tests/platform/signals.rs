//! SIGTERM, SIGHUP, and configurations that are malformed.

use super::stand_in::platform::*;
use super::stand_in::*;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// Guards against requests lost at a planned restart.
#[test]
fn sigterm_answers_all_that_was_taken_and_then_ends() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |text| match text.contains("INSERT") {
        true => Reply::After(wait.clone(), b"late"),
        false => Reply::Row(b"replica"),
    });
    let mut s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    let mut idle = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 2_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    s.daemon.signal("-TERM");
    s.daemon.line("draining");
    assert_eq!(idle.ask(&read("2", 1000)).value.as_deref(), Some(&b"replica"[..]), "taken after SIGTERM");
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"late"[..]));
    assert_eq!(idle.answer(), None, "idle connections end");
    assert!(s.daemon.wait().success());
}

/// Guards against a reload that ends the program, waits for the old discovery, or costs an open request.
#[test]
fn sighup_moves_discovery_at_once_and_leaves_open_requests_alone() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    let (p, r) = pair(move |text| match text.contains("INSERT") {
        true => Reply::After(wait.clone(), b"late"),
        false => Reply::Row(b"old"),
    });
    let other = PgHost::start("copy", |_| Reply::Row(b"new"));
    let mut s = started(&both(&p, &r));
    let mut client = PgClient::connect(s.address);
    client.send(&pg_query(&write("1", 5_000, ",k=1")));
    eventually("the primary has the write", || p.count() == 1);
    let moved = Discovery::start();
    moved.preset(&[endpoint("p", p.address, 1, "leaving"), endpoint("other", other.address, 1, "active")]);
    std::fs::write(&s.config, config("127.0.0.1:0", moved.address, SETTINGS)).unwrap();
    // The old discovery holds a watch open all the while and says nothing.
    s.daemon.signal("-HUP");
    s.daemon.line("SIGHUP: discovery at");
    moved.wait_for_watch();
    let mut second = PgClient::connect(s.address);
    for n in 2..12 {
        assert_eq!(second.ask(&read(&n.to_string(), 1000)).value.as_deref(), Some(&b"new"[..]));
    }
    std::fs::write(&s.config, "{\"name\":7}").unwrap();
    s.daemon.signal("-HUP");
    let line = s.daemon.line("the last good configuration stays");
    assert!(line.contains("name is no text"), "{line}");
    moved.publish(&[endpoint("other", other.address, 1, "active")]);
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap().value.as_deref(), Some(&b"late"[..]));
    s.daemon.signal("-TERM");
    s.daemon.signal("-HUP");
    s.daemon.line("the last good configuration stays");
    assert!(s.daemon.wait().success());
}

#[test]
fn a_bad_configuration_is_one_line_with_file_and_line() {
    let path = folder("bad").join("config.json");
    let file = path.to_str().unwrap();
    let good = config("127.0.0.1:0", nobody(), SETTINGS);
    for (text, why) in [
        (good.replace("\"repeat\":\"by_key\"", "\"repeat\":\"by_key\"]"), "line 6"),
        (good.replace("127.0.0.1:0", "here"), "listen"),
        (good.replace("\"deadline\":2.0", "\"deadline\":\"soon\""), "services.1.deadline"),
    ] {
        std::fs::write(&path, text).unwrap();
        let mut daemon = Daemon::start(&[], &[("GW_CONFIG", file)]);
        let line = daemon.line(file);
        assert!(line.contains(why), "{line}");
        assert!(!daemon.wait().success());
    }
}
