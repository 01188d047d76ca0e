//! The measurement `leader`.

use super::{Bench, millis, ms};
use brookpass_testkit::cluster::ClusterConfig;
use brookpass_testkit::eventually;
use std::time::Instant;

impl Bench {
    pub(super) fn leader(&self) {
        for daemons in [3, 5] {
            let mut lab = self.lab(ClusterConfig { daemons, ..ClusterConfig::default() });
            lab.start_all();
            let mut spans = Vec::new();
            for _ in 0..self.times {
                let leader = lab.wait_for_leader();
                let began = Instant::now();
                lab.kill(leader);
                eventually("another one leads", || lab.leader().is_some_and(|n| n != leader));
                spans.push(ms(began.elapsed()));
                lab.start(leader);
                lab.wait_until_ready(leader);
                lab.wait_until_caught_up();
            }
            println!(
                "| leader killed | {} | {daemons} | without a leader, ms | {} |",
                self.label(),
                millis(&mut spans)
            );
        }
    }
}
