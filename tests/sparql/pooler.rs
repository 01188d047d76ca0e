//! The program on an operator's file, and requests to it.

use super::stand_in::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub fn inventory(hosts: &[(&str, SocketAddr)]) -> String {
    let lines = hosts.iter().map(|(name, address)| format!("{name},{address},1\n"));
    "name,address,group\n".to_string() + &lines.collect::<String>()
}

/// An operator's file beside an inventory; the folder.
pub fn files(name: &str, hosts: &[(&str, SocketAddr)], peers: &[SocketAddr]) -> PathBuf {
    let folder = folder(name);
    std::fs::write(folder.join("hosts.csv"), inventory(hosts)).unwrap();
    let peers = peers.iter().map(|p| p.to_string()).collect::<Vec<_>>().join(", ");
    let text = include_str!("../../deploy/operator.yaml")
        .replace("127.0.0.1:8890", "127.0.0.1:0")
        .replace("127.0.0.1:8891", "127.0.0.1:0")
        .replace("127.0.0.1:8892", "127.0.0.1:0")
        .replace("name: b1", &format!("name: {name}"))
        .replace("peers: []", &format!("peers: [{peers}]"))
        .replace("inventory: inventory.yaml", "inventory: hosts.csv");
    std::fs::write(folder.join("operator.yaml"), text).unwrap();
    folder
}

pub struct Running {
    pub daemon: Daemon,
    pub store: SocketAddr,
    pub front: SocketAddr,
}

pub fn start(folder: &Path) -> Running {
    let file = folder.join("operator.yaml");
    let mut daemon = Daemon::start(&["--operator", file.to_str().unwrap()], &[]);
    let store = daemon.address("store at http://");
    let front = daemon.address("SPARQL at http://");
    eventually("ready", || call(front, "GET /-/ready HTTP/1.1\r\n\r\n").status() == 200);
    Running { daemon, store, front }
}

pub fn query(headers: &str) -> String {
    format!("GET /sparql?query=SELECT%20%2A HTTP/1.1\r\nHost: b\r\n{headers}\r\n")
}

pub fn update(headers: &str) -> String {
    format!(
        "POST /sparql HTTP/1.1\r\nHost: b\r\nContent-Type: application/sparql-update\r\nContent-Length: 9\r\n{headers}\r\nCLEAR ALL"
    )
}

/// Whether an answer's data, its text, is from a point in time that its read did not allow.
pub fn is_stale(answer: &Http, sent_at: i64, allowed: i64) -> bool {
    answer.text().parse::<i64>().unwrap() < sent_at - allowed
}
