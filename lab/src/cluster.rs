//! A cluster of real processes of the program with a relay on every link, and their stand-in endpoints.

mod files;
mod lifecycle;
mod links;
mod process_permit;
mod schedule;
mod status;

pub use files::SERVICE_SETTINGS;
pub use schedule::OperatorCall;
pub use status::ZoneWeight;

use crate::check::{Downtime, NodeLog};
use crate::client::{Load, LoadProfile};
use crate::endpoint::StandInEndpoints;
use crate::process::{ClockOffset, Process};
use crate::relay::{Relay, RelayProtocol};
use process_permit::ProcessPermit;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The zones of every cluster.
const ZONES: [&str; 3] = ["z-0", "z-1", "z-2"];

/// The discard port, where nobody listens: the target of relays whose process does not run yet.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// Count of the clusters of this process, for the names of their folders.
static NEXT_CLUSTER: AtomicUsize = AtomicUsize::new(0);

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Count of nodes.
    pub nodes: usize,
    /// Count of groups of endpoints.
    pub groups: u32,
    /// Endpoints of each group.
    pub endpoints_per_group: usize,
    /// Nodes keep their store in a file.
    pub has_store_files: bool,
    /// The clock offset of each node by its index; [`ClockOffset::NONE`] for those beyond the end.
    pub clock_offsets: Vec<ClockOffset>,
    /// The program is of version 0.2.0 or before: it has no fleet, and its links carry no frames.
    pub is_legacy: bool,
    /// Endpoints in the inventory beside those that run: nobody listens at their address.
    pub unreachable_endpoints: usize,
    /// The region of each zone by the zone's number; none by default.
    pub regions: Vec<String>,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            nodes: 5,
            groups: 2,
            endpoints_per_group: 3,
            has_store_files: true,
            clock_offsets: Vec::new(),
            is_legacy: false,
            unreachable_endpoints: 0,
            regions: Vec::new(),
        }
    }
}

/// One node of a cluster. Its process may be killed and started again.
pub struct ClusterNode {
    /// Its name: `b` and its index.
    pub name: String,
    /// Where the present process's store listens, behind all relays.
    pub store_address: SocketAddr,
    /// Its folder, with the files that it reads and writes.
    pub folder: PathBuf,
    process: Option<Process>,
    /// The log of its processes that have ended.
    earlier_log: NodeLog,
    is_paused: bool,
}

impl ClusterNode {
    fn new(index: usize, folder: PathBuf) -> ClusterNode {
        ClusterNode {
            name: format!("b{index}"),
            store_address: NO_ADDRESS,
            folder,
            process: None,
            earlier_log: Vec::new(),
            is_paused: false,
        }
    }

    /// The node's process.
    ///
    /// # Panics
    ///
    /// When it does not run.
    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("the node runs")
    }

    /// The path of the node's store.
    pub fn store_file(&self) -> PathBuf {
        self.folder.join(files::STORE_FILE)
    }
}

/// The link that a node opens to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PeerLink {
    from: usize,
    to: usize,
}

/// A cluster. Nodes are named by their index. All processes are killed when it is dropped, and its files are removed,
/// unless the test has failed or the variable `LAB_KEEP` is set: then each node's log is written beside its files.
pub struct TestCluster {
    /// The nodes.
    pub nodes: Vec<ClusterNode>,
    /// The endpoints behind the nodes.
    pub endpoints: StandInEndpoints,
    /// When nodes did not run.
    pub downtimes: Vec<Downtime>,
    program: PathBuf,
    config: ClusterConfig,
    /// The relay on each link between nodes.
    peer_links: BTreeMap<PeerLink, Relay>,
    /// The relay before each node's SPARQL server.
    sparql_relays: Vec<Relay>,
    /// The relay before each node's store at the address that it advertises, for nodes whose files do not name it.
    advertised_relays: Vec<Relay>,
    /// The relay before each endpoint, by the endpoint's name.
    endpoint_relays: BTreeMap<String, Relay>,
    _permit: ProcessPermit,
}

impl TestCluster {
    /// Creates a cluster of this program, whose processes do not run yet, with its files below `parent_folder`. Waits
    /// until the machine has room for its nodes.
    ///
    /// # Panics
    ///
    /// When files cannot be written or no port is free.
    pub fn new(program: &Path, parent_folder: &Path, config: ClusterConfig) -> TestCluster {
        let permit = ProcessPermit::acquire(config.nodes);
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let folder = parent_folder.join(format!("lab-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let endpoints =
            StandInEndpoints::start(config.groups, config.endpoints_per_group, &ZONES.map(String::from));
        let endpoint_relays = endpoints
            .iter()
            .map(|endpoint| (endpoint.name.clone(), Relay::start(endpoint.address, RelayProtocol::Bytes)));
        let mut cluster = TestCluster {
            nodes: Vec::new(),
            downtimes: Vec::new(),
            program: program.to_path_buf(),
            peer_links: BTreeMap::new(),
            sparql_relays: Vec::new(),
            advertised_relays: Vec::new(),
            endpoint_relays: endpoint_relays.collect(),
            endpoints,
            config,
            _permit: permit,
        };
        let all: Vec<usize> = (0..cluster.config.nodes).collect();
        for index in &all {
            cluster.add_stopped_node(folder.join(format!("b{index}")));
        }
        for index in &all {
            cluster.write_files(*index, &all);
        }
        cluster
    }

    /// Adds a node, which does not run yet, whose file names these peers; theirs do not name it. Returns its index.
    ///
    /// # Panics
    ///
    /// As [`TestCluster::new`].
    pub fn add_node(&mut self, peers: &[usize]) -> usize {
        let index = self.nodes.len();
        let folder = self.nodes[0].folder.with_file_name(format!("b{index}"));
        self.add_stopped_node(folder);
        self.write_files(index, peers);
        index
    }

    /// Adds a node with its relays.
    fn add_stopped_node(&mut self, folder: PathBuf) {
        std::fs::create_dir_all(&folder).expect("a folder");
        let index = self.nodes.len();
        self.nodes.push(ClusterNode::new(index, folder));
        self.sparql_relays.push(Relay::start(NO_ADDRESS, RelayProtocol::Bytes));
        self.advertised_relays.push(Relay::start(NO_ADDRESS, RelayProtocol::FleetFrames));
        let protocol = if self.config.is_legacy { RelayProtocol::Bytes } else { RelayProtocol::FleetFrames };
        for other in 0..index {
            let to_other = Relay::start(self.nodes[other].store_address, protocol);
            self.peer_links.insert(PeerLink { from: index, to: other }, to_other);
            let from_other = Relay::start(NO_ADDRESS, protocol);
            self.peer_links.insert(PeerLink { from: other, to: index }, from_other);
        }
    }

    /// Where clients reach a node's SPARQL server; it stays when the node starts again.
    pub fn sparql_address(&self, node: usize) -> SocketAddr {
        self.sparql_relays[node].address
    }

    /// Starts a load on all nodes.
    pub fn start_load(&self, profile: LoadProfile) -> Load {
        let addresses: Vec<SocketAddr> = self.sparql_relays.iter().map(|relay| relay.address).collect();
        Load::start(&addresses, profile)
    }

    /// The log of a node's present process.
    ///
    /// # Panics
    ///
    /// When the node does not run.
    pub fn log(&self, node: usize) -> NodeLog {
        self.nodes[node].process().log()
    }

    /// The logs of all nodes, with those of processes that have ended.
    pub fn logs(&self) -> Vec<NodeLog> {
        let whole_log = |node: &ClusterNode| {
            let mut lines = node.earlier_log.clone();
            lines.extend(node.process.as_ref().map(Process::log).unwrap_or_default());
            lines
        };
        self.nodes.iter().map(whole_log).collect()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        let keep_files = thread::panicking() || std::env::var_os("LAB_KEEP").is_some();
        for (node, log) in self.nodes.iter().zip(self.logs()) {
            if keep_files && std::fs::write(node.folder.join("log"), log.join("\n")).is_ok() {
                eprintln!("{}: {}", node.name, node.folder.display());
            }
        }
        for node in &mut self.nodes {
            node.process = None;
        }
        let folder = self.nodes.first().and_then(|node| node.folder.parent());
        if let Some(folder) = folder.filter(|_| !keep_files) {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}
