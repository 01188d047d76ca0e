//! Whether the pooler is at work: one state for the operators' calls and for SIGTERM.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Where the pooler stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// At work.
    Serving,
    /// Clients are sent away, until an operator has it back at work.
    Drained,
    /// It ends; nothing leads back from here.
    Terminating,
}

/// The state, and since when.
#[derive(Debug)]
pub struct Lifecycle(Cell<(ServingState, Instant)>);

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle(Cell::new((ServingState::Serving, Instant::now())))
    }
}

impl Lifecycle {
    /// Where it stands.
    pub fn state(&self) -> ServingState {
        self.0.get().0
    }

    /// Goes from one state to another. A call that is repeated, or that comes after the end has begun, changes
    /// nothing; false: the wish cannot be met any more.
    fn turn(&self, to: ServingState) -> bool {
        let from = self.state();
        if from != to && from != ServingState::Terminating {
            log::info!("duty: {from:?}, now {to:?}");
            self.0.set((to, Instant::now()));
        }
        from != ServingState::Terminating || to != ServingState::Serving
    }

    /// Sends clients away. One that ends does so already.
    pub fn drain(&self) -> bool {
        self.turn(ServingState::Drained)
    }

    /// Back to work.
    pub fn activate(&self) -> bool {
        self.turn(ServingState::Serving)
    }

    /// The end begins.
    pub fn terminate(&self) {
        self.turn(ServingState::Terminating);
    }

    /// Whether it has been drained for so long.
    pub fn drained_for(&self, span: Duration) -> bool {
        let (state, since) = self.0.get();
        state == ServingState::Drained && since.elapsed() >= span
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    /// Guards against calls that are repeated or cross each other or SIGTERM: the end is final, the last wish
    /// before it counts, and a repeated drain does not begin anew.
    #[test]
    fn any_order_of_calls_leaves_the_last_wish_and_the_end_is_final() {
        let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
        let check = |calls: Vec<u8>| {
            let (duty, mut wish, mut since) = (Lifecycle::default(), ServingState::Serving, None);
            for call in calls {
                let ended = wish == ServingState::Terminating;
                let (to, done) = match call % 5 {
                    0 | 1 => (ServingState::Drained, duty.drain()),
                    2 | 3 => (ServingState::Serving, duty.activate()),
                    _ => (ServingState::Terminating, {
                        duty.terminate();
                        true
                    }),
                };
                prop_assert_eq!(done, !ended || to != ServingState::Serving);
                let kept = wish == to || ended;
                wish = if ended { wish } else { to };
                prop_assert_eq!(duty.state(), wish);
                prop_assert_eq!(duty.drained_for(Duration::ZERO), wish == ServingState::Drained);
                prop_assert!(!kept || since.is_none_or(|at| at == duty.0.get().1));
                since = Some(duty.0.get().1);
            }
            Ok(())
        };
        TestRunner::new_with_rng(config, rng).run(&prop::collection::vec(any::<u8>(), 0..12), check).unwrap();
    }
}
