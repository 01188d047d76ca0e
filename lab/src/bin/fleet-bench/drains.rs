//! The measurement `drains`.

use super::{Bench, millis, ms};
use brookpass_testkit::cluster::ClusterConfig;
use std::thread;
use std::time::{Duration, Instant};

impl Bench {
    pub(super) fn drains(&self) {
        for daemons in [3, 5, 9] {
            for dead in [false, true] {
                let mut lab = self.lab(ClusterConfig { daemons, ..ClusterConfig::default() });
                lab.start_all();
                let mut all: Vec<usize> = (0..daemons).collect();
                if dead {
                    let last = daemons - 1;
                    lab.kill(last);
                    all.retain(|n| *n != last);
                    if !self.old {
                        lab.wait_for_leader();
                    }
                }
                let (mut reached, mut answered) = (Vec::new(), Vec::new());
                for n in 0..self.times {
                    let at = all[n % all.len()];
                    let began = Instant::now();
                    let (reach, answer) = thread::scope(|s| {
                        let call = s.spawn(|| {
                            assert!(matches!(lab.post(at, "/drain/s-1-1"), 200 | 202));
                            ms(began.elapsed())
                        });
                        lab.all_leave(&all, "s-1-1", true);
                        (ms(began.elapsed()), call.join().expect("a call"))
                    });
                    reached.push(reach);
                    answered.push(answer);
                    let _ = lab.post(at, "/undrain/s-1-1");
                    lab.all_leave(&all, "s-1-1", false);
                    thread::sleep(Duration::from_millis(37 * (n as u64 % 5)));
                }
                let dead = if dead { "one dead" } else { "all there" };
                println!(
                    "| drain | {} | {daemons}, {dead} | acts at all, ms | {} |",
                    self.label(),
                    millis(&mut reached)
                );
                println!(
                    "| drain | {} | {daemons}, {dead} | answered, ms | {} |",
                    self.label(),
                    millis(&mut answered)
                );
            }
        }
    }
}
