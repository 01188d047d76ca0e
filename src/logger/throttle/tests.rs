//! The rate of warnings of one call site, and the report of those that were suppressed.

use super::*;

const NOISY: CallSite = CallSite { file: "noisy.rs", line: 1 };
const QUIET: CallSite = CallSite { file: "noisy.rs", line: 2 };

#[test]
fn warnings_beyond_the_rate_are_suppressed_and_reported_with_the_next_one() {
    let start = Instant::now();
    let mut throttle = WarningThrottle::new();
    for _ in 0..WARNINGS_PER_PERIOD {
        assert_eq!(throttle.check(NOISY, start), Verdict::Log { suppressed_before: 0 });
    }
    for _ in 0..5 {
        assert_eq!(throttle.check(NOISY, start + PERIOD / 2), Verdict::Suppress);
    }
    assert_eq!(throttle.check(QUIET, start + PERIOD / 2), Verdict::Log { suppressed_before: 0 });
    assert_eq!(throttle.check(NOISY, start + PERIOD), Verdict::Log { suppressed_before: 5 });
    assert_eq!(throttle.check(NOISY, start + PERIOD), Verdict::Log { suppressed_before: 0 });
}
