//! The runtime of zones: records the outcomes of attempts, exchanges them with the peers, proposes weight changes if
//! this node is the leader, and updates the endpoint list.

use super::Fleet;
use super::agreed_state::AgreedState;
use super::proposals::NoMajority;
use crate::engine::outcome_window::OutcomeCounts;
use crate::fleet::message::PeerMessage;
use crate::fleet::zones::{
    EvacuationPolicy, ZoneCommand, ZoneCommandError, ZoneMove, ZoneReport, ZoneReports, ZoneState,
    populated_zones,
};
use crate::ids::{NodeId, ZoneId};
use crate::store::state_machine::{Change, Proposal};
use crate::store::store_thread::StoreCommand;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, ZoneWeight};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after which a proposed weight change may be proposed again. Committing one normally takes less.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// A weight change that this node has proposed for a zone.
struct ProposedMove {
    version: u64,
    proposed_at: Instant,
}

/// The state of zones, and the weight changes that this node has proposed.
pub struct ZoneControl {
    state: ZoneState,
    proposed: BTreeMap<ZoneId, ProposedMove>,
}

impl ZoneControl {
    /// Creates the state before any outcomes are known.
    pub(super) fn new(policy: EvacuationPolicy) -> ZoneControl {
        ZoneControl { state: ZoneState::new(policy), proposed: BTreeMap::new() }
    }

    /// Outcomes, reports and local evacuations of zones.
    pub(super) fn state(&self) -> &ZoneState {
        &self.state
    }

    /// Removes proposed weight changes that may be proposed again.
    fn expire_proposed(&mut self) {
        self.proposed.retain(|_, proposed| proposed.proposed_at.elapsed() < MOVE_RETRY_INTERVAL);
    }

    /// Records that a weight change is proposed; returns false if the same one was recently proposed.
    fn record_proposed(&mut self, due: &ZoneMove) -> bool {
        let ZoneMove { zone, weight } = *due;
        if self.proposed.get(&zone).is_some_and(|proposed| proposed.version == weight.version) {
            return false;
        }
        let proposed = ProposedMove { version: weight.version, proposed_at: Instant::now() };
        self.proposed.insert(zone, proposed);
        true
    }
}

/// Why an operator's command for a zone was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneCommandFailure {
    /// No zone of this name has endpoints.
    #[error("no zone {0:?} with hosts")]
    UnknownZone(String),
    /// The command is not allowed in the current state.
    #[error("not done: {0}")]
    Refused(#[from] ZoneCommandError),
    /// Another weight change of the zone was committed at the same time.
    #[error("not done: it moved meanwhile; say it again")]
    Superseded,
    /// It was not committed in time.
    #[error(transparent)]
    NoMajority(#[from] NoMajority),
}

impl Fleet {
    /// Records the recent outcomes of attempts by endpoint. Sends them to the peers if they are urgent, evacuates zones
    /// that only this node cannot reach, and proposes weight changes if this node is the leader. Returns the endpoints
    /// in abandoned zones, for which overdue responses are no longer awaited.
    pub fn update_zones(&self, outcomes: &BTreeMap<String, OutcomeCounts>) -> BTreeSet<String> {
        let now = self.clock.now();
        self.record_outcomes(outcomes);
        self.evacuate_locally(now);
        self.propose_zone_moves(now);
        self.apply_zone_weights(now);
        let (agreed, zones) = (self.agreed(), self.zones.borrow());
        let abandoned = zones.state.abandoned_zones(now, agreed.state());
        if abandoned.is_empty() {
            return BTreeSet::new();
        }
        let endpoints = agreed.state().hosts.iter().filter(|(_, host)| abandoned.contains(&host.zone));
        endpoints.map(|(name, _)| name.clone()).collect()
    }

    /// Records outcomes, and sends them to the peers at once if they show a problem.
    fn record_outcomes(&self, outcomes: &BTreeMap<String, OutcomeCounts>) {
        let urgent = {
            let agreed = self.agreed();
            self.zones.borrow_mut().state.record_outcomes(outcomes, agreed.state())
        };
        if let Some(by_zone) = urgent {
            log::debug!("zones: sending urgent outcomes {by_zone:?}");
            self.broadcast(&PeerMessage::ZoneOutcomes(by_zone));
        }
    }

    /// Evacuates zones locally that only this node cannot reach.
    fn evacuate_locally(&self, now: Timestamp) {
        let agreed = self.agreed();
        let mut zones = self.zones.borrow_mut();
        let evacuated = zones.state.update_local_evacuation(now, agreed.state());
        for zone in evacuated {
            log::warn!(
                "zones: local evacuation of {}: {:?}",
                zones.state.name(zone),
                zones.state.own_report().get(&zone)
            );
        }
    }

    /// Records the outcomes reported by a peer, if it is a member.
    pub(super) fn receive_zone_outcomes(&self, sender: NodeId, outcomes: ZoneReport) {
        if self.agreed().is_member(sender) {
            self.zones.borrow_mut().state.record_report(self.clock.now(), sender, outcomes);
        }
    }

    /// Sends this node's own outcomes to the peers, if there are any.
    pub(super) fn broadcast_zone_outcomes(&self) {
        let outcomes = self.zones.borrow().state.own_report().clone();
        if !outcomes.is_empty() {
            self.broadcast(&PeerMessage::ZoneOutcomes(outcomes));
        }
    }

    /// Proposes the weight changes that are due, if this node is the leader.
    fn propose_zone_moves(&self, now: Timestamp) {
        let due = self.due_zone_moves(now);
        let from = self.agreed().local_id();
        for ZoneMove { zone, weight } in due {
            let (token, change) = (self.next_token(), Change::ZoneWeight { zone, weight });
            self.send_to_store(StoreCommand::Propose(Proposal { from, token, change }));
        }
    }

    /// The weight changes that are due and were not recently proposed. Empty unless this node is the leader.
    fn due_zone_moves(&self, now: Timestamp) -> Vec<ZoneMove> {
        let agreed = self.agreed();
        if !agreed.is_active_leader() || !agreed.state().is_complete() {
            return Vec::new();
        }
        let capacity_share = |zone| self.zone_capacity_share(&agreed, zone, now);
        let mut zones = self.zones.borrow_mut();
        let mut due = zones.state.next_moves(now, agreed.local_id(), agreed.state(), capacity_share);
        zones.expire_proposed();
        due.retain(|due| zones.record_proposed(due));
        for ZoneMove { zone, weight } in &due {
            let reports = zones.state.current_reports(now, agreed.local_id(), agreed.state());
            log::info!(
                "zones: move {} of {} to {} of {FULL_WEIGHT_PERMILLE} is proposed, {:?}; reports: {}",
                weight.version,
                zones.state.name(*zone),
                weight.permille,
                weight.reason,
                describe_reports(&reports, *zone, &agreed)
            );
        }
        due
    }

    /// The share of its full capacity that a zone has now, determined by its most recently started endpoint. 1.0 before
    /// the settings are known.
    fn zone_capacity_share(&self, agreed: &AgreedState, zone: ZoneId, now: Timestamp) -> f64 {
        let Some(slow_start) = self.recovery.borrow().slow_start() else { return 1.0 };
        let gossip = self.gossip();
        let mut lowest = 1.0_f64;
        for (name, record) in agreed.state().hosts.iter().filter(|(_, record)| record.zone == zone) {
            let started_at = gossip.state().started_at(name).max(record.valid_start());
            lowest = lowest.min(slow_start.capacity_share(started_at.map(|started_at| now - started_at)));
        }
        lowest
    }

    /// Marks the endpoints whose list entries depend on changed or reduced zone weights.
    pub(super) fn apply_zone_weights(&self, now: Timestamp) {
        let agreed = self.agreed();
        let changed = self.zones.borrow_mut().state.take_changed_zones(now, agreed.state());
        let zones = self.zones.borrow();
        // Zones with reduced weight are included every time, because one of their endpoints may have become a primary.
        let affected = &changed | &zones.state.reduced_zones(now, agreed.state());
        if affected.is_empty() {
            return;
        }
        for zone in changed {
            let committed = agreed.state().zone_weight(zone);
            log::info!(
                "zones: {} has weight {} of {FULL_WEIGHT_PERMILLE} now; committed: {} by move {}, {:?}",
                zones.state.name(zone),
                zones.state.effective_permille(now, zone, agreed.state()),
                committed.permille,
                committed.version,
                committed.reason
            );
        }
        let endpoints = agreed.state().hosts.iter().filter(|(_, host)| affected.contains(&host.zone));
        self.mark_endpoints_changed(endpoints.map(|(name, _)| name.clone()));
        self.changes.notify();
    }

    /// Carries out an operator's command for the zone named `name`; returns the committed weight.
    ///
    /// # Errors
    ///
    /// [`ZoneCommandFailure`] if there is no such zone, the command is refused, or it is not committed in time.
    pub async fn command_zone(
        &self,
        name: &str,
        command: ZoneCommand,
    ) -> Result<ZoneWeight, ZoneCommandFailure> {
        let (zone, weight) = self.weight_for_command(name, command)?;
        log::info!("zones: operator's command for {name}: {command:?}");
        self.commit_change(Change::ZoneWeight { zone, weight }).await?;
        if self.agreed().state().zone_weight(zone) != weight {
            return Err(ZoneCommandFailure::Superseded);
        }
        Ok(weight)
    }

    /// Finds a zone by name, and computes its weight after a command.
    fn weight_for_command(
        &self,
        name: &str,
        command: ZoneCommand,
    ) -> Result<(ZoneId, ZoneWeight), ZoneCommandFailure> {
        let (agreed, zones) = (self.agreed(), self.zones.borrow());
        let populated = populated_zones(agreed.state());
        let found = zones.state.find(name).filter(|zone| populated.contains(zone));
        let zone = found.ok_or_else(|| ZoneCommandFailure::UnknownZone(name.to_string()))?;
        let weight = zones.state.weight_for_command(command, zone, agreed.state())?;
        Ok((zone, weight))
    }
}

/// Formats the members' reports about a zone for the log.
fn describe_reports(reports: &ZoneReports, zone: ZoneId, agreed: &AgreedState) -> String {
    let mut described: Vec<String> = Vec::new();
    for (id, by_zone) in reports {
        if let Some(outcomes) = by_zone.get(&zone) {
            described.push(format!("{} {outcomes}", agreed.node_name(*id)));
        }
    }
    described.join("; ")
}
