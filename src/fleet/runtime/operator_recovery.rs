//! Recovery after the permanent loss of a majority: on an operator's order, one node continues alone as a new fleet.
//!
//! The program never decides this by itself, even if most voters are permanently lost. The new fleet records the fleet
//! that it supersedes. Nodes of that fleet to which no leader is known discard their identity and join the new one.

use super::Fleet;
use super::agreed_state::AgreedState;
use super::peer_directory::PeerDirectory;
use crate::fleet::message::Heartbeat;
use crate::ids::{FleetId, NodeId};
use crate::store::state_machine::Member;
use crate::store::store_thread::StoreCommand;
use std::fmt;

/// What a recovery would lose, for the operator to read before ordering it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryPlan {
    /// The index of the last log entry applied by this node.
    applied_index: u64,
    /// All other members.
    others: Vec<OtherMember>,
}

/// Another member, and whether it may have changes that this node lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OtherMember {
    name: String,
    data: MemberData,
}

/// How a member's committed log compares with what this node has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberData {
    /// The member has committed log entries that this node lacks.
    Newer {
        /// How many.
        changes: u64,
    },
    /// The member has no committed log entry that this node lacks.
    NotNewer,
    /// No message has arrived from the member within [`crate::config::Limits::peer_gone_timeout`].
    Unknown,
}

impl fmt::Display for RecoveryPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "this daemon goes on alone from what was agreed up to {}, as a new fleet; the others come over",
            self.applied_index
        )?;
        for OtherMember { name, data } in &self.others {
            match data {
                MemberData::Newer { changes } => {
                    writeln!(f, "{name} has more: {changes} changes would be lost; recover there instead")?;
                }
                MemberData::NotNewer => writeln!(f, "{name} has no more than this daemon")?,
                MemberData::Unknown => writeln!(
                    f,
                    "{name} is not heard: whatever it alone has would be lost, but for its drains"
                )?,
            }
        }
        Ok(())
    }
}

/// Why this node did not continue alone as a new fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// This node has no fleet, was removed from it, or its storage failed.
    #[error("there is nothing here to go on from")]
    NothingToRecover,
    /// A leader is known to this node or to a member that it hears, or enough voters are there to elect one.
    #[error("a majority is there: nothing has to be recovered")]
    MajorityPresent,
    /// The queue of the store's thread is full.
    #[error("nothing was done: the disk is slow; say it again")]
    StoreBusy,
}

impl Fleet {
    /// Returns what a recovery on this node would lose. Changes nothing.
    ///
    /// # Errors
    ///
    /// [`RecoveryError`] if this node must not continue alone.
    pub fn plan_recovery(&self) -> Result<RecoveryPlan, RecoveryError> {
        let agreed = self.agreed();
        if !agreed.has_fleet() || agreed.is_retired() {
            return Err(RecoveryError::NothingToRecover);
        }
        let peers = self.peers();
        if self.is_majority_present(&agreed, &peers) {
            return Err(RecoveryError::MajorityPresent);
        }
        let applied_index = agreed.applied_index();
        let mut others = Vec::new();
        for (id, member) in agreed.state().members.iter().filter(|(id, _)| **id != agreed.local_id()) {
            let heartbeat = self.heartbeat_of_heard(&peers, *id);
            let data = match heartbeat.map(|heartbeat| heartbeat.commit_index) {
                Some(index) if index > applied_index => MemberData::Newer { changes: index - applied_index },
                Some(_) => MemberData::NotNewer,
                None => MemberData::Unknown,
            };
            others.push(OtherMember { name: member.name.clone(), data });
        }
        Ok(RecoveryPlan { applied_index, others })
    }

    /// Whether the fleet has a majority as far as this node can tell. Its own link to the leader may be cut, so what the
    /// members that it hears report counts as well; and a leader that has just been lost is replaced if enough voters
    /// participate.
    fn is_majority_present(&self, agreed: &AgreedState, peers: &PeerDirectory) -> bool {
        let members = agreed.state().members.keys().filter(|id| **id != agreed.local_id());
        let heard =
            members.filter_map(|id| self.heartbeat_of_heard(peers, *id).map(|heartbeat| (id, heartbeat)));
        let status = agreed.status();
        let voters = &status.configuration.voters;
        let mut participating = usize::from(status.participating && voters.contains(&agreed.local_id()));
        let mut leader_known = agreed.has_leader();
        for (id, heartbeat) in heard {
            leader_known |= heartbeat.leader != NodeId::NONE;
            participating += usize::from(heartbeat.participates && voters.contains(id));
        }
        leader_known || participating * 2 > voters.len()
    }

    /// The last heartbeat of a member; `None` if no message has arrived from it within `Limits::peer_gone_timeout`.
    fn heartbeat_of_heard<'a>(&self, peers: &'a PeerDirectory, id: NodeId) -> Option<&'a Heartbeat> {
        let status = peers.status(id)?;
        (status.last_heard.elapsed() < self.limits.peer_gone_timeout).then_some(&status.heartbeat)
    }

    /// Continues alone as a new fleet from the state applied here, on an operator's order. Returns what was lost.
    ///
    /// # Errors
    ///
    /// [`RecoveryError`] if this node must not continue alone or the store cannot take the command.
    pub fn recover_on_order(&self) -> Result<RecoveryPlan, RecoveryError> {
        let plan = self.plan_recovery()?;
        let summary = plan.to_string().replace('\n', "; ");
        log::warn!("fleet: recovery without a majority, on an operator's order: {summary}");
        let agreed = self.agreed();
        let member = Member { name: self.local.name.clone(), address: self.local.address };
        let state = agreed.state().force_new_fleet(FleetId::random(), agreed.local_id(), member);
        if self.send_to_store(StoreCommand::ForceNewFleet(Box::new(state))) {
            Ok(plan)
        } else {
            Err(RecoveryError::StoreBusy)
        }
    }
}

#[cfg(test)]
mod tests;
