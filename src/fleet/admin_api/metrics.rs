//! The fleet's metrics in the text format of the administration server.

use crate::fleet::runtime::Fleet;
use std::fmt::Write;

/// The type of a metric, written as the last letter of its line.
#[derive(Clone, Copy)]
enum Kind {
    /// A value that can increase and decrease.
    Gauge,
    /// A value that only increases, from 0 at the start of the process.
    Counter,
}

/// Formats the fleet's metrics, one line each.
pub fn render_metrics(fleet: &Fleet) -> String {
    let (agreed, peers, zones) = (fleet.agreed(), fleet.peers(), fleet.zone_metrics());
    let status = agreed.status();
    let unsent_messages: u64 = peers.links().map(|link| link.dropped_messages()).sum();
    let pending_drains = fleet.drains().pending().all().len();
    let rollbacks = fleet.log_rollbacks.borrow().all().len();
    let metrics = [
        ("members", agreed.state().members.len() as u64, Kind::Gauge),
        ("voters", status.configuration.voters.len() as u64, Kind::Gauge),
        ("heard", reachable_members(fleet), Kind::Gauge),
        ("led", u64::from(agreed.has_leader()), Kind::Gauge),
        ("leads", u64::from(agreed.is_leader()), Kind::Gauge),
        ("term", status.term, Kind::Gauge),
        ("agreed", status.committed, Kind::Gauge),
        ("lag", fleet.replication_lag(), Kind::Gauge),
        ("unagreed_drains", pending_drains as u64, Kind::Gauge),
        ("log_bytes", status.log_size.bytes as u64, Kind::Gauge),
        ("dropped", peers.rejected_messages() + status.dropped_messages, Kind::Counter),
        ("unsent", unsent_messages, Kind::Counter),
        ("panics", status.raft_restarts, Kind::Counter),
        ("disk_writes", status.disk_writes, Kind::Counter),
        ("recovery_step", fleet.recovery_status().phase as u64, Kind::Gauge),
        ("zones_away", zones.reduced_zones, Kind::Gauge),
        ("zone_moves", zones.committed_moves, Kind::Counter),
        ("lost", rollbacks as u64, Kind::Gauge),
    ];
    let mut lines = String::new();
    for (name, value, kind) in metrics {
        let kind = match kind {
            Kind::Gauge => 'g',
            Kind::Counter => 'c',
        };
        let _ = writeln!(lines, "svc.fleet.{name}:{value}|{kind}");
    }
    lines
}

/// The number of members from which a message arrived within the time after which a peer counts as gone.
fn reachable_members(fleet: &Fleet) -> u64 {
    let (agreed, peers) = (fleet.agreed(), fleet.peers());
    let mut count = 0;
    for (id, status) in peers.statuses() {
        if agreed.is_member(*id) && status.last_heard.elapsed() < fleet.limits.peer_gone_timeout {
            count += 1;
        }
    }
    count
}
