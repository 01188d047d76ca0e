//! A cluster of real processes of the program with their stand-in endpoints and a relay on every link.

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

/// The target of a relay whose process is not running yet: the discard port, on which nothing listens.
const UNREACHABLE_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// The number of the next cluster in this process, which makes the name of its folder unique.
static NEXT_CLUSTER: AtomicUsize = AtomicUsize::new(0);

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of groups of endpoints.
    pub groups: u32,
    /// Endpoints of each group.
    pub endpoints_per_group: usize,
    /// Nodes persist their store in a file.
    pub has_store_files: bool,
    /// The clock offset of each node by its index; nodes beyond the end have [`ClockOffset::NONE`].
    pub clock_offsets: Vec<ClockOffset>,
    /// The program has version 0.2.0 or older: it has no fleet, and its links carry no frames.
    pub is_legacy: bool,
    /// Number of additional endpoints in the inventory at whose address nothing listens.
    pub unreachable_endpoints: usize,
    /// The region of each zone by the zone's index; zones beyond the end have no region.
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

/// One node of a cluster, whose process may be killed and restarted.
pub struct ClusterNode {
    /// The node's name: `b` followed by its index.
    pub name: String,
    /// The listen address of the store of the current process, which bypasses the relays.
    pub store_address: SocketAddr,
    /// The folder with the files that the node reads and writes.
    pub folder: PathBuf,
    process: Option<Process>,
    /// The log of the node's earlier processes.
    earlier_log: NodeLog,
    is_paused: bool,
}

impl ClusterNode {
    fn new(index: usize, folder: PathBuf) -> ClusterNode {
        ClusterNode {
            name: format!("b{index}"),
            store_address: UNREACHABLE_ADDRESS,
            folder,
            process: None,
            earlier_log: Vec::new(),
            is_paused: false,
        }
    }

    /// The node's running process.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("the node is running")
    }

    /// The path of the node's store file, which exists only if the configuration has store files.
    pub fn store_file(&self) -> PathBuf {
        self.folder.join(files::STORE_FILE)
    }
}

/// The link whose connections one node opens to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PeerLink {
    from: usize,
    to: usize,
}

/// A cluster, whose nodes are addressed by index. Dropping it kills all processes and removes the files. If the test
/// has failed or the environment variable `LAB_KEEP` is set, the files stay and each node's log is written next to
/// them.
pub struct TestCluster {
    /// The nodes by their index.
    pub nodes: Vec<ClusterNode>,
    /// The endpoints behind the nodes.
    pub endpoints: StandInEndpoints,
    /// The periods in which nodes were killed or paused.
    pub downtimes: Vec<Downtime>,
    program: PathBuf,
    config: ClusterConfig,
    /// The relay on each link between nodes.
    peer_links: BTreeMap<PeerLink, Relay>,
    /// The relay in front of each node's SPARQL server.
    sparql_relays: Vec<Relay>,
    /// The relay at the store address that each node advertises, used by nodes whose files do not name that node.
    advertised_relays: Vec<Relay>,
    /// The relay in front of each endpoint, by the endpoint's name.
    endpoint_relays: BTreeMap<String, Relay>,
    _permit: ProcessPermit,
}

impl TestCluster {
    /// Creates a cluster of `program` with its files below `parent_folder`, without starting any process. Waits until
    /// enough cores are free for its nodes.
    ///
    /// # Panics
    ///
    /// Panics if a file cannot be written or no port is free.
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

    /// Adds a node whose file names `peers`, without starting it; the files of the other nodes do not name it. Returns
    /// its index.
    ///
    /// # Panics
    ///
    /// Panics under the same conditions as [`TestCluster::new`].
    pub fn add_node(&mut self, peers: &[usize]) -> usize {
        let index = self.nodes.len();
        let folder = self.nodes[0].folder.with_file_name(format!("b{index}"));
        self.add_stopped_node(folder);
        self.write_files(index, peers);
        index
    }

    /// Adds a node and its relays without starting its process or writing its files.
    fn add_stopped_node(&mut self, folder: PathBuf) {
        std::fs::create_dir_all(&folder).expect("the node's folder is created");
        let index = self.nodes.len();
        self.nodes.push(ClusterNode::new(index, folder));
        self.sparql_relays.push(Relay::start(UNREACHABLE_ADDRESS, RelayProtocol::Bytes));
        self.advertised_relays.push(Relay::start(UNREACHABLE_ADDRESS, RelayProtocol::FleetFrames));
        let protocol = if self.config.is_legacy { RelayProtocol::Bytes } else { RelayProtocol::FleetFrames };
        for other in 0..index {
            let to_other = Relay::start(self.nodes[other].store_address, protocol);
            self.peer_links.insert(PeerLink { from: index, to: other }, to_other);
            let from_other = Relay::start(UNREACHABLE_ADDRESS, protocol);
            self.peer_links.insert(PeerLink { from: other, to: index }, from_other);
        }
    }

    /// The address at which clients reach a node's SPARQL server, the same across restarts of the node.
    pub fn sparql_address(&self, node: usize) -> SocketAddr {
        self.sparql_relays[node].address
    }

    /// Starts clients that spread a load over all nodes.
    pub fn start_load(&self, profile: LoadProfile) -> Load {
        let addresses: Vec<SocketAddr> = self.sparql_relays.iter().map(|relay| relay.address).collect();
        Load::start(&addresses, profile)
    }

    /// The log of a node's current process.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    pub fn log(&self, node: usize) -> NodeLog {
        self.nodes[node].process().log()
    }

    /// The logs of all nodes, including those of their earlier processes.
    pub fn logs(&self) -> Vec<NodeLog> {
        let complete_log = |node: &ClusterNode| {
            let mut lines = node.earlier_log.clone();
            lines.extend(node.process.as_ref().map(Process::log).unwrap_or_default());
            lines
        };
        self.nodes.iter().map(complete_log).collect()
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
