//! Runs fault schedules against a cluster.

use super::TestCluster;
use crate::faults::{FaultAction, FaultSchedule};
use crate::relay::LinkFaults;
use crate::{Timestamp, http};
use std::thread::{self, JoinHandle};
use std::time::Instant;

/// A call that a schedule made as the operator, with its response.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorCall {
    /// [`FaultAction::Drain`] or [`FaultAction::Undrain`].
    pub action: FaultAction,
    /// When the call was made.
    pub called_at: Timestamp,
    /// The status of the response; [`http::NO_RESPONSE`] if there was none.
    pub status: u16,
}

impl TestCluster {
    /// Injects all faults of a schedule at their times. Operators' calls run concurrently with it; they are returned in
    /// the order of the schedule, once all have ended.
    ///
    /// # Panics
    ///
    /// Panics if a node does not start within [`crate::DEFAULT_TIMEOUT`].
    pub fn run_schedule(&mut self, schedule: &FaultSchedule) -> Vec<OperatorCall> {
        let started = Instant::now();
        let mut calls = Vec::new();
        for scheduled in &schedule.faults {
            thread::sleep((started + scheduled.after).saturating_duration_since(Instant::now()));
            calls.extend(self.inject(&scheduled.action));
        }
        calls.into_iter().map(|call| call.join().expect("the thread of an operator's call ends")).collect()
    }

    /// Injects one fault. Returns the thread of an operator's call, which is not waited for.
    fn inject(&mut self, action: &FaultAction) -> Option<JoinHandle<OperatorCall>> {
        match action {
            FaultAction::Kill { node } => self.kill(*node),
            FaultAction::Start { node } => self.start(*node),
            FaultAction::Pause { node } => self.pause(*node),
            FaultAction::Resume { node } => self.resume(*node),
            FaultAction::Partition { parts } => self.partition(parts),
            FaultAction::CutOneWay { from, to } => self.cut_one_way(*from, *to),
            FaultAction::DegradeLink { first, second, delay, loss_percent } => {
                let faults = LinkFaults { delay: *delay, loss_percent: *loss_percent, ..LinkFaults::NONE };
                self.set_link_faults(*first, *second, faults);
            }
            FaultAction::ResetLink { from, to } => self.reset_link(*from, *to),
            FaultAction::HealLinks => self.heal_links(),
            FaultAction::SetZoneFault { zone, fault } => self.set_zone_fault(zone, *fault),
            FaultAction::CutZone { node, zone } => self.cut_zone(*node, zone),
            FaultAction::ReconnectZone { node, zone } => self.reconnect_zone(*node, zone),
            FaultAction::Drain { node, endpoint } => {
                return Some(self.spawn_operator_call(*node, format!("/drain/{endpoint}"), action.clone()));
            }
            FaultAction::Undrain { node, endpoint } => {
                return Some(self.spawn_operator_call(*node, format!("/undrain/{endpoint}"), action.clone()));
            }
        }
        None
    }

    fn spawn_operator_call(
        &self,
        node: usize,
        path: String,
        action: FaultAction,
    ) -> JoinHandle<OperatorCall> {
        let address = self.nodes[node].store_address;
        thread::spawn(move || {
            let called_at = Timestamp::now();
            let status = http::post_status(address, &path);
            OperatorCall { action, called_at, status }
        })
    }
}
