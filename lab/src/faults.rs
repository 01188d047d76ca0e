//! Fault schedules: which faults are injected into a cluster, and when. A schedule is derived from a seed or written by
//! hand.

use std::time::Duration;

/// The injection of one fault, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// A node is killed.
    Kill {
        /// The node's index.
        node: usize,
    },
    /// A node that was killed is started again.
    Start {
        /// The node's index.
        node: usize,
    },
    /// A node is paused (SIGSTOP).
    Pause {
        /// The node's index.
        node: usize,
    },
    /// A paused node is resumed (SIGCONT).
    Resume {
        /// The node's index.
        node: usize,
    },
    /// Only nodes of the same part reach each other.
    Partition {
        /// The indices of the nodes of each part.
        parts: Vec<Vec<usize>>,
    },
    /// What one node sends does not reach another.
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
        /// Percentage of the frames that are dropped at random.
        loss_percent: u8,
    },
    /// All connections that one node has opened to another are reset.
    ResetLink {
        /// The node that opened them.
        from: usize,
        /// The other node.
        to: usize,
    },
    /// All links between nodes are without faults again.
    HealLinks,
    /// An operator drains an endpoint by a call to a node.
    Drain {
        /// The node that the operator calls.
        node: usize,
        /// The endpoint's name.
        endpoint: String,
    },
    /// An operator ends a drain by a call to a node.
    Undrain {
        /// The node that the operator calls.
        node: usize,
        /// The endpoint's name.
        endpoint: String,
    },
    /// All endpoints of a zone get this fault in place of their previous one.
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
    /// No fault; endpoints that were without power start cold.
    None,
    /// The endpoints accept operations and answer none.
    Silent,
    /// The endpoints have no power: they serve no connections.
    PowerOff,
    /// Operations take this many times as long as usual.
    Slow(u32),
    /// This percentage of the requests is lost at random.
    Lossy(u8),
}

/// A fault with the time of its injection.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The time of the injection, from the start of the schedule.
    pub after: Duration,
    /// What is done then.
    pub action: FaultAction,
}

/// A sequence of faults to inject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// The faults in ascending order of their times.
    pub faults: Vec<ScheduledFault>,
}

impl FaultSchedule {
    /// Random faults of nodes and links over `duration`, derived from a seed; all of them end with the schedule. A
    /// majority of the nodes always runs, but cut links may leave no majority connected.
    pub fn random_node_faults(
        seed: u64,
        nodes: usize,
        endpoints: &[String],
        duration: Duration,
    ) -> FaultSchedule {
        let mut generator =
            NodeFaultGenerator { rng: fastrand::Rng::with_seed(seed), nodes, down: Vec::new() };
        let mut schedule = FaultSchedule::default();
        let duration_ms = duration.as_millis() as u64;
        let mut elapsed_ms = 0;
        while elapsed_ms < duration_ms {
            elapsed_ms += generator.rng.u64(30..250);
            if let Some(action) = generator.next_action(endpoints) {
                schedule.push(elapsed_ms, action);
            }
        }
        schedule.push(duration_ms, FaultAction::HealLinks);
        for down in generator.down {
            schedule.push(duration_ms, down.recovery());
        }
        schedule
    }

    /// Random faults of zones over `duration`, derived from a seed: faults of all endpoints of a zone, nodes that do
    /// not reach a zone, and at most one killed node at a time. One zone never has a fault; all faults end with the
    /// schedule.
    pub fn random_zone_faults(
        seed: u64,
        nodes: usize,
        zones: &[String],
        duration: Duration,
    ) -> FaultSchedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fault_free_zone = rng.usize(..zones.len());
        let mut schedule = FaultSchedule::default();
        let duration_ms = duration.as_millis() as u64;
        let mut elapsed_ms = 0;
        let mut killed = None;
        while elapsed_ms < duration_ms {
            elapsed_ms += rng.u64(200..1_200);
            let zone = zones[(fault_free_zone + rng.usize(1..zones.len())) % zones.len()].clone();
            let node = rng.usize(..nodes);
            if let Some(action) = next_zone_action(&mut rng, node, zone, &mut killed) {
                schedule.push(elapsed_ms, action);
            }
        }
        if let Some(node) = killed {
            schedule.push(duration_ms, FaultAction::Start { node });
        }
        for zone in zones {
            let fault = EndpointFault::None;
            schedule.push(duration_ms, FaultAction::SetZoneFault { zone: zone.clone(), fault });
            for node in 0..nodes {
                schedule.push(duration_ms, FaultAction::ReconnectZone { node, zone: zone.clone() });
            }
        }
        schedule
    }

    /// Whether the schedule injects a fault into the endpoints of this zone.
    pub fn has_fault_in_zone(&self, name: &str) -> bool {
        self.faults.iter().any(|scheduled| match &scheduled.action {
            FaultAction::SetZoneFault { zone, fault } => zone == name && *fault != EndpointFault::None,
            _ => false,
        })
    }

    fn push(&mut self, after_ms: u64, action: FaultAction) {
        self.faults.push(ScheduledFault { after: Duration::from_millis(after_ms), action });
    }
}

/// A node that is killed or paused.
#[derive(Clone, Copy)]
struct DownNode {
    node: usize,
    /// Whether the node was killed; otherwise it was paused.
    killed: bool,
}

impl DownNode {
    fn recovery(self) -> FaultAction {
        let node = self.node;
        if self.killed { FaultAction::Start { node } } else { FaultAction::Resume { node } }
    }
}

/// Generates random faults of nodes and links.
struct NodeFaultGenerator {
    rng: fastrand::Rng,
    nodes: usize,
    down: Vec<DownNode>,
}

impl NodeFaultGenerator {
    /// The next fault; `None` if the one that was chosen is not possible now.
    fn next_action(&mut self, endpoints: &[String]) -> Option<FaultAction> {
        let first = self.rng.usize(..self.nodes);
        let second = self.rng.usize(..self.nodes);
        let endpoint = endpoints[self.rng.usize(..endpoints.len())].clone();
        let is_down = self.down.iter().any(|down| down.node == first);
        let may_take_down = self.down.len() < (self.nodes - 1) / 2 && !is_down;
        let are_distinct = first != second;
        let action = match self.rng.u8(..20) {
            0 | 1 if may_take_down => {
                self.down.push(DownNode { node: first, killed: true });
                FaultAction::Kill { node: first }
            }
            2 if may_take_down => {
                self.down.push(DownNode { node: first, killed: false });
                FaultAction::Pause { node: first }
            }
            3..=5 if !self.down.is_empty() => {
                let index = self.rng.usize(..self.down.len());
                self.down.swap_remove(index).recovery()
            }
            6 => self.partition(),
            7 if are_distinct => FaultAction::CutOneWay { from: first, to: second },
            8 if are_distinct => FaultAction::DegradeLink {
                first,
                second,
                delay: Duration::from_millis(self.rng.u64(..200)),
                loss_percent: self.rng.u8(..30),
            },
            9 if are_distinct => FaultAction::ResetLink { from: first, to: second },
            10 | 11 => FaultAction::HealLinks,
            12..=15 if !is_down => FaultAction::Drain { node: first, endpoint },
            16 | 17 if !is_down => FaultAction::Undrain { node: first, endpoint },
            _ => return None,
        };
        Some(action)
    }

    /// A random partition into two parts.
    fn partition(&mut self) -> FaultAction {
        let mut nodes: Vec<usize> = (0..self.nodes).collect();
        self.rng.shuffle(&mut nodes);
        let second = nodes.split_off(self.rng.usize(1..self.nodes));
        FaultAction::Partition { parts: vec![nodes, second] }
    }
}

/// Generates a random fault of a zone; `None` if the one that was chosen is not possible now.
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
