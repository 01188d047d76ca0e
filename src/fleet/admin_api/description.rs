//! Descriptions of the fleet for operators: lines of plain text, one for each item.

use crate::engine::endpoints::EndpointRecord;
use crate::fleet::runtime::{AgreedState, Fleet};
use crate::ids::NodeId;
use crate::routing::Availability;
use crate::store::state_machine::{InventoryDifference, PendingDrain, ServiceSettings};
use crate::time::Timestamp;
use std::fmt::{self, Write};
use std::time::Instant;

/// Maximum number of removed members that are listed, those with the highest ids.
const MAX_LISTED_REMOVED_MEMBERS: usize = 8;

/// The endpoint list, one line for each endpoint.
pub(super) fn describe_endpoints(fleet: &Fleet) -> String {
    let Some(list) = fleet.endpoint_list() else { return String::new() };
    let lines: Vec<String> = list.entries.iter().map(describe_endpoint).collect();
    lines.join("\n")
}

fn describe_endpoint(record: &EndpointRecord) -> String {
    let EndpointRecord { name, address, zone, group, weight, started_at, .. } = record;
    let status = if record.availability == Availability::Ready { "active" } else { "leaving" };
    let started_at_millis = started_at.unwrap_or(Timestamp::ZERO).as_millis();
    format!("{name} {address} {group} {zone} {weight} {status} {started_at_millis}")
}

/// The gossiped state: the believed primaries, then guesses of primaries from before this start, then all observations.
pub(super) fn describe_gossip(fleet: &Fleet) -> String {
    let (agreed, gossip, now) = (fleet.agreed(), fleet.gossip(), fleet.now());
    let gossip = gossip.state();
    let mut lines = Vec::new();
    for (group, belief) in gossip.primary_beliefs() {
        let observer = agreed.node_name(belief.observer);
        let age = (now - belief.observed_at).as_millis();
        lines.push(format!("group {group} primary {} heard by {observer} {age} ms ago", belief.endpoint));
    }
    for (group, guess) in gossip.restored_primaries(agreed.state()) {
        let age = (now - guess.observed_at).as_millis();
        lines.push(format!("group {group} guess {} from before this start, {age} ms ago", guess.endpoint));
    }
    lines.extend(gossip.describe(now, |id| agreed.node_name(id)));
    lines.join("\n")
}

/// The role of this node in its fleet. The `Display` text is shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// Its storage failed.
    StorageFailed,
    /// It was removed from its fleet.
    Removed,
    /// It belongs to no fleet yet.
    NoFleet,
    /// It considers itself the leader.
    Leader,
    /// It has a vote.
    Voter,
    /// It replicates the log without a vote.
    Learner,
}

impl fmt::Display for NodeRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeRole::StorageFailed => "broken",
            NodeRole::Removed => "removed",
            NodeRole::NoFleet => "none",
            NodeRole::Leader => "leads",
            NodeRole::Voter => "voter",
            NodeRole::Learner => "follower",
        })
    }
}

/// Determines the role of this node; the first role in the order of [`NodeRole`] that applies.
pub fn node_role(agreed: &AgreedState) -> NodeRole {
    if agreed.storage_failure().is_some() {
        NodeRole::StorageFailed
    } else if agreed.is_removed() {
        NodeRole::Removed
    } else if !agreed.has_fleet() {
        NodeRole::NoFleet
    } else if agreed.is_leader() {
        NodeRole::Leader
    } else if agreed.status().configuration.voters.contains(&agreed.local_id()) {
        NodeRole::Voter
    } else {
        NodeRole::Learner
    }
}

/// The response to `GET /fleet`: consensus, service, drains, sources of the configuration, nodes and counters.
pub fn describe_fleet(fleet: &Fleet) -> String {
    let mut out = String::new();
    // Writing into a string cannot fail.
    let _ = write_consensus(&mut out, fleet);
    let _ = write_service(&mut out, fleet);
    let _ = write_drains(&mut out, fleet);
    let _ = write_sources(&mut out, fleet);
    let _ = write_nodes(&mut out, fleet);
    let _ = write_counters(&mut out, fleet);
    out
}

/// The name of a node, also of a non-member that this node has received messages from.
fn node_name(fleet: &Fleet, id: NodeId) -> String {
    let agreed = fleet.agreed();
    if id == NodeId::NONE && !agreed.is_member(id) {
        return "none".into();
    }
    if let Some(status) = fleet.peers().status(id)
        && !agreed.is_member(id)
    {
        return status.name.clone();
    }
    agreed.node_name(id)
}

fn write_consensus(out: &mut String, fleet: &Fleet) -> fmt::Result {
    let agreed = fleet.agreed();
    let (state, status) = (agreed.state(), agreed.status());
    writeln!(out, "fleet {:032x}", state.fleet)?;
    let name = &fleet.local().name;
    writeln!(out, "daemon {name} {:016x} {}", agreed.local_id(), node_role(&agreed))?;
    writeln!(out, "leader {} term {}", node_name(fleet, status.leader), status.term)?;
    writeln!(
        out,
        "agreed {} applied {} digest {:08x} lag {}",
        status.committed,
        agreed.applied_index(),
        state.digest,
        fleet.replication_lag()
    )
}

fn write_service(out: &mut String, fleet: &Fleet) -> fmt::Result {
    let agreed = fleet.agreed();
    let is_stale = !agreed.has_fleet() || !agreed.has_leader() || agreed.is_retired();
    let serves = match (&agreed.state().inventory, is_stale) {
        (None, _) => "nothing: no inventory was agreed yet",
        (Some(_), false) => "with what is agreed",
        (Some(_), true) => "with what was last agreed: no majority is known",
    };
    writeln!(out, "serves {serves}")?;
    if !agreed.has_fleet() {
        let founding = fleet.founding();
        writeln!(out, "waits {} ms: {}", founding.status_age().as_millis(), founding.status())?;
    }
    let recovery = fleet.recovery_status();
    match recovery.done_at {
        Some(done_at) => {
            let elapsed = (done_at - recovery.started_at).as_millis();
            writeln!(out, "recovery done {elapsed} ms after the start")?;
        }
        None => writeln!(
            out,
            "recovery step {} for {} ms; waits for {}",
            recovery.phase,
            recovery.phase_since.elapsed().as_millis(),
            recovery.waiting_for
        )?,
    }
    for rollback in fleet.log_rollbacks.borrow().all() {
        let (from, to) = (rollback.from.as_millis(), rollback.to.as_millis());
        writeln!(out, "lost group {} after {from} up to {to}", rollback.group)?;
    }
    if let Some(reason) = agreed.storage_failure() {
        writeln!(out, "broken {reason}")?;
    }
    Ok(())
}

fn write_drains(out: &mut String, fleet: &Fleet) -> fmt::Result {
    for PendingDrain { host: endpoint, drain } in fleet.drains().pending().all() {
        let node = node_name(fleet, drain.node);
        writeln!(out, "unagreed drain {endpoint} said by {node} {}", drain.sequence)?;
    }
    for endpoint in fleet.agreed().state().drains.keys() {
        writeln!(out, "drain {endpoint}")?;
    }
    Ok(())
}

fn write_sources(out: &mut String, fleet: &Fleet) -> fmt::Result {
    let agreed = fleet.agreed();
    let state = agreed.state();
    if let Some(ServiceSettings { provenance: source, .. }) = &state.settings {
        let changed_at = source.changed_at.as_millis();
        writeln!(out, "settings of {} changed {changed_at} version {}", source.read_by, source.version)?;
    }
    if let Some(source) = &state.inventory {
        writeln!(
            out,
            "inventory of {} changed {} version {} hosts {}; {}",
            source.read_by,
            source.changed_at.as_millis(),
            source.version,
            state.hosts.len(),
            describe_own_inventory(fleet)
        )?;
    }
    Ok(())
}

fn describe_own_inventory(fleet: &Fleet) -> String {
    let own_files = fleet.own_files();
    if !own_files.has_inventory() {
        return "no file of its own".into();
    }
    match own_files.inventory_difference() {
        None => "its own file says the same".into(),
        Some(InventoryDifference { added, changed, missing }) => {
            format!("its own file adds {added}, changes {changed}, lacks {missing}")
        }
    }
}

fn write_nodes(out: &mut String, fleet: &Fleet) -> fmt::Result {
    let (agreed, peers, now) = (fleet.agreed(), fleet.peers(), Instant::now());
    let state = agreed.state();
    for (id, member) in &state.members {
        let is_voter = agreed.status().configuration.voters.contains(id);
        let votes = if is_voter { "voter" } else { "follower" };
        let heard = describe_member(fleet, *id);
        writeln!(out, "member {} {id:016x} {} {votes} {heard}", member.name, member.address)?;
    }
    for (id, candidate) in peers.candidates() {
        if !agreed.is_member(*id) {
            let age = (now - candidate.last_heard).as_millis();
            writeln!(out, "candidate {} {id:016x} {age} ms ago", candidate.handshake.name)?;
        }
    }
    for (id, name) in state.removed.iter().rev().take(MAX_LISTED_REMOVED_MEMBERS) {
        writeln!(out, "removed {name} {id:016x}")?;
    }
    Ok(())
}

/// The last heartbeat of a member, or why there is none.
fn describe_member(fleet: &Fleet, id: NodeId) -> String {
    if id == fleet.agreed().local_id() {
        return "this daemon".into();
    }
    let peers = fleet.peers();
    let Some(status) = peers.status(id) else { return "never heard".into() };
    let heartbeat = &status.heartbeat;
    format!(
        "heard {} ms ago agreed {} applied {} leader {}",
        status.last_heard.elapsed().as_millis(),
        heartbeat.commit_index,
        heartbeat.applied.index,
        node_name(fleet, heartbeat.leader)
    )
}

fn write_counters(out: &mut String, fleet: &Fleet) -> fmt::Result {
    let (agreed, peers) = (fleet.agreed(), fleet.peers());
    let status = agreed.status();
    let unsent: u64 = peers.links().map(|link| link.dropped_messages()).sum();
    let (rejected, dropped, panics) =
        (peers.rejected_messages(), status.dropped_messages, status.raft_restarts);
    writeln!(out, "dropped frames {rejected} letters {dropped} unsent {unsent} panics {panics}")?;
    write!(out, "log bytes {} entries {}", status.log_size.bytes, status.log_size.entries)
}
