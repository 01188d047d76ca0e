//! Nodes of this build in a fleet with nodes of commit 029518c. The old program cannot run here, so a stand-in with its
//! own declarations of that commit's messages replaces it (tests/old_node).

mod old_node;

use brookpass_testkit::cluster::SERVICE_SETTINGS;
use brookpass_testkit::process::{ClockOffset, Process};
use brookpass_testkit::relay::{Relay, RelayProtocol};
use brookpass_testkit::{eventually, http, log_lines};
use old_node::OldNode;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An address without a listener: the target of a relay until its node has started.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("mixed-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// A node of this build. Its peers reach it through a relay, so that its address is known before it starts.
struct NewNode {
    process: Process,
    store: SocketAddr,
}

impl NewNode {
    fn start(folder: &Path, number: usize, relay: &Relay, peers: &[SocketAddr]) -> NewNode {
        let folder = folder.join(format!("b{number}"));
        fs::create_dir_all(&folder).unwrap();
        let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "name: b{number}\nnumber: {number}\nsparql:\n  listen: 127.0.0.1:0\n  query: catalog-read\n  \
             session: own-edit-read\n  update: score-write\nstore:\n  listen: 127.0.0.1:0\n  advertise: {}\n  \
             peers: [{}]\n  snapshot: fleet.store\ninventory: hosts.csv\nzones: [z-0, z-1]\nsockets: 512\n\
             settings:\n  balancers: 3\n{SERVICE_SETTINGS}",
            relay.address,
            peers.join(", ")
        );
        fs::write(folder.join("operator.yaml"), text).unwrap();
        let hosts =
            "name,address,group,zone\ns-1,127.0.0.1:9,1,z-0\ns-2,127.0.0.1:9,1,z-1\ns-3,127.0.0.1:9,1,z-1\n";
        fs::write(folder.join("hosts.csv"), hosts).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_brookpass"));
        let file = folder.join("operator.yaml");
        let process = Process::start(program, &["--operator", &file.to_string_lossy()], ClockOffset::NONE);
        let store = process.wait_for_address(log_lines::STORE_LISTENING);
        relay.set_target(store);
        NewNode { process, store }
    }

    fn get(&self, path: &str) -> String {
        http::get_text(self.store, path)
    }

    fn post(&self, path: &str) -> u16 {
        http::post_status(self.store, path)
    }

    fn wait_for_voters(&self, voters: usize) {
        eventually("all nodes vote", || {
            self.get("/fleet")
                .lines()
                .filter(|line| line.starts_with("member ") && line.contains(" voter"))
                .count()
                == voters
        });
    }

    fn wait_for_inventory(&self) {
        eventually("the inventory is committed", || self.get("/hosts").lines().count() == 3);
    }

    fn wait_for_drain(&self, endpoint: &str) {
        eventually("the endpoint is drained", || {
            self.get("/hosts")
                .lines()
                .any(|line| line.starts_with(&format!("{endpoint} ")) && line.contains(" leaving "))
        });
    }
}

/// Guards against a change of the messages or of the log that nodes of the earlier version cannot read: in this test
/// the new node leads, and it has no majority without them.
#[test]
fn one_new_node_and_two_old_nodes_agree_on_drains() {
    let folder = folder("two-old");
    let old = [OldNode::start(0x0b1, "b1"), OldNode::start(0x0b2, "b2")];
    let relay = Relay::start(UNUSED_ADDRESS, RelayProtocol::Bytes);
    let new = NewNode::start(&folder, 0, &relay, &[old[0].address, old[1].address]);
    old.iter().for_each(|node| node.link_to(relay.address));
    new.wait_for_voters(3);
    new.wait_for_inventory();
    old.iter().for_each(OldNode::wait_until_following);
    assert_eq!(new.post("/drain/s-1"), 200, "committed by a majority");
    let drain_ids = old.each_ref().map(|node| node.committed_drain("s-1"));
    assert_eq!(drain_ids[0], drain_ids[1]);
    assert!(new.get("/fleet").lines().any(|line| line == "drain s-1"));
    let drain_id = old[0].drain("s-2", 7);
    assert_eq!(old.each_ref().map(|node| node.committed_drain("s-2")), [drain_id; 2]);
    new.wait_for_drain("s-2");
}

/// Guards against new nodes that do not accept an old node's drains, or do not count its votes and acknowledgements.
#[test]
fn two_new_nodes_and_an_old_node_agree_on_drains_and_on_a_leader() {
    let folder = folder("one-old");
    let old = OldNode::start(0x0b2, "b2");
    let relays = [
        Relay::start(UNUSED_ADDRESS, RelayProtocol::Bytes),
        Relay::start(UNUSED_ADDRESS, RelayProtocol::Bytes),
    ];
    let start = |number: usize| {
        NewNode::start(&folder, number, &relays[number], &[relays[1 - number].address, old.address])
    };
    let mut new = [start(0), start(1)];
    relays.iter().for_each(|relay| old.link_to(relay.address));
    new.iter().for_each(|node| node.wait_for_voters(3));
    new.iter().for_each(NewNode::wait_for_inventory);
    old.wait_until_following();
    assert_eq!(new[1].post("/drain/s-1"), 200, "committed by a majority");
    let drain_id = old.committed_drain("s-1");
    assert_ne!(drain_id.node, old.id);
    let drain_id = old.drain("s-2", 7);
    assert_eq!(old.committed_drain("s-2"), drain_id);
    new.iter().for_each(|node| node.wait_for_drain("s-2"));
    // The remaining new node now needs the old node's vote, and its acknowledgement that it has stored an entry.
    let votes_before = old.votes();
    new[0].process.kill();
    assert_eq!(new[1].post("/drain/s-3"), 200, "committed by the two remaining nodes");
    old.committed_drain("s-3");
    assert!(old.votes() > votes_before, "the old node was asked for its vote");
}
