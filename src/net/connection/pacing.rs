//! Paces a connection whose commands the front answers itself. No I/O.
//!
//! Requests that are forwarded are limited by the number that may be open at once. Commands that the front answers (empty
//! queries, malformed ones, requests for encryption) are not: they cost the client little, and a client may send them
//! as fast as the connection carries them. A connection has credit for such commands. Once that is used up, its input is
//! processed in batches with pauses between them. The pauses grow with the number of paced connections, so that all of
//! them together take no more of the thread than one.

use std::time::{Duration, Instant};

/// Credit of a new connection, in units of work.
const MAX_CREDIT: u32 = 128;
/// Time in which a connection regains one unit of credit.
const CREDIT_INTERVAL: Duration = Duration::from_millis(50);
/// Number of input bytes that count as one unit of work, beside the one for the command itself.
const BYTES_PER_UNIT: usize = 4 * 1024;
/// Units of work between two pauses.
const BATCH_UNITS: u32 = 16;
/// Pause after a batch for each paced connection.
const PAUSE_PER_CONNECTION: Duration = Duration::from_millis(4);
/// Longest pause. Malformed commands must be answered within 3 s.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// A connection is no longer paced once its last pause ended this long ago.
const PACING_PERIOD: Duration = Duration::from_secs(1);

/// The pace of one connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommandPacer {
    credit: u32,
    credited_at: Instant,
    /// Work since the last pause for which there was no credit.
    batch_units: u32,
    /// End of the current or last pause; `None` before the first one.
    resume_at: Option<Instant>,
}

impl CommandPacer {
    /// The pace of a connection that is accepted at `now`.
    pub(super) fn new(now: Instant) -> CommandPacer {
        CommandPacer { credit: MAX_CREDIT, credited_at: now, batch_units: 0, resume_at: None }
    }

    /// Counts a command of `bytes` bytes that the front answers itself, while `paced_connections` connections are paced,
    /// this one included if it is. Begins a pause if a batch is complete.
    pub(super) fn charge(&mut self, now: Instant, bytes: usize, paced_connections: usize) {
        self.add_credit(now);
        let units = u32::try_from(bytes / BYTES_PER_UNIT).unwrap_or(u32::MAX).saturating_add(1);
        let uncredited_units = units.saturating_sub(self.credit);
        self.credit = self.credit.saturating_sub(units);
        self.batch_units = self.batch_units.saturating_add(uncredited_units);
        if self.batch_units >= BATCH_UNITS {
            let batches = self.batch_units / BATCH_UNITS;
            let connections = u32::try_from(paced_connections.max(1)).unwrap_or(u32::MAX);
            let pause = PAUSE_PER_CONNECTION.saturating_mul(connections).saturating_mul(batches);
            self.resume_at = Some(now + pause.min(MAX_PAUSE));
            self.batch_units = 0;
        }
    }

    /// Whether the connection counts as paced.
    pub(super) fn is_paced(&self, now: Instant) -> bool {
        self.resume_at.is_some_and(|resume_at| now < resume_at + PACING_PERIOD)
    }

    /// When the current pause ends; `None` if there is none. Until then no input is processed.
    pub(super) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.resume_at.filter(|resume_at| now < *resume_at)
    }

    fn add_credit(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.credited_at);
        let earned = u32::try_from(elapsed.as_nanos() / CREDIT_INTERVAL.as_nanos()).unwrap_or(MAX_CREDIT);
        self.credit = self.credit.saturating_add(earned).min(MAX_CREDIT);
        self.credited_at += CREDIT_INTERVAL.saturating_mul(earned);
        if self.credit == MAX_CREDIT {
            self.credited_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
