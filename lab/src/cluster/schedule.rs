//! Plays scripts.

use super::TestCluster;
use crate::faults::{FaultAction, FaultSchedule};
use crate::{http, now};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

impl TestCluster {
    /// Carries a script out. Operators' calls go on beside it: what each was answered, with when it was said.
    pub fn run_schedule(&mut self, script: &FaultSchedule) -> Vec<(FaultAction, i64, u16)> {
        let began = Instant::now();
        let (send, answers) = std::sync::mpsc::channel();
        let send = Arc::new(send);
        let mut calls = Vec::new();
        for (at, act) in &script.0 {
            thread::sleep((began + Duration::from_millis(*at)).saturating_duration_since(Instant::now()));
            match act {
                FaultAction::Kill(n) => self.kill(*n),
                FaultAction::Start(n) | FaultAction::StartWithoutStore(n) => {
                    if *act == FaultAction::StartWithoutStore(*n) {
                        self.delete_store(*n);
                    }
                    self.start(*n);
                }
                FaultAction::Pause(n) => self.pause(*n),
                FaultAction::Resume(n) => self.resume(*n),
                FaultAction::Partition(parts) => self.partition(parts),
                FaultAction::CutOneWay(a, b) => self.cut_one_way(*a, *b),
                FaultAction::SetLinkFaults(a, b, delay, loss) => {
                    self.set_link_faults(*a, *b, Duration::from_millis(*delay), *loss)
                }
                FaultAction::ResetLink(a, b) => self.links[&(*a, *b)].reset(),
                FaultAction::HealLinks => self.heal_links(),
                FaultAction::SetZoneFault(zone, trouble) => self.set_zone_fault(zone, *trouble),
                FaultAction::Cut(n, zone, cut) => self.cut_zone(*n, zone, *cut),
                FaultAction::Drain(n, host) | FaultAction::Undrain(n, host) => {
                    let word = if matches!(act, FaultAction::Drain(..)) { "drain" } else { "undrain" };
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
