//! Stand-in hosts: groups of one primary and replicas that apply its log late, with a capacity, a cold start and a
//! hand-over. They write down what reached them and when.

mod group;
mod serving;

pub use group::StandInEndpoints;

use crate::http::Message;
use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One operation that reached a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The host.
    pub host: String,
    /// The request, as its client numbered it.
    pub request: u64,
    /// When it came, in Unix microseconds.
    pub at: i64,
    /// When the host was done with it, or saw that its connection was closed.
    pub until: i64,
    /// It wrote.
    pub write: bool,
    /// It was answered with 200.
    pub served: bool,
}

/// How a host is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointBehavior {
    /// It takes connections and answers.
    pub up: bool,
    /// It takes work and answers nothing.
    pub silent: bool,
    /// Of a hundred requests so many get no answer.
    pub loss: u8,
    /// Replicas apply the log so late, in milliseconds.
    pub lag: i64,
    /// An operation takes so long.
    pub work: Duration,
    /// Operations that run at once when it is warm.
    pub slots: usize,
    /// Operations that wait for a slot; more are turned away.
    pub queue: usize,
    /// When it started: it is cold at first.
    pub started: Option<Instant>,
}

/// What a group has: its log, and what it lost.
#[derive(Default)]
struct Log {
    /// Positions of its commits, in order.
    commits: Vec<i64>,
    /// It lost its power and stands here until the next commit.
    back: Option<i64>,
    /// Commits after the first up to the second are gone since the third, in Unix microseconds.
    lost: Vec<(i64, i64, i64)>,
}

/// What an operation takes at a sound host.
pub const WORK: Duration = Duration::from_millis(2);

/// Cold hosts start with this share of their slots, and have all of them after this.
pub const COLD: (f64, Duration) = (0.25, Duration::from_secs(16));

/// The share of its slots that a host has so many seconds after a cold start.
pub fn warmth(age: f64) -> f64 {
    (COLD.0 + (1.0 - COLD.0) * age.max(0.0) / COLD.1.as_secs_f64()).min(1.0)
}

struct Inner {
    health: EndpointBehavior,
    /// Grows with each loss of power: what was open before is gone.
    life: u64,
    primary: bool,
    /// Daemons that it cannot be reached by: what they send is lost.
    cut: BTreeSet<String>,
    rng: fastrand::Rng,
    running: usize,
    waiting: usize,
    most: usize,
}

/// A host.
#[derive(Clone)]
pub struct StandInEndpoint {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: u32,
    /// Its zone's name.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    log: Arc<Mutex<Log>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Questions about itself that reached it: when.
    probes: Arc<Mutex<Vec<i64>>>,
}

impl StandInEndpoint {
    /// Changes how it is.
    pub fn set(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut self.inner.lock().expect("a host").health);
    }

    /// The link from a daemon to it is cut, or sound again: what that daemon sends is lost on the way.
    pub fn cut(&self, daemon: &str, cut: bool) {
        let mut inner = self.inner.lock().expect("a host");
        if cut {
            inner.cut.insert(daemon.into());
        } else {
            inner.cut.remove(daemon);
        }
    }

    /// Whether a request gets lost on its way: the link from its daemon is cut, or chance has it so.
    fn is_lost(&self, request: &Message) -> bool {
        let mut inner = self.inner.lock().expect("a host");
        let by = request.header("via").and_then(|via| via.split(' ').nth(1)).unwrap_or("");
        let loss = inner.health.loss;
        inner.cut.contains(by) || loss > 0 && inner.rng.u8(..100) < loss
    }

    /// It loses its power: what runs is gone, and nobody listens.
    pub fn power_off(&self) {
        let mut inner = self.inner.lock().expect("a host");
        inner.health.up = false;
        inner.life += 1;
        drop(inner);
        self.streams.lock().expect("streams").drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }

    /// It starts again, cold, with all that it had.
    pub fn power_on(&self) {
        self.set(|h| (h.up, h.started) = (true, Some(Instant::now())));
    }

    /// Whether it takes connections.
    pub fn is_up(&self) -> bool {
        self.inner.lock().expect("a host").health.up
    }

    /// When it was asked about itself, in Unix microseconds.
    pub fn polls(&self) -> Vec<i64> {
        self.probes.lock().expect("the record").clone()
    }

    /// Whether it is its group's primary now.
    pub fn is_primary(&self) -> bool {
        self.inner.lock().expect("a host").primary
    }

    /// The most operations that it had at once, since the last question.
    pub fn take_peak_concurrency(&self) -> usize {
        std::mem::take(&mut self.inner.lock().expect("a host").most)
    }

    /// Operations that it may run at once now.
    pub fn slots(health: &EndpointBehavior) -> usize {
        let warm = health.started.map_or(1.0, |started| warmth(started.elapsed().as_secs_f64()));
        ((health.slots as f64 * warm) as usize).max(1)
    }
}
