//! What one peer saw of a zone.

use super::health::{ZoneHealth, answers};
use crate::engine::outcome_window::OutcomeCounts;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A zone is judged from so many attempts on that had an end, those of all daemons together.
pub(super) const ENOUGH: u32 = 5;
/// A zone in which so many of a hundred attempts found nobody is lost to whoever saw that.
const LOST: u32 = 70;

/// What a daemon saw of a zone within the last moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOutcomes {
    /// Attempts that were answered in time.
    pub good: u32,
    /// Answered late against the usual of their class, or overdue at a host that answers others.
    pub late: u32,
    /// Not answered at all: silent for too long, or the connection broke.
    pub silent: u32,
    /// No connection was made.
    pub refused: u32,
    /// Hosts that were tried.
    pub hosts: u16,
    /// Those among them that answered nothing.
    pub gone: u16,
    /// Hosts that the zone has.
    pub of: u16,
    /// Thousandths of their capacity that hosts said to be in use, on average; 0: they do not say.
    pub busy: u16,
}

impl ZoneOutcomes {
    /// Of those hosts of a zone that were tried, of so many.
    pub fn new<'a>(hosts: impl Iterator<Item = &'a OutcomeCounts>, of: usize) -> ZoneOutcomes {
        let of = of.min(usize::from(u16::MAX)) as u16;
        let (mut all, mut busy, mut say) = (ZoneOutcomes { of, ..ZoneOutcomes::default() }, 0u32, 0u32);
        for seen in hosts.filter(|seen| seen.total() > 0) {
            let OutcomeCounts { on_time: good, late, unanswered: silent, connect_failed: refused, .. } =
                *seen;
            let gone = u16::from(good + late == 0);
            all.add(&ZoneOutcomes { good, late, silent, refused, hosts: 1, gone, ..ZoneOutcomes::default() });
            (busy, say) =
                (busy + u32::from(seen.utilization_permille), say + u32::from(seen.utilization_permille > 0));
        }
        all.busy = (busy / say.max(1)).min(1000) as u16;
        all
    }

    pub(super) fn add(&mut self, other: &ZoneOutcomes) {
        self.good = self.good.saturating_add(other.good);
        self.late = self.late.saturating_add(other.late);
        self.silent = self.silent.saturating_add(other.silent);
        self.refused = self.refused.saturating_add(other.refused);
        self.hosts = self.hosts.saturating_add(other.hosts);
        self.gone = self.gone.saturating_add(other.gone);
        (self.busy, self.of) = (self.busy.max(other.busy), self.of.max(other.of));
    }

    /// Attempts that had an end.
    pub fn ended(&self) -> u32 {
        let failed = self.silent.saturating_add(self.refused);
        self.good.saturating_add(self.late).saturating_add(failed)
    }

    pub(super) fn share(&self, part: u32) -> u32 {
        (u64::from(part) * 100 / u64::from(self.ended().max(1))) as u32
    }

    pub(super) fn failed(&self) -> u32 {
        self.share(self.silent.saturating_add(self.refused))
    }

    /// Nobody is found there, as far as this tells: not one host that fails beside others.
    pub fn is_lost(&self) -> bool {
        let most = u32::from(self.gone) * 3 >= u32::from(self.hosts) * 2;
        self.ended() > 0 && self.failed() >= LOST && most
    }

    /// It answers in time, by enough attempts.
    pub fn is_sound(&self) -> bool {
        self.ended() >= ENOUGH && self.verdict() == ZoneHealth::Sound
    }

    /// Too much of what is asked there fails or comes late for waiting to be worth while.
    pub fn is_shaky(&self) -> bool {
        self.ended() >= ENOUGH && self.verdict() != ZoneHealth::Sound
    }

    /// What is wrong there, or not, whoever saw it.
    pub(super) fn verdict(&self) -> ZoneHealth {
        match () {
            _ if self.ended() == 0 => ZoneHealth::Unknown,
            _ if self.is_lost() => ZoneHealth::Lost,
            _ => answers(self.share(self.late), self.failed()),
        }
    }
}

impl fmt::Display for ZoneOutcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ZoneOutcomes { good, late, silent, refused, .. } = self;
        write!(f, "good {good} late {late} silent {silent} refused {refused}")
    }
}
