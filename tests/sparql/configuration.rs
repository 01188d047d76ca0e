//! The operator's file and its inventory: at the start, at a reload, from a peer.

use super::endpoint::*;
use super::pooler::*;
use super::stand_in::*;

/// Configuration is kept in the store: a daemon that states none has its peers'.
#[test]
fn settings_and_hosts_come_from_a_peer_where_the_file_has_none() {
    let host = Host::plain(true, 0);
    let a = start(&files("giver", &[("one", host.address)], &[]));
    let folder = files("taker", &[("one", nobody())], &[a.store]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    let bare = text.split("\nsettings:").next().unwrap().replace("inventory: hosts.csv\n", "");
    std::fs::write(&file, bare + "\n").unwrap();
    let b = start(&folder);
    assert_eq!(call(b.front, &query("")).status(), 200);
    assert_eq!(host.count(), 1);
}

/// Guards against a half-written inventory that takes hosts away, and against a daemon that starts with one.
#[test]
fn an_inventory_is_reloaded_whole_or_not_at_all() {
    let (one, two) = (Host::plain(true, 0), Host::plain(false, 0));
    let folder = files("reload", &[("one", one.address)], &[]);
    let mut running = start(&folder);
    let names = |r: &Running| {
        let text = call(r.store, "GET /hosts HTTP/1.1\r\n\r\n").text();
        text.lines().filter_map(|l| l.split(' ').next().map(str::to_string)).collect::<Vec<_>>()
    };
    assert_eq!(names(&running), ["one"]);
    let file = folder.join("hosts.csv");
    std::fs::write(&file, "name,address,group\ntwo,nowhere,1\n").unwrap();
    running.daemon.signal("-HUP");
    let line = running.daemon.line("the last good inventory stays");
    assert!(line.contains("hosts.csv: line 2"), "{line}");
    assert_eq!(names(&running), ["one"]);
    std::fs::write(&file, inventory(&[("one", one.address), ("two", two.address)])).unwrap();
    eventually("the new host is listed", || names(&running) == ["one", "two"]);
    let text = call(running.store, "GET /hosts HTTP/1.1\r\n\r\n").text();
    let since: Vec<i64> = text.lines().map(|l| l.rsplit(' ').next().unwrap().parse().unwrap()).collect();
    assert_eq!(since[0], 0, "it was there from the start");
    assert!(now_ms() - since[1] < 60_000, "one that is new to a running inventory starts cold: {text}");
}

/// Guards against a new host that is pushed over: until it is warm it gets what it bears for certain.
#[test]
fn a_host_new_to_a_running_inventory_is_spared() {
    let (primary, old, new) = (Host::plain(true, 0), Host::plain(false, 0), Host::plain(false, 0));
    let folder = files("cold", &[("p", primary.address), ("old", old.address)], &[]);
    let file = folder.join("operator.yaml");
    let text = std::fs::read_to_string(&file).unwrap();
    // Hosts that check reads themselves are tried without being asked first.
    let strict =
        text.replace("cold-share: 0.25", "cold-share: 0.05").replace("behind: none", "behind: await");
    std::fs::write(&file, strict.replace("fall-multiple: 4", "fall-multiple: 1")).unwrap();
    let running = start(&folder);
    let mut client = HttpClient::connect(running.front);
    let mut ask = |times: usize| (0..times).for_each(|_| assert_eq!(client.call(&query("")).status(), 200));
    // Until the module's latencies have settled a host that nobody has measured looks slow as it is.
    ask(600);
    let hosts = [("p", primary.address), ("old", old.address), ("new", new.address)];
    std::fs::write(folder.join("hosts.csv"), inventory(&hosts)).unwrap();
    eventually("the new host is listed", || {
        call(running.store, "GET /hosts HTTP/1.1\r\n\r\n").text().contains("new ")
    });
    let before = old.count();
    ask(200);
    let (warm, cold) = (old.count() - before, new.count());
    assert!(cold * 4 < warm, "the cold host got {cold}, the warm one {warm}");
    eventually("it gets its small share", || {
        ask(1);
        new.count() > 0
    });
}

#[test]
fn a_bad_file_at_the_start_is_one_line_with_file_and_line() {
    let folder = files("bad", &[("one", nobody())], &[]);
    let file = folder.join("operator.yaml");
    let good = std::fs::read_to_string(&file).unwrap();
    let starts = |why: &str| {
        let mut daemon = Daemon::start(&["--operator", file.to_str().unwrap()], &[]);
        let line = daemon.line("ERROR");
        assert!(line.contains(why), "{line}");
        assert!(!daemon.wait().success());
    };
    std::fs::write(&file, good.replace("warm-up: 16", "warm-up: long")).unwrap();
    let line = good.lines().position(|l| l.contains("warm-up")).unwrap() + 1;
    starts(&format!("operator.yaml: line {line}: guarantees.warm-up"));
    std::fs::write(&file, &good).unwrap();
    std::fs::write(folder.join("hosts.csv"), "name,address,group\none,127.0.0.1:1,1\none,127.0.0.1:2,1\n")
        .unwrap();
    starts("hosts.csv: line 3: host \"one\" stands twice");
    let check = || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_brookpass"));
        command.args(["--check", file.to_str().unwrap()]).output().unwrap()
    };
    assert!(!check().status.success());
    std::fs::write(folder.join("hosts.csv"), inventory(&[("one", nobody())])).unwrap();
    let checked = check();
    assert!(checked.status.success());
    assert!(String::from_utf8_lossy(&checked.stdout).contains("in order, 1 hosts"));
    std::fs::remove_file(folder.join("hosts.csv")).unwrap();
    starts("hosts.csv");
}
