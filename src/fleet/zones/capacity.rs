//! What a zone can carry.

/// A host that says that less of it is in use may round: it is not asked what it bears.
const IDLE: f64 = 0.05;

/// What a zone can carry and carries, in requests a second of all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Reads that it would serve at its whole share.
    pub reads: f64,
    /// What its hosts bear now.
    pub bears: f64,
}

/// How many times what it serves a zone bears, where it says that this part of it is in use; `unsaid`: where it
/// does not say.
pub fn headroom_factor(busy: f64, unsaid: f64) -> f64 {
    if busy < IDLE { unsaid.max(1.0 / IDLE * f64::from(u8::from(busy > 0.0))) } else { 1.0 / busy }
}
