//! The rig: several real processes of the program, a relay on every link between them, stand-in hosts that hold a
//! model of their data, clients that write down what they asked and got, and a checker that reads the histories
//! afterwards. docs/lab.md tells how to use it.

pub mod check;
pub mod client;
pub mod cluster;
pub mod endpoint;
pub mod faults;
pub mod http;
pub mod oracle;
pub mod process;
pub mod relay;

use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing in a test takes so long; a wait that does has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Unix time in microseconds.
pub fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}

/// The seeds of a test, `FROM..TO`: those that `LAB_SEEDS` names, or these.
pub fn seeds(usual: &str) -> Range<u64> {
    let seeds = std::env::var("LAB_SEEDS").unwrap_or_else(|_| usual.into());
    let (from, to) = seeds.split_once("..").expect("seeds as FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Waits until a condition holds that others bring about; how long it took.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
    began.elapsed()
}
