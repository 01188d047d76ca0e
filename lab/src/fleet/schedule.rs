//! Plays scripts.

use super::Lab;
use crate::script::{Act, Script};
use crate::{http, now};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

impl Lab {
    /// Carries a script out. Operators' calls go on beside it: what each was answered, with when it was said.
    pub fn play(&mut self, script: &Script) -> Vec<(Act, i64, u16)> {
        let began = Instant::now();
        let (send, answers) = std::sync::mpsc::channel();
        let send = Arc::new(send);
        let mut calls = Vec::new();
        for (at, act) in &script.0 {
            thread::sleep((began + Duration::from_millis(*at)).saturating_duration_since(Instant::now()));
            match act {
                Act::Kill(n) => self.kill(*n),
                Act::Start(n) | Act::StartAnew(n) => {
                    if *act == Act::StartAnew(*n) {
                        self.lose_disk(*n);
                    }
                    self.start(*n);
                }
                Act::Stop(n) => self.stop(*n),
                Act::Continue(n) => self.go_on(*n),
                Act::Split(parts) => self.split(parts),
                Act::CutOneWay(a, b) => self.cut_one_way(*a, *b),
                Act::Weather(a, b, delay, loss) => self.weather(*a, *b, Duration::from_millis(*delay), *loss),
                Act::Reset(a, b) => self.links[&(*a, *b)].reset(),
                Act::Heal => self.heal(),
                Act::Zone(zone, trouble) => self.trouble(zone, *trouble),
                Act::Cut(n, zone, cut) => self.cut_zone(*n, zone, *cut),
                Act::Drain(n, host) | Act::Undrain(n, host) => {
                    let word = if matches!(act, Act::Drain(..)) { "drain" } else { "undrain" };
                    let (at, path) = (self.daemons[*n].store, format!("/{word}/{host}"));
                    let (send, act) = (send.clone(), act.clone());
                    calls.push(thread::spawn(move || {
                        let said = now();
                        let status = http::call(at, "POST", &path).map_or(0, |m| m.status());
                        let _ = send.send((act, said, status));
                    }));
                }
            }
        }
        for call in calls {
            call.join().expect("an operator's call");
        }
        drop(send);
        answers.into_iter().collect()
    }
}
