//! Carries out who stands for election first after a start.

use super::{Fleet, Table};
use crate::fleet::recovery::first_election::{LogEnd, Voter};
use crate::ids::NodeId;
use crate::store::records::EntryId;
use crate::store::store_thread::StoreCommand;

/// A daemon that would hear this one's letters.
fn voter(table: &Table, id: NodeId) -> Option<Voter> {
    let beat = &table.heard.get(&id).filter(|h| h.beat.participates)?.beat;
    let EntryId { term, index } = beat.last_entry;
    Some(Voter { id, log_end: LogEnd { term, index }, leader: beat.leader })
}

impl Fleet {
    /// Asks for the lead, where it is this daemon's turn to.
    pub(super) fn campaign_if_due(&self) {
        let table = self.table();
        if !table.status.participating || table.state.fleet.is_none() || table.removed {
            return;
        }
        let (status, voters) = (&table.status, &table.status.configuration.voters);
        // Those whose word comes here, and that this one's reaches.
        let heard = self.recently_heard_peers(&table).into_iter().filter(|id| self.link_to(*id).is_some());
        let heard: Vec<Voter> = heard.filter_map(|id| voter(&table, id)).collect();
        let EntryId { term, index } = status.own_progress.last_entry;
        let me = Voter { id: table.identity.id, log_end: LogEnd { term, index }, leader: status.leader };
        if self.lead.borrow_mut().is_due(self.clock.now(), me, voters, &heard) {
            let (there, all) = (heard.len() + 1, voters.len());
            log::info!("fleet: no leader among {there} that are heard, of {all} voters; this daemon stands");
            self.send_to_store(StoreCommand::Campaign);
        }
    }
}
