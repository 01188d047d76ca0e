//! How a daemon goes on alone on an operator's word.

use super::*;

impl Fleet {
    /// What an operator has to know before this daemon goes on alone from what it has; an error: it must not.
    pub fn recovery_preview(&self) -> Result<String, String> {
        let table = self.table();
        if table.state.fleet.is_none() || table.removed || table.broken.is_some() {
            return Err("there is nothing here to go on from".into());
        }
        if table.status.leader != NodeId::NOBODY {
            return Err("a majority is there: nothing has to be recovered".into());
        }
        let (last, me) = (table.applied, table.identity.id);
        let mut text = format!(
            "this daemon goes on alone from what was agreed up to {last}, as a new fleet; the others come over\n"
        );
        for (id, member) in table.state.members.iter().filter(|(id, _)| **id != me) {
            let heard = table.heard.get(id).filter(|h| h.at.elapsed() < self.limits.peer_gone_timeout);
            text += &match heard {
                Some(h) if h.beat.commit_index > last => {
                    format!(
                        "{} has more: {} changes would be lost; recover there instead\n",
                        member.name,
                        h.beat.commit_index - last
                    )
                }
                Some(_) => format!("{} has no more than this daemon\n", member.name),
                None => format!(
                    "{} is not heard: whatever it alone has would be lost, but for its drains\n",
                    member.name
                ),
            };
        }
        Ok(text)
    }

    /// An operator's word: this daemon goes on alone from what it has, and the others come over.
    pub fn recover(&self) -> Result<String, String> {
        let text = self.recovery_preview()?;
        log::warn!("fleet: an operator has this daemon go on alone: {}", text.replace('\n', "; "));
        let table = self.table();
        let member = Member { name: self.me.name.clone(), address: self.me.address };
        let state = table.state.force_new_fleet(FleetId::random(), table.identity.id, member);
        if self.send_to_store(StoreCommand::ForceNewFleet(Box::new(state))) {
            Ok(text)
        } else {
            Err("nothing was done: the disk is slow; say it again".into())
        }
    }
}
