//! Fault schedules: what is injected into a cluster when. A schedule is derived from a seed, or written by hand.

use std::time::Duration;

/// One fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// A node is killed.
    Kill {
        /// The node's index.
        node: usize,
    },
    /// A node that was killed starts again.
    Start {
        /// The node's index.
        node: usize,
    },
    /// A node is stopped (SIGSTOP).
    Pause {
        /// The node's index.
        node: usize,
    },
    /// A node that was stopped continues.
    Resume {
        /// The node's index.
        node: usize,
    },
    /// Only nodes of the same part reach one another.
    Partition {
        /// The indices of the nodes of each part.
        parts: Vec<Vec<usize>>,
    },
    /// What one node sends does not reach another one.
    CutOneWay {
        /// The node that sends.
        from: usize,
        /// The node that is not reached.
        to: usize,
    },
    /// The links between two nodes are slow and lose frames.
    DegradeLink {
        /// One of the nodes.
        first: usize,
        /// The other one.
        second: usize,
        /// Delay of every byte.
        delay: Duration,
        /// Frames that are lost, of a hundred.
        loss_percent: u8,
    },
    /// All connections that one node has opened to another one are reset.
    ResetLink {
        /// The node that opened them.
        from: usize,
        /// The other node.
        to: usize,
    },
    /// All links between nodes are sound again.
    HealLinks,
    /// An operator drains an endpoint at a node.
    Drain {
        /// The node that the operator calls.
        node: usize,
        /// The endpoint's name.
        endpoint: String,
    },
    /// An operator ends a drain at a node.
    Undrain {
        /// The node that the operator calls.
        node: usize,
        /// The endpoint's name.
        endpoint: String,
    },
    /// All endpoints of a zone have this fault instead of the one before.
    SetZoneFault {
        /// The zone's name.
        zone: String,
        /// The fault.
        fault: EndpointFault,
    },
    /// A node no longer reaches the endpoints of a zone.
    CutZone {
        /// The node's index.
        node: usize,
        /// The zone's name.
        zone: String,
    },
    /// A node reaches the endpoints of a zone again.
    ReconnectZone {
        /// The node's index.
        node: usize,
        /// The zone's name.
        zone: String,
    },
}

/// A fault of the endpoints of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointFault {
    /// None; endpoints that had no power start cold.
    None,
    /// They accept operations and answer none.
    Silent,
    /// They have no power and accept no connections.
    PowerOff,
    /// Operations take this many times as long.
    Slow(u32),
    /// Of a hundred requests this many are lost.
    Lossy(u8),
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it is injected, from the start of the schedule.
    pub after: Duration,
    /// The fault.
    pub action: FaultAction,
}

/// Faults by their time, ascending.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl FaultSchedule {
    /// Faults of nodes and links over `length`, derived from a seed; at the end all are healed. A majority of the nodes
    /// always runs, but links are cut without regard to one.
    pub fn of_nodes(seed: u64, nodes: usize, endpoints: &[String], length: Duration) -> FaultSchedule {
        let mut generator = NodeFaults { rng: fastrand::Rng::with_seed(seed), nodes, down: Vec::new() };
        let mut schedule = FaultSchedule::default();
        let length_ms = length.as_millis() as u64;
        let mut elapsed_ms = 0;
        while elapsed_ms < length_ms {
            elapsed_ms += generator.rng.u64(30..250);
            if let Some(action) = generator.next_action(endpoints) {
                schedule.push(elapsed_ms, action);
            }
        }
        schedule.push(length_ms, FaultAction::HealLinks);
        for down in generator.down {
            schedule.push(length_ms, down.recovery());
        }
        schedule
    }

    /// Faults of zones over `length`, derived from a seed: any fault of any zone at any time, nodes that do not reach
    /// a zone, and at most one node that is killed. One zone has no fault, and at the end none has.
    pub fn of_zones(seed: u64, nodes: usize, zones: &[String], length: Duration) -> FaultSchedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spared = rng.usize(..zones.len());
        let mut schedule = FaultSchedule::default();
        let length_ms = length.as_millis() as u64;
        let mut elapsed_ms = 0;
        let mut killed = None;
        while elapsed_ms < length_ms {
            elapsed_ms += rng.u64(200..1_200);
            let zone = zones[(spared + rng.usize(1..zones.len())) % zones.len()].clone();
            let node = rng.usize(..nodes);
            if let Some(action) = next_zone_action(&mut rng, node, zone, &mut killed) {
                schedule.push(elapsed_ms, action);
            }
        }
        if let Some(node) = killed {
            schedule.push(length_ms, FaultAction::Start { node });
        }
        for zone in zones {
            let fault = EndpointFault::None;
            schedule.push(length_ms, FaultAction::SetZoneFault { zone: zone.clone(), fault });
            for node in 0..nodes {
                schedule.push(length_ms, FaultAction::ReconnectZone { node, zone: zone.clone() });
            }
        }
        schedule
    }

    /// Whether a fault of the endpoints of this zone is ever injected.
    pub fn touches_zone(&self, name: &str) -> bool {
        self.faults.iter().any(|scheduled| match &scheduled.action {
            FaultAction::SetZoneFault { zone, fault } => zone == name && *fault != EndpointFault::None,
            _ => false,
        })
    }

    fn push(&mut self, after_ms: u64, action: FaultAction) {
        self.faults.push(ScheduledFault { after: Duration::from_millis(after_ms), action });
    }
}

/// A node that does not run.
#[derive(Clone, Copy)]
struct DownNode {
    node: usize,
    /// Killed, else stopped.
    killed: bool,
}

impl DownNode {
    fn recovery(self) -> FaultAction {
        let node = self.node;
        if self.killed { FaultAction::Start { node } } else { FaultAction::Resume { node } }
    }
}

/// Draws faults of nodes and links.
struct NodeFaults {
    rng: fastrand::Rng,
    nodes: usize,
    down: Vec<DownNode>,
}

impl NodeFaults {
    /// The next fault; `None` where the one that was drawn is not possible now.
    fn next_action(&mut self, endpoints: &[String]) -> Option<FaultAction> {
        let first = self.rng.usize(..self.nodes);
        let second = self.rng.usize(..self.nodes);
        let endpoint = endpoints[self.rng.usize(..endpoints.len())].clone();
        let is_down = self.down.iter().any(|down| down.node == first);
        let may_stop = self.down.len() < (self.nodes - 1) / 2 && !is_down;
        let are_two = first != second;
        let action = match self.rng.u8(..20) {
            0 | 1 if may_stop => {
                self.down.push(DownNode { node: first, killed: true });
                FaultAction::Kill { node: first }
            }
            2 if may_stop => {
                self.down.push(DownNode { node: first, killed: false });
                FaultAction::Pause { node: first }
            }
            3..=5 if !self.down.is_empty() => {
                let index = self.rng.usize(..self.down.len());
                self.down.swap_remove(index).recovery()
            }
            6 => self.partition(),
            7 if are_two => FaultAction::CutOneWay { from: first, to: second },
            8 if are_two => FaultAction::DegradeLink {
                first,
                second,
                delay: Duration::from_millis(self.rng.u64(..200)),
                loss_percent: self.rng.u8(..30),
            },
            9 if are_two => FaultAction::ResetLink { from: first, to: second },
            10 | 11 => FaultAction::HealLinks,
            12..=15 if !is_down => FaultAction::Drain { node: first, endpoint },
            16 | 17 if !is_down => FaultAction::Undrain { node: first, endpoint },
            _ => return None,
        };
        Some(action)
    }

    /// A partition into two parts.
    fn partition(&mut self) -> FaultAction {
        let mut nodes: Vec<usize> = (0..self.nodes).collect();
        self.rng.shuffle(&mut nodes);
        let second = nodes.split_off(self.rng.usize(1..self.nodes));
        FaultAction::Partition { parts: vec![nodes, second] }
    }
}

/// Draws a fault of a zone; `None` where the one that was drawn is not possible now.
fn next_zone_action(
    rng: &mut fastrand::Rng,
    node: usize,
    zone: String,
    killed: &mut Option<usize>,
) -> Option<FaultAction> {
    let fault = match rng.u8(..12) {
        0 | 1 => EndpointFault::Silent,
        2 => EndpointFault::PowerOff,
        3 => EndpointFault::Slow(rng.u32(5..15)),
        4 => EndpointFault::Lossy(rng.u8(10..50)),
        5 | 6 => EndpointFault::None,
        7 => return Some(FaultAction::CutZone { node, zone }),
        8 => return Some(FaultAction::ReconnectZone { node, zone }),
        9 if killed.is_none() => {
            *killed = Some(node);
            return Some(FaultAction::Kill { node });
        }
        10 => return killed.take().map(|node| FaultAction::Start { node }),
        _ => return None,
    };
    Some(FaultAction::SetZoneFault { zone, fault })
}

#[cfg(test)]
mod tests;
