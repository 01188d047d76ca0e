//! Test kit of brookpass: runs a cluster of real processes of the program, injects faults, and afterwards checks what
//! the processes did.
//!
//! Start with [`cluster::TestCluster`]. It starts the processes ([`process`]) with a relay on every link between them
//! ([`relay`]) and stand-in endpoints behind them ([`endpoint`]). Clients send an open-loop load and record every
//! response ([`client`]); faults are injected directly or by a schedule ([`faults`]). Afterwards [`check`] verifies the
//! recorded histories, and [`oracle`] computes what a pooler with full knowledge would have served. docs/lab.md has the
//! commands.
//!
//! The kit uses only the program's external interfaces: its command line, files, sockets and log lines ([`log_lines`]).
//! It panics if a cluster cannot be set up or a wait times out, which fails the calling test.

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

/// Timeout of every wait for a condition. On an idle machine every condition that tests wait for holds within a few
/// seconds.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two evaluations of a condition: short compared with the shortest time that a test bounds, 250 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The seeds of a randomized test: the range in the environment variable `LAB_SEEDS` if it is set, else
/// `default_seeds`, both written as `FROM..TO` without `TO` itself.
///
/// # Panics
///
/// Panics if the range is malformed.
pub fn seed_range(default_seeds: &str) -> Range<u64> {
    let seeds = std::env::var("LAB_SEEDS").unwrap_or_else(|_| default_seeds.into());
    let (from, to) = seeds.split_once("..").expect("LAB_SEEDS has the form FROM..TO");
    from.parse().expect("FROM in LAB_SEEDS is a number")..to.parse().expect("TO in LAB_SEEDS is a number")
}

/// Polls `condition`, which depends on other threads or processes, until it holds. Returns how long that took.
///
/// # Panics
///
/// Panics if the condition does not hold within [`DEFAULT_TIMEOUT`]; the message contains `description`.
pub fn eventually(description: &str, mut condition: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < DEFAULT_TIMEOUT, "timed out waiting for: {description}");
        thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}
