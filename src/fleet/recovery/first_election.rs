//! Who stands for election first after a start. No I/O.
//!
//! An election comes by itself after 10 to 20 ticks without a word of a leader, since one that is there speaks that
//! often. After a loss of power there is none to wait for: once enough of the voters are heard and none of them knows
//! a leader, the one whose log is the newest asks for the lead at once. That it gets it, and that nobody gets it
//! twice, is the agreement's matter: a wrong guess here costs an exchange of letters.

use crate::ids::NodeId;
use crate::time::{TimeDelta, Timestamp};
use std::cmp::Reverse;

/// Where some voters are silent those that are heard wait this long for them: one of them may know more.
const WAIT: TimeDelta = TimeDelta::from_millis(150);
/// One that got no answer asks again after this.
const AGAIN: TimeDelta = TimeDelta::from_millis(150);

/// What is known of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Who it is.
    pub id: NodeId,
    /// The last entry of its log: its term and its place.
    pub last: (u64, u64),
    /// The leader that it knows; 0: none.
    pub leader: NodeId,
}

/// What a daemon has done for a leader since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstElection {
    /// Since when it hears a majority of the voters.
    majority: Option<Timestamp>,
    /// When it last stood.
    stood: Option<Timestamp>,
    /// It has known a leader: from then on elections come by themselves.
    led: bool,
}

impl FirstElection {
    /// Whether this daemon stands for election now. `heard`: the other voters that are heard and take part.
    pub fn is_due(&mut self, now: Timestamp, me: Voter, voters: &[NodeId], heard: &[Voter]) -> bool {
        self.led |= me.leader != NodeId::NOBODY;
        let there = heard.iter().filter(|v| voters.contains(&v.id)).count() + 1;
        self.majority = self.majority.or(Some(now)).filter(|_| there * 2 > voters.len());
        let waited = self.majority.map_or(TimeDelta::ZERO, |at| now - at);
        let rests = self.stood.is_some_and(|at| now - at < AGAIN);
        let due = !self.led && !rests && stands(me, voters, heard, waited);
        self.stood = if due { Some(now) } else { self.stood };
        due
    }
}

/// Whether it is this daemon's turn. `waited`: for how long a majority of all has been heard.
fn stands(me: Voter, voters: &[NodeId], heard: &[Voter], waited: TimeDelta) -> bool {
    let heard: Vec<&Voter> = heard.iter().filter(|v| voters.contains(&v.id) && v.id != me.id).collect();
    let there = heard.len() + 1;
    let led = me.leader != NodeId::NOBODY || heard.iter().any(|v| v.leader != NodeId::NOBODY);
    let newest = |v: &Voter| (v.last, Reverse(v.id));
    voters.contains(&me.id)
        && !led
        && there * 2 > voters.len()
        && (there == voters.len() || waited >= WAIT)
        && heard.iter().all(|v| newest(v) < newest(&me))
}

#[cfg(test)]
mod tests;
