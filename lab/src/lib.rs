//! Test kit of brookpass: runs a cluster of real processes of the program, injects faults between them, and checks
//! afterwards what they did.
//!
//! Start with [`cluster::TestCluster`]. It starts the processes ([`process`]) with a relay on every link between them
//! ([`relay`]) and stand-in endpoints behind them ([`endpoint`]). Clients send an open-loop load and record every
//! response ([`client`]); faults are injected directly or by a schedule ([`faults`]). Afterwards [`check`] reads the
//! histories, and [`oracle`] says what a pooler with full knowledge would have served. docs/lab.md has the commands.
//!
//! The kit knows the program only from outside, by its command line, files, sockets and log lines ([`log_lines`]). It
//! panics where a cluster cannot be set up or a wait times out: that fails the test which asked for it.

pub mod check;
pub mod client;
pub mod cluster;
pub mod endpoint;
pub mod faults;
pub mod http;
pub mod log_lines;
pub mod oracle;
pub mod process;
pub mod relay;
pub mod time;

pub use time::{LogPosition, Timestamp};

use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

/// Bound of every wait for a condition. Every condition that the tests wait for holds within a few seconds on an idle
/// machine; a wait that takes longer than this has failed.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition: short against the spans that tests bound, the shortest of which is 250 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The seeds of a randomized test, as `FROM..TO`: those that the variable `LAB_SEEDS` names, else `default_seeds`.
///
/// # Panics
///
/// When the range is malformed.
pub fn seed_range(default_seeds: &str) -> Range<u64> {
    let seeds = std::env::var("LAB_SEEDS").unwrap_or_else(|_| default_seeds.into());
    let (from, to) = seeds.split_once("..").expect("seeds as FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Waits until `condition` holds, which other threads or processes bring about, and returns how long that took.
///
/// # Panics
///
/// When the condition does not hold within [`DEFAULT_TIMEOUT`]; the message names `what`.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < DEFAULT_TIMEOUT, "not in time: {what}");
        thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}
