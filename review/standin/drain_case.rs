//! A drain that a node takes while it is cut off from the others.

use crate::http;
use crate::relay::Relay;
use crate::sparql::{self, Endpoint};
use crate::util::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const NODES: usize = 3;
/// The grace of a drain (250 ms), and what every limit is longer by on sockets (50 ms).
const GRACE_US: i64 = 300_000;

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub store: SocketAddr,
    _program: Program,
}

/// The value of a line of `GET /fleet` that starts with `key`, without the key.
fn fleet_line(store: SocketAddr, key: &str) -> String {
    let text = http::call(store, "GET", "/fleet").body;
    let line = text.lines().find(|line| line.starts_with(key)).unwrap_or("");
    line.trim_start_matches(key).trim().to_string()
}

fn leader_name(store: SocketAddr) -> String {
    fleet_line(store, "leader ").split(' ').next().unwrap_or("none").to_string()
}

fn hosts_line(store: SocketAddr, host: &str) -> String {
    let text = http::call(store, "GET", "/hosts").body;
    text.lines().find(|line| line.contains(host)).unwrap_or("").to_string()
}

/// A fleet of three nodes in front of one set, with relays on all links between the nodes and with clients.
pub struct TestFleet {
    pub nodes: Vec<Node>,
    /// `relays[from][to]`: the link that `from` opens to `to`.
    pub relays: Vec<Vec<Relay>>,
    pub endpoints: Vec<Arc<Endpoint>>,
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<(i64, String, u16)>>>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl TestFleet {
    /// `None` if the nodes do not become ready.
    pub fn start(place: &Place) -> Option<TestFleet> {
        let endpoints: Vec<Arc<Endpoint>> =
            (1..=3).map(|n| Endpoint::start(&format!("s-{n}"), "set 1", n == 1, 20)).collect();
        let mut inventory = String::from("name,address,group,zone\n");
        for endpoint in &endpoints {
            inventory += &format!("{},{},1,zona-10\n", endpoint.name, endpoint.address);
        }
        let fronts: Vec<SocketAddr> = (0..NODES).map(|_| free_address()).collect();
        let stores: Vec<SocketAddr> = (0..NODES).map(|_| free_address()).collect();
        let relays: Vec<Vec<Relay>> =
            (0..NODES).map(|_| (0..NODES).map(|to| Relay::start(stores[to])).collect()).collect();
        let mut nodes = Vec::new();
        for n in 0..NODES {
            let name = format!("b{}", n + 1);
            let folder = place.temporary.join(&name);
            std::fs::create_dir_all(&folder).expect("a folder");
            let peers: Vec<String> =
                (0..NODES).filter(|to| *to != n).map(|to| relays[n][to].address.to_string()).collect();
            let text = format!(
                "name: {name}\nnumber: {n}\nsparql:\n  listen: {}\n  path: /sparql\n  host_path: /sparql\n  \
                 query: catalog-read\n  session: own-edit-read\n  update: score-write\n  group: 1\nstore:\n  \
                 listen: {}\n  peers: [{}]\n  snapshot: {name}.store\ninventory: inventory.csv\n\
                 zones: [zona-10]\nsockets: 1024\n{}",
                fronts[n],
                stores[n],
                peers.join(", "),
                sparql::settings(NODES)
            );
            let file = folder.join("operator.yaml");
            std::fs::write(&file, text).expect("the operator's file");
            std::fs::write(folder.join("inventory.csv"), &inventory).expect("the inventory");
            let arguments = format!("--operator {}", file.display());
            let log = place.temporary.join(format!("{name}.log"));
            let program = Program::start(&place.root, &arguments, &[], &log);
            nodes.push(Node { name, front: fronts[n], store: stores[n], _program: program });
        }
        let (stop, answers) = (Arc::default(), Arc::default());
        let mut fleet = TestFleet { nodes, relays, endpoints, stop, answers, clients: Vec::new() };
        if !wait_for(25.0, || fleet.nodes.iter().all(|node| sparql::is_ready(node.front))) {
            place.record.say("could not run: the nodes are not ready");
            return None;
        }
        place.record.line("all nodes are ready");
        fleet.start_clients();
        Some(fleet)
    }

    /// Two clients at each node, who read all the time.
    fn start_clients(&mut self) {
        for node in &self.nodes {
            for _ in 0..2 {
                let (stop, answers) = (self.stop.clone(), self.answers.clone());
                let (front, name) = (node.front, node.name.clone());
                self.clients.push(thread::spawn(move || {
                    let mut count = 0;
                    while !stop.load(Ordering::SeqCst) {
                        count += 1;
                        let class = if count % 2 == 0 { "catalog-read" } else { "own-edit-read" };
                        let sent_us = now_us();
                        let query = sparql::query("read", &format!("Brookpass-Class: {class}\r\n"));
                        let status = sparql::send(front, &query).status();
                        answers.lock().expect("lock of the answers").push((sent_us, name.clone(), status));
                        sleep_ms(25);
                    }
                }));
            }
        }
    }

    /// Stops the clients and writes to the record what was asked, answered and run.
    pub fn stop(self, record: &Record) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        for (sent_us, name, status) in self.answers.lock().expect("lock of the answers").iter() {
            record.line_at(*sent_us, &format!("read at {name}: {status}"));
        }
        for endpoint in &self.endpoints {
            for arrival in endpoint.arrivals() {
                record.line_at(arrival.at_us, &format!("{} ran a read from {}", endpoint.name, arrival.via));
            }
        }
    }

    /// The index of the leader; `None` if there is none.
    pub fn leader(&self) -> Option<usize> {
        let leader = leader_name(self.nodes[0].store);
        self.nodes.iter().position(|node| node.name == leader)
    }

    pub fn say_hosts(&self, record: &Record) {
        for node in &self.nodes {
            record.say(&format!("GET /hosts at {}: {}", node.name, hosts_line(node.store, "s-2")));
        }
    }
}

pub fn run(place: &Place) -> i32 {
    let Some(fleet) = TestFleet::start(place) else { return COULD_NOT_RUN };
    let result = steps(place, &fleet);
    fleet.stop(&place.record);
    result
}

/// An operator's call.
pub fn operator(place: &Place, node: &Node, path: &str) -> u16 {
    let answer = http::call(node.store, "POST", path);
    place.record.say(&format!(
        "operator at {}: POST {path}: {} {}",
        node.name,
        answer.status(),
        answer.body.trim()
    ));
    answer.status()
}

fn steps(place: &Place, fleet: &TestFleet) -> i32 {
    let record = &place.record;
    let (nodes, relays, drained) = (&fleet.nodes, &fleet.relays, &fleet.endpoints[1]);
    sleep_ms(1500);
    let Some(leader_index) = fleet.leader() else {
        record.say("could not run: no leader");
        return COULD_NOT_RUN;
    };
    let alone = (0..NODES).find(|n| *n != leader_index).expect("a node that does not lead");
    record.say(&format!(
        "{} leads; {} is the node that is cut off",
        nodes[leader_index].name, nodes[alone].name
    ));
    if operator(place, &nodes[leader_index], "/drain/s-2") != 200 {
        record.say("could not run: the first drain is not committed");
        return COULD_NOT_RUN;
    }
    sleep_ms(1000);
    let set_cut = |cut: bool| {
        for n in (0..NODES).filter(|n| *n != alone) {
            relays[alone][n].set_cut(cut);
            relays[n][alone].set_cut(cut);
        }
    };
    if trouble() {
        set_cut(true);
        record.say(&format!("{} is cut off from the other nodes", nodes[alone].name));
    }
    sleep_ms(500);
    if operator(place, &nodes[leader_index], "/undrain/s-2") != 200 {
        record.say("could not run: the undrain is not committed");
        return COULD_NOT_RUN;
    }
    sleep_ms(500);
    let status = operator(place, &nodes[alone], "/drain/s-2");
    let taken_us = now_us();
    if status != 200 && status != 202 {
        record.say("held: the drain was refused");
        return HELD;
    }
    sleep_ms(2000);
    if trouble() {
        set_cut(false);
        record.say("the cut is over");
    }
    let caught_up = wait_for(20.0, || {
        let applied: Vec<String> = nodes.iter().map(|node| fleet_line(node.store, "agreed ")).collect();
        nodes.iter().all(|node| leader_name(node.store) != "none")
            && applied.iter().all(|line| line.contains("lag 0") && *line == applied[0])
    });
    if !caught_up {
        record.say("could not run: the nodes have not caught up");
        return COULD_NOT_RUN;
    }
    record.say("all nodes have applied the same log");
    sleep_ms(3000);
    fleet.say_hosts(record);
    // The node that took the drain has heard of it: from then on it sends nothing to s-2.
    let name = &nodes[alone].name;
    let late: Vec<i64> = drained
        .arrivals()
        .iter()
        .filter(|arrival| arrival.via == *name && arrival.at_us > taken_us + GRACE_US)
        .map(|arrival| (arrival.at_us - taken_us) / 1000)
        .collect();
    if late.is_empty() {
        record.say("held: the drain is kept");
        return HELD;
    }
    record.say(&format!(
        "broken: {name} took the drain with {status}, nobody undid it, and {name} sent {} reads to s-2 from {} ms later on",
        late.len(), late[0]
    ));
    BROKEN
}
