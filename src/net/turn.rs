//! Cooperative scheduling of the tasks that serve sockets.
//!
//! One thread runs all of these tasks, and a task keeps it until it waits. Reads and writes that complete at once do not
//! wait, so a task whose peer always has more input would keep the thread for as long as the peer sends. Loops over the
//! input of a peer therefore count their steps with a [`Turn`].

use futures_lite::future;
use std::cell::Cell;

/// Number of steps after which a task lets all others run.
const STEPS_PER_TURN: u32 = 16;

/// Number of input bytes whose decoding counts as one step more.
const BYTES_PER_STEP: usize = 8 * 1024;

/// The steps of a task since it last let the other tasks run.
#[derive(Debug, Default)]
pub struct Turn {
    steps: Cell<u32>,
}

impl Turn {
    /// Counts a step: one read, one write, or one command or message that was taken out of a buffer. Lets the other
    /// tasks run if the turn is over.
    ///
    /// A branch of a [`future::or`] whose result must take precedence over that of the other branch has to count its
    /// step before the `or`, because the other branch may complete while this one lets other tasks run.
    pub async fn step(&self) {
        self.step_over(0).await;
    }

    /// Like [`Turn::step`], for a step that decoded `bytes` bytes of input: the longer the input, the shorter the turn.
    pub async fn step_over(&self, bytes: usize) {
        let more_steps = u32::try_from(bytes / BYTES_PER_STEP).unwrap_or(STEPS_PER_TURN);
        let steps = self.steps.get().saturating_add(1 + more_steps);
        if steps < STEPS_PER_TURN {
            self.steps.set(steps);
        } else {
            self.steps.set(0);
            future::yield_now().await;
        }
    }
}
