//! The ways to the others.

use super::*;

impl Fleet {
    pub(super) fn open_links(self: &Rc<Fleet>) {
        let wanted: BTreeMap<SocketAddr, bool> = {
            let table = self.table();
            let me = table.identity.id;
            let ways = self.ways.borrow();
            let named: BTreeSet<NodeId> =
                ways.values().filter(|w| w.is_configured).map(|w| w.peer_id()).collect();
            let names: BTreeSet<String> =
                ways.values().filter(|w| w.is_configured).filter_map(|w| w.peer_name()).collect();
            let member = |(id, m): (&NodeId, &Member)| {
                (*id != me && !named.contains(id) && !names.contains(&m.name)).then_some(m.address)
            };
            let told = table.told.iter().filter(|(_, name)| !names.contains(*name) && **name != self.me.name);
            let more = table.state.members.iter().filter_map(member).chain(told.map(|(at, _)| *at));
            let more = more.filter(|at| *at != self.me.address).map(|at| (at, false));
            more.chain(self.me.named.iter().map(|at| (*at, true))).collect()
        };
        let mut ways = self.ways.borrow_mut();
        ways.retain(|at, way| {
            if !wanted.contains_key(at) {
                way.close();
            }
            wanted.contains_key(at)
        });
        for (at, named) in wanted {
            if ways.contains_key(&at) || ways.len() >= self.limits.fleet_nodes {
                continue;
            }
            let way = Rc::new(PeerLink::new(at, named, &self.limits));
            ways.insert(at, way.clone());
            let fleet = self.clone();
            let task = async move {
                way.run(&fleet.limits, &*fleet).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    fn judge_reply(&self, way: &PeerLink, verdict: HandshakeVerdict, other: Handshake) -> bool {
        let mut table = self.change();
        let first = !table.heard.contains_key(&other.id);
        let (fleet, me) = (table.state.fleet, table.identity.id);
        if other.id == me {
            drop(table);
            self.set_bootstrap_status(format!(
                "{} is this daemon itself, or one with a copy of its disk",
                way.address
            ));
            return false;
        }
        if first {
            log::info!("fleet: {} is {} ({verdict:?})", way.address, other.name);
        }
        table.heard.entry(other.id).or_insert_with(|| PeerStatus::met(&other));
        if fleet.is_none() {
            table.met.insert(way.address, other.clone());
        }
        let goes = match verdict {
            HandshakeVerdict::Accepted => {
                if !fleet.is_none() && other.fleet == fleet {
                    table.welcomes.insert(other.id);
                }
                bootstrap::fleets_are_compatible(fleet, other.fleet)
            }
            HandshakeVerdict::NotYetMember(members) => {
                let more = members.into_iter().filter(|(name, _)| *name != self.me.name);
                table.told = more.map(|(name, at)| (at, name)).take(self.limits.fleet_nodes).collect();
                true
            }
            HandshakeVerdict::OutdatedStorage if table.state.members.contains_key(&other.id) => {
                log::warn!("fleet: {} knows more of this daemon than its disk does", other.name);
                drop(table);
                self.send_to_store(StoreCommand::ResetIdentity(IdentityResetReason::OutdatedStorage));
                return false;
            }
            HandshakeVerdict::RemovedMember if other.fleet == fleet && !table.removed => {
                table.removed = true;
                log::warn!(
                    "fleet: {} says that this daemon was removed; it serves with what it last knew and agrees to nothing",
                    other.name
                );
                false
            }
            HandshakeVerdict::SupersededFleet
                if table.status.leader == NodeId::NOBODY && !fleet.is_none() =>
            {
                log::warn!(
                    "fleet: {} is of a fleet that goes on from this one; this daemon goes over",
                    other.name
                );
                // What was drained here stays so until the new fleet has ended it.
                let Table { marks, state, .. } = &mut *table;
                let drains = state.drains.iter().flat_map(|(host, m)| {
                    m.iter().map(move |m| PendingDrain { host: host.clone(), drain: *m })
                });
                marks.merge(drains.collect(), &ClusterState::default(), self.limits.pending_drains);
                drop(table);
                self.send_to_store(StoreCommand::ResetIdentity(IdentityResetReason::SupersededFleet));
                return false;
            }
            HandshakeVerdict::OutdatedStorage
            | HandshakeVerdict::RemovedMember
            | HandshakeVerdict::OtherFleet
            | HandshakeVerdict::SupersededFleet => {
                table.dropped += 1;
                false
            }
        };
        drop(table);
        self.notify_watchers();
        goes
    }
}

impl PeerLinkEvents for Fleet {
    fn handshake(&self) -> Handshake {
        self.own_handshake()
    }

    fn on_handshake_reply(&self, link: &PeerLink, reply: HandshakeReply) -> LinkDecision {
        let goes = self.judge_reply(link, reply.verdict, reply.handshake);
        if goes { LinkDecision::Use } else { LinkDecision::Close }
    }

    fn on_connected(&self, way: &PeerLink) {
        way.send(&self.own_heartbeat().encode());
        if self.table().leads.is_some() {
            self.send_to_store(StoreCommand::BroadcastHeartbeat);
        }
        way.send(&PeerMessage::GossipDigest(self.table().learned.digest()).encode());
        let breaks = self.breaks.borrow().all();
        if !breaks.is_empty() {
            way.send(&PeerMessage::LogRollbacks(breaks).encode());
        }
        let marks = self.table().marks.all();
        if !marks.is_empty() {
            way.send(&PeerMessage::PendingDrains(marks).encode());
        }
    }

    fn on_disconnected(&self, way: &PeerLink) {
        self.change().met.remove(&way.address);
        self.send_to_store(StoreCommand::PeerUnreachable(way.peer_id()));
    }
}
