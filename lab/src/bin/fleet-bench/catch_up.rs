//! The measurement `catch_up`.

use super::{Bench, ms};
use brookpass_testkit::cluster::ClusterConfig;
use std::thread;
use std::time::{Duration, Instant};

impl Bench {
    pub(super) fn catch_up(&self) {
        let mut lab = self.lab(ClusterConfig {
            daemons: 3,
            hosts: (1, 3),
            more_hosts: 5_000,
            ..ClusterConfig::default()
        });
        lab.start_all();
        lab.kill(2);
        lab.wait_for_leader();
        let began = Instant::now();
        let (at, per) = ([lab.daemons[0].store, lab.daemons[1].store], 625);
        thread::scope(|s| {
            for part in 0..8 {
                let at = at[part % 2];
                s.spawn(move || {
                    let patience = Duration::from_secs(10);
                    let mut open =
                        brookpass_testkit::http::Connection::open(at, patience).expect("a connection");
                    for n in 0..per {
                        for word in ["drain", "undrain"] {
                            let path = format!("/{word}/x-{}", part * per + n);
                            let text =
                                format!("POST {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n");
                            let status = open.call(&text).map_or(0, |m| m.status());
                            assert_eq!(status, 200, "{path}");
                        }
                    }
                });
            }
        });
        let changes = ms(began.elapsed());
        println!("| changes | {} | 3, one dead | 10,000 agreed, ms | {changes:.0} | |", self.label());
        let began = Instant::now();
        lab.start(2);
        lab.wait_until_ready(2);
        println!(
            "| catch-up | {} | 3 | missed 10,000 changes: until it serves, ms | {:.0} | |",
            self.label(),
            ms(began.elapsed())
        );
        lab.wait_until_caught_up();
        let memory = lab.daemons.iter().filter_map(|d| d.process.as_ref()).map(|p| p.usage().1).max();
        println!(
            "| catch-up | {} | 3 | memory of the largest, MB | {} | |",
            self.label(),
            memory.unwrap_or(0) / 1024
        );
    }
}
