//! Faults of links and zones.

use super::Lab;
use crate::host::WORK;
use crate::relay::Weather;
use crate::script::Trouble;
use std::time::Duration;

impl Lab {
    fn both(&self, a: usize, b: usize, weather: Weather) {
        for key in [(a, b), (b, a)] {
            if let Some(relay) = self.links.get(&key) {
                relay.set(weather, weather);
            }
        }
    }

    /// Only daemons of the same part hear one another.
    pub fn split(&self, parts: &[Vec<usize>]) {
        let part = |n: usize| parts.iter().position(|p| p.contains(&n));
        for (a, b) in self.links.keys() {
            let cut = part(*a) != part(*b);
            self.both(*a, *b, Weather { cut, ..Weather::default() });
        }
        // That way all reach a daemon: whoever is not met at the named address would be met there.
        self.public
            .iter()
            .for_each(|r| r.set(Weather { cut: true, ..Weather::default() }, Weather::default()));
    }

    /// What the first says does not reach the second, on whichever connection.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        let cut = Weather { cut: true, ..Weather::default() };
        if let Some(relay) = self.links.get(&(from, to)) {
            relay.set(cut, Weather::default());
        }
        if let Some(relay) = self.links.get(&(to, from)) {
            relay.set(Weather::default(), cut);
        }
    }

    /// The link between two is late and loses frames.
    pub fn weather(&self, a: usize, b: usize, delay: Duration, loss: u8) {
        self.both(a, b, Weather { delay, loss, ..Weather::default() });
    }

    /// All links are sound again.
    pub fn heal(&self) {
        for relay in self.links.values().chain(&self.public) {
            relay.set(Weather::default(), Weather::default());
        }
    }

    /// What happens to all hosts of a zone.
    pub fn trouble(&self, zone: &str, trouble: Trouble) {
        for host in self.hosts.of_zone(zone) {
            if trouble == Trouble::Off {
                host.power_off();
                continue;
            }
            if !host.is_up() {
                host.power_on();
            }
            host.set(|h| {
                h.silent = trouble == Trouble::Silent;
                h.loss = if let Trouble::Lossy(part) = trouble { part } else { 0 };
                h.work = if let Trouble::Slow(times) = trouble { WORK * times } else { WORK };
            });
        }
    }

    /// A daemon cannot reach the hosts of a zone, or can again.
    pub fn cut_zone(&self, n: usize, zone: &str, cut: bool) {
        self.hosts.of_zone(zone).for_each(|host| host.cut(&self.daemons[n].name, cut));
    }
}
