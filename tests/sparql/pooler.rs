//! Starts the program with an operator's file and sends requests to it.

use super::stand_in::http::{HttpMessage, call};
use super::stand_in::process::{Process, test_directory};
use super::stand_in::waiting::eventually;
use brookpass_testkit::log_lines;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An endpoint, as a line of the inventory.
pub struct InventoryEntry {
    name: String,
    address: SocketAddr,
    group: u32,
}

/// An endpoint of group 1.
pub fn entry(name: &str, address: SocketAddr) -> InventoryEntry {
    entry_of_group(name, address, 1)
}

pub fn entry_of_group(name: &str, address: SocketAddr, group: u32) -> InventoryEntry {
    InventoryEntry { name: name.to_string(), address, group }
}

fn inventory_csv(entries: &[InventoryEntry]) -> String {
    let mut csv = "name,address,group\n".to_string();
    for InventoryEntry { name, address, group } in entries {
        csv += &format!("{name},{address},{group}\n");
    }
    csv
}

/// An operator's file and its inventory, in a directory of their own.
pub struct OperatorFiles {
    pub directory: PathBuf,
}

impl OperatorFiles {
    /// Writes the files of a pooler without peers. `name` is the pooler's name and the start of the directory's.
    pub fn write(name: &str, entries: &[InventoryEntry]) -> OperatorFiles {
        OperatorFiles::write_with_peers(name, entries, &[])
    }

    /// Like [`OperatorFiles::write`], for a pooler with peers at these store addresses.
    pub fn write_with_peers(name: &str, entries: &[InventoryEntry], peers: &[SocketAddr]) -> OperatorFiles {
        let files = OperatorFiles { directory: test_directory(name) };
        files.write_inventory(entries);
        let peer_texts: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
        let text = include_str!("../../deploy/operator.yaml")
            .replace("127.0.0.1:8890", "127.0.0.1:0")
            .replace("127.0.0.1:8891", "127.0.0.1:0")
            .replace("127.0.0.1:8892", "127.0.0.1:0")
            .replace("name: b1", &format!("name: {name}"))
            .replace("peers: []", &format!("peers: [{}]", peer_texts.join(", ")))
            .replace("inventory: inventory.yaml", "inventory: hosts.csv");
        std::fs::write(files.operator_path(), text).unwrap();
        files
    }

    pub fn operator_path(&self) -> PathBuf {
        self.directory.join("operator.yaml")
    }

    pub fn inventory_path(&self) -> PathBuf {
        self.directory.join("hosts.csv")
    }

    /// The current text of the operator's file.
    pub fn operator_text(&self) -> String {
        std::fs::read_to_string(self.operator_path()).unwrap()
    }

    /// Replaces the text of the operator's file by the result of `edit`.
    pub fn edit_operator_file(&self, edit: impl Fn(&str) -> String) {
        std::fs::write(self.operator_path(), edit(&self.operator_text())).unwrap();
    }

    /// Replaces the inventory by these entries.
    pub fn write_inventory(&self, entries: &[InventoryEntry]) {
        std::fs::write(self.inventory_path(), inventory_csv(entries)).unwrap();
    }
}

/// The program, ready for clients.
pub struct RunningPooler {
    pub process: Process,
    /// The address of the HTTP server for the store and the fleet.
    pub store_address: SocketAddr,
    /// The address for clients.
    pub client_address: SocketAddr,
}

/// Starts the program with these files and waits until it is ready.
pub fn start_pooler(files: &OperatorFiles) -> RunningPooler {
    let mut process = start_process(&files.operator_path());
    let store_address = process.wait_for_address(log_lines::STORE_LISTENING);
    let client_address = process.wait_for_address(log_lines::SPARQL_LISTENING);
    let pooler = RunningPooler { process, store_address, client_address };
    eventually("the pooler is ready", || pooler.readiness() == 200);
    pooler
}

/// Starts the program with an operator's file and does not wait until it is ready.
pub fn start_process(operator_path: &Path) -> Process {
    Process::start(&["--operator", operator_path.to_str().unwrap()], &[])
}

impl RunningPooler {
    /// Sends a client's request on a new connection and waits for its response.
    pub fn call(&self, request: &str) -> HttpMessage {
        call(self.client_address, request)
    }

    /// Sends a request to the store and waits for its response.
    pub fn call_store(&self, request: &str) -> HttpMessage {
        call(self.store_address, request)
    }

    /// The status of the readiness check.
    pub fn readiness(&self) -> u16 {
        self.call("GET /-/ready HTTP/1.1\r\n\r\n").status()
    }

    /// The store's list of endpoints, one per line.
    pub fn endpoint_list(&self) -> String {
        self.call_store("GET /hosts HTTP/1.1\r\n\r\n").text()
    }

    /// Kills the process without a shutdown, as in a crash, and waits for its exit.
    pub fn kill(&mut self) {
        self.process.signal("-KILL");
        self.process.wait_for_exit();
    }
}

/// A query with these additional header lines, each of which ends with CRLF.
pub fn query_request(headers: &str) -> String {
    format!("GET /sparql?query=SELECT%20%2A HTTP/1.1\r\nHost: b\r\n{headers}\r\n")
}

/// An update with these additional header lines, each of which ends with CRLF.
pub fn update_request(headers: &str) -> String {
    format!(
        "POST /sparql HTTP/1.1\r\nHost: b\r\nContent-Type: application/sparql-update\r\nContent-Length: 9\r\n{headers}\r\nCLEAR ALL"
    )
}

/// Whether a response was made from data older than its read allows. Its body is the position of that data.
pub fn is_stale(response: &HttpMessage, sent_at_ms: i64, allowed_age_ms: i64) -> bool {
    let position_ms: i64 = response.text().parse().unwrap();
    position_ms < sent_at_ms - allowed_age_ms
}
