//! The measurement `leader`.

use super::{Bench, millis, ms};
use brookpass_testkit::eventually;
use brookpass_testkit::fleet::Setup;
use std::time::Instant;

impl Bench {
    pub(super) fn leader(&self) {
        for daemons in [3, 5] {
            let mut lab = self.lab(Setup { daemons, ..Setup::default() });
            lab.start_all();
            let mut spans = Vec::new();
            for _ in 0..self.times {
                let leader = lab.led();
                let began = Instant::now();
                lab.kill(leader);
                eventually("another one leads", || lab.leader().is_some_and(|n| n != leader));
                spans.push(ms(began.elapsed()));
                lab.start(leader);
                lab.ready(leader);
                lab.settled();
            }
            println!(
                "| leader killed | {} | {daemons} | without a leader, ms | {} |",
                self.label(),
                millis(&mut spans)
            );
        }
    }
}
