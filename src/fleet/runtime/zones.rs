//! Carries out what is decided on zones: hears and tells sights, has moves agreed, shapes the list.

use super::{ChangeOutcome, Fleet, PeerMessage, Proposal, Table};
use crate::engine::outcome_window::OutcomeCounts;
use crate::fleet::zones::{self, ZoneCommand, ZoneHealth, ZoneOutcomes};
use crate::ids::NodeId;
use crate::ids::ZoneId;
use crate::store::state_machine::Change;
use crate::store::store_thread::StoreCommand;
use crate::store::zone_weights::{FULL_WEIGHT_PERMILLE, ZoneWeight};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// A move that was proposed is not said again for so long.
const SAID: Duration = Duration::from_millis(300);

impl Fleet {
    /// Looks at what this daemon saw of hosts within the last moment: tells the others, leaves zones alone, and
    /// decides where this daemon leads. Hosts from which nothing more is to be waited for.
    pub fn look_at_zones(&self, seen: &BTreeMap<String, OutcomeCounts>) -> BTreeSet<String> {
        let now = self.clock.now();
        let urgent = {
            let table = self.table();
            self.zoning.borrow_mut().record_outcomes(seen, &table.state)
        };
        if let Some(sights) = urgent {
            let seen: BTreeMap<u8, &ZoneOutcomes> =
                sights.iter().map(|(zone, sight)| (zone.0, sight)).collect();
            log::debug!("zones: seen {seen:?}");
            self.broadcast(&PeerMessage::ZoneOutcomes(sights));
        }
        let lost = self.zoning.borrow_mut().update_local_evacuation(now, &self.table().state);
        for zone in lost {
            let zoning = self.zoning.borrow();
            log::warn!(
                "zones: this daemon leaves {} for itself: {:?}",
                zoning.name(zone),
                zoning.own_outcomes().get(&zone)
            );
        }
        self.propose_zone_moves(now);
        self.apply_zone_weights(now);
        let (table, zoning) = (self.table(), self.zoning.borrow());
        let hopeless = zoning.abandoned_zones(now, &table.state);
        if hopeless.is_empty() {
            return BTreeSet::new();
        }
        let hosts = table.state.hosts.iter().filter(|(_, host)| hopeless.contains(&host.zone));
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Another daemon's sights.
    pub(super) fn receive_zone_observations(&self, by: NodeId, sights: BTreeMap<ZoneId, ZoneOutcomes>) {
        if self.table().state.members.contains_key(&by) {
            self.zoning.borrow_mut().record_report(self.clock.now(), by, sights);
        }
    }

    /// The sights of this daemon, said with each beat while there are any.
    pub(super) fn broadcast_zone_observations(&self) {
        let sights = self.zoning.borrow().own_outcomes().clone();
        if !sights.is_empty() {
            self.broadcast(&PeerMessage::ZoneOutcomes(sights));
        }
    }

    /// Where this daemon leads it proposes the next moves.
    fn propose_zone_moves(&self, now: Timestamp) {
        let mut proposals = Vec::new();
        {
            let table = self.table();
            let me = table.identity.id;
            if table.status.leader != me || !table.status.participating || !table.state.is_complete() {
                return;
            }
            let warmth = |zone| self.warmth(&table, zone, now);
            let mut zoning = self.zoning.borrow_mut();
            let due = zoning.next_moves(now, me, &table.state, warmth);
            let mut moving = self.moving.borrow_mut();
            moving.retain(|_, (_, at)| at.elapsed() < SAID);
            for (zone, share) in due {
                if moving.get(&zone).is_some_and(|(number, _)| *number == share.version) {
                    continue;
                }
                moving.insert(zone, (share.version, Instant::now()));
                let words = zoning.current_reports(now, me, &table.state);
                let words: Vec<String> = words
                    .iter()
                    .filter_map(|(id, own)| Some((id, own.get(&zone)?)))
                    .map(|(id, seen)| format!("{} {seen}", table.name(*id)))
                    .collect();
                log::info!(
                    "zones: move {} of {} to {} of {FULL_WEIGHT_PERMILLE} is proposed, {:?}; seen: {}",
                    share.version,
                    zoning.name(zone),
                    share.permille,
                    share.reason,
                    words.join("; ")
                );
                let change = Change::ZoneWeight { zone, weight: share };
                proposals.push(Proposal { from: me, token: self.next_token(), change });
            }
        }
        for proposal in proposals {
            self.send_to_store(StoreCommand::Propose(proposal));
        }
    }

    /// The share of its capacity that a zone has, by the youngest of its hosts.
    fn warmth(&self, table: &Table, zone: ZoneId, now: Timestamp) -> f64 {
        let Some(cold) = self.cold.get() else { return 1.0 };
        let own = table.state.hosts.iter().filter(|(_, host)| host.zone == zone);
        let started = own.map(|(name, host)| table.learned.started_at(name).max(host.started_at));
        started.map(|at| cold.capacity_share(at.map(|at| now - at))).fold(1.0, f64::min)
    }

    /// Has the list follow the shares.
    pub(super) fn apply_zone_weights(&self, now: Timestamp) {
        let moved = self.zoning.borrow_mut().take_changed(now, &self.table().state);
        let table = self.table();
        let zoning = self.zoning.borrow();
        // Where a zone is away its hosts are looked at each time: one of them may have become its group's primary.
        let changed = &moved | &zoning.reduced_zones(now, &table.state);
        if changed.is_empty() {
            return;
        }
        for zone in &moved {
            let share = table.state.zone_weight(*zone);
            log::info!(
                "zones: {} gets {} of {FULL_WEIGHT_PERMILLE} from now on; agreed: {} by move {}, {:?}",
                zoning.name(*zone),
                zoning.effective_permille(now, *zone, &table.state),
                share.permille,
                share.version,
                share.reason
            );
        }
        let hosts = table.state.hosts.iter().filter(|(_, host)| changed.contains(&host.zone));
        self.mark_endpoints_changed(hosts.map(|(name, _)| name.clone()));
        drop((table, zoning));
        self.notify_watchers();
    }

    /// An operator's word on a zone. `None`: there is no such zone.
    pub async fn order_zone(
        &self,
        name: &str,
        order: ZoneCommand,
    ) -> Option<Result<(ZoneWeight, ChangeOutcome), String>> {
        let (zone, share) = {
            let table = self.table();
            let zoning = self.zoning.borrow();
            let zone =
                zoning.find(name).filter(|zone| zones::populated_zones(&table.state).contains(zone))?;
            match zoning.weight_for_command(order, zone, &table.state) {
                Ok(share) => (zone, share),
                Err(why) => return Some(Err(why)),
            }
        };
        log::info!("zones: an operator's word on {name}: {order:?}");
        let outcome = self.commit_change(Change::ZoneWeight { zone, weight: share }).await;
        // Another move may have come between.
        let overtaken = outcome == ChangeOutcome::Agreed && self.table().state.zone_weight(zone) != share;
        Some(if overtaken { Err("it moved meanwhile; say it again".into()) } else { Ok((share, outcome)) })
    }

    /// All zones with their state, reason and evidence, a line for each fact.
    pub fn describe_zones(&self) -> String {
        let (table, zoning, now) = (self.table(), self.zoning.borrow(), self.clock.now());
        let sights = zoning.current_reports(now, table.identity.id, &table.state);
        let verdicts = zones::assess_zones(&sights, &table.state);
        let mut out = String::new();
        for (zone, verdict) in &verdicts {
            let share = table.state.zone_weight(*zone);
            let region =
                table.state.regions.by_zone.get(zone).map_or(String::new(), |r| format!(" of region {r}"));
            let looks = match verdict {
                ZoneHealth::CutOff(ids) => {
                    format!(
                        "cut off from {}",
                        ids.iter().map(|id| table.name(*id)).collect::<Vec<_>>().join(", ")
                    )
                }
                other => format!("{other:?}").to_lowercase(),
            };
            let _ = writeln!(
                out,
                "zone {} gets {} of {FULL_WEIGHT_PERMILLE}, agreed {} by move {}, {:?}, failed {}; looks {looks}{region}",
                zoning.name(*zone),
                zoning.effective_permille(now, *zone, &table.state),
                share.permille,
                share.version,
                share.reason,
                share.failed_returns
            );
            for (id, own) in &sights {
                let Some(s) = own.get(zone) else { continue };
                let (zone, by) = (zoning.name(*zone), table.name(*id));
                let _ = writeln!(
                    out,
                    "zone {zone} seen by {by} {s} hosts {} gone {} busy {}",
                    s.hosts, s.gone, s.busy
                );
            }
        }
        out
    }

    /// Zones that do not get all of their reads here, and moves that were agreed.
    pub fn zone_figures(&self) -> (u64, u64) {
        let (table, zoning, now) = (self.table(), self.zoning.borrow(), self.clock.now());
        let away = zoning.reduced_zones(now, &table.state).len();
        (away as u64, table.state.zone_weights.values().map(|s| s.version).sum())
    }
}
