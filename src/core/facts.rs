//! What hosts last told of themselves, for whoever passes it on. Fed by the owner, read now and then.

use crate::interface::{Mark, MemberId, Micros};
use std::collections::BTreeMap;

/// What a host last told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// The host's name.
    pub host: String,
    /// It called itself the primary.
    pub primary: bool,
    /// The position that it told, in Unix microseconds; 0: none.
    pub position: Micros,
    /// When.
    pub at: Micros,
    /// Attempts that are out at it now.
    pub out: u16,
    /// When it started, as far as the list says.
    pub started: Option<Micros>,
}

/// What is new since it was last read. Off until somebody reads it.
#[derive(Debug, Default)]
pub struct Facts {
    on: bool,
    new: BTreeMap<MemberId, (Mark, Micros)>,
}

impl Facts {
    /// A host has told something.
    pub fn note(&mut self, member: MemberId, mark: Option<Mark>, at: Micros) {
        if self.on
            && let Some(mark) = mark
        {
            self.new.insert(member, (mark, at));
        }
    }

    /// What was told since the last time.
    pub fn take(&mut self) -> BTreeMap<MemberId, (Mark, Micros)> {
        self.on = true;
        std::mem::take(&mut self.new)
    }
}
