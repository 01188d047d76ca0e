//! Tests of operators' calls and SIGTERM in any order.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Guards against wrong states after repeated or interleaved calls: shutdown is final, before it the last call wins,
/// and a repeated drain does not restart the time since the drain.
#[test]
fn the_last_call_wins_in_any_order_and_shutdown_is_final() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    let check = |calls: Vec<u8>| {
        let lifecycle = Lifecycle::default();
        let (mut expected, mut since) = (ServingState::Serving, None);
        for call in calls {
            let terminating = expected == ServingState::Terminating;
            let (next, accepted) = match call % 5 {
                0 | 1 => {
                    lifecycle.drain();
                    (ServingState::Drained, true)
                }
                2 | 3 => (ServingState::Serving, lifecycle.activate().is_ok()),
                _ => {
                    lifecycle.terminate();
                    (ServingState::Terminating, true)
                }
            };
            prop_assert_eq!(accepted, !terminating || next != ServingState::Serving);
            let unchanged = expected == next || terminating;
            expected = if terminating { expected } else { next };
            prop_assert_eq!(lifecycle.state(), expected);
            prop_assert_eq!(lifecycle.drained_for(Duration::ZERO), expected == ServingState::Drained);
            prop_assert!(!unchanged || since.is_none_or(|at| at == lifecycle.since.get()));
            since = Some(lifecycle.since.get());
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&prop::collection::vec(any::<u8>(), 0..12), check).unwrap();
}
