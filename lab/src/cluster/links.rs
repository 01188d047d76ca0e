//! Faults of links and zones.

use super::TestCluster;
use crate::endpoint::WORK;
use crate::faults::EndpointFault;
use crate::relay::LinkFaults;
use std::time::Duration;

impl TestCluster {
    fn both(&self, a: usize, b: usize, weather: LinkFaults) {
        for key in [(a, b), (b, a)] {
            if let Some(relay) = self.links.get(&key) {
                relay.set(weather, weather);
            }
        }
    }

    /// Only daemons of the same part hear one another.
    pub fn partition(&self, parts: &[Vec<usize>]) {
        let part = |n: usize| parts.iter().position(|p| p.contains(&n));
        for (a, b) in self.links.keys() {
            let cut = part(*a) != part(*b);
            self.both(*a, *b, LinkFaults { cut, ..LinkFaults::default() });
        }
        // That way all reach a daemon: whoever is not met at the named address would be met there.
        self.public
            .iter()
            .for_each(|r| r.set(LinkFaults { cut: true, ..LinkFaults::default() }, LinkFaults::default()));
    }

    /// What the first says does not reach the second, on whichever connection.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        let cut = LinkFaults { cut: true, ..LinkFaults::default() };
        if let Some(relay) = self.links.get(&(from, to)) {
            relay.set(cut, LinkFaults::default());
        }
        if let Some(relay) = self.links.get(&(to, from)) {
            relay.set(LinkFaults::default(), cut);
        }
    }

    /// The link between two is late and loses frames.
    pub fn set_link_faults(&self, a: usize, b: usize, delay: Duration, loss: u8) {
        self.both(a, b, LinkFaults { delay, loss, ..LinkFaults::default() });
    }

    /// All links are sound again.
    pub fn heal_links(&self) {
        for relay in self.links.values().chain(&self.public) {
            relay.set(LinkFaults::default(), LinkFaults::default());
        }
    }

    /// What happens to all hosts of a zone.
    pub fn set_zone_fault(&self, zone: &str, trouble: EndpointFault) {
        for host in self.hosts.in_zone(zone) {
            if trouble == EndpointFault::Off {
                host.power_off();
                continue;
            }
            if !host.is_up() {
                host.power_on();
            }
            host.set(|h| {
                h.silent = trouble == EndpointFault::Silent;
                h.loss = if let EndpointFault::Lossy(part) = trouble { part } else { 0 };
                h.work = if let EndpointFault::Slow(times) = trouble { WORK * times } else { WORK };
            });
        }
    }

    /// A daemon cannot reach the hosts of a zone, or can again.
    pub fn cut_zone(&self, n: usize, zone: &str, cut: bool) {
        self.hosts.in_zone(zone).for_each(|host| host.cut(&self.daemons[n].name, cut));
    }
}
