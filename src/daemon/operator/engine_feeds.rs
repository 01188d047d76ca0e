//! Tasks that exchange state between the fleet and the engine: endpoint lists, recovery, zone evacuation, and the
//! observations and primary hints of peers.

use crate::config::Limits;
use crate::daemon::Executor;
use crate::engine::{Control, EngineHandle, Input};
use crate::fleet::recovery::phases::RecoveryPhase;
use crate::fleet::runtime::Fleet;
use crate::net::latch::Latch;
use crate::net::until;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// The interface of the tasks to the rest of the daemon.
pub struct EngineFeeds {
    /// Set once recovery has advanced so far that all groups are served; a group that recovers earlier is served
    /// earlier.
    pub all_groups_served: Latch,
    /// Receives a message when the engine has observations for the fleet.
    pub observations_pending: Sender<()>,
}

impl EngineFeeds {
    /// Closes the engine's admission, since no endpoint is known yet, and starts all tasks.
    /// `running_settings` is the text of the settings that the engine was started with.
    pub async fn start<W, A>(
        executor: &Executor,
        fleet: &Rc<Fleet>,
        engine: &EngineHandle<W, A>,
        limits: &Rc<Limits>,
        running_settings: String,
    ) -> EngineFeeds
    where
        W: Send + 'static,
        A: Send + 'static,
    {
        let feed = Rc::new(Feed {
            fleet: fleet.clone(),
            engine: engine.clone(),
            limits: limits.clone(),
            first_list_sent: Latch::default(),
            hints_sent: Latch::default(),
            all_groups_served: Latch::default(),
        });
        let (observations_pending, pending) = async_channel::bounded(1);
        feed.advance_recovery().await;
        executor.spawn(feed.clone().feed_lists(running_settings)).detach();
        executor.spawn(feed.clone().feed_recovery(pending)).detach();
        executor.spawn(feed.clone().feed_zones()).detach();
        executor.spawn(feed.clone().feed_peer_observations()).detach();
        executor.spawn(feed.clone().feed_primary_hints()).detach();
        EngineFeeds { all_groups_served: feed.all_groups_served.clone(), observations_pending }
    }
}

/// The fleet and the engine that the tasks connect, and the progress of the startup.
struct Feed<W, A> {
    fleet: Rc<Fleet>,
    engine: EngineHandle<W, A>,
    limits: Rc<Limits>,
    /// Set once the engine has an endpoint list.
    first_list_sent: Latch,
    /// Set once the engine has the primary hints that the fleet had at startup; no request is admitted before.
    hints_sent: Latch,
    all_groups_served: Latch,
}

impl<W, A> Feed<W, A> {
    /// Sends each change of the endpoint list to the engine; see [`Fleet::next_endpoint_update`]. Warns when the agreed
    /// settings change, since the engine keeps the settings that it was started with.
    async fn feed_lists(self: Rc<Self>, mut known_settings: String) {
        let mut known_list = BTreeMap::new();
        let changed = self.fleet.subscribe();
        loop {
            if let Some(newer) = self.fleet.committed_settings().filter(|text| *text != known_settings) {
                log::warn!("the fleet has agreed on other settings; they take effect at the next start");
                known_settings = newer;
            }
            if let Some(list) = self.fleet.next_endpoint_update(&mut known_list) {
                self.engine.send_control(Control::EndpointList { list, cached: false }).await;
                self.first_list_sent.set();
            }
            let _ = changed.recv().await;
        }
    }

    /// Records the engine's observations in the fleet and, until recovery is complete, sends the fleet's admission
    /// policy to the engine.
    async fn feed_recovery(self: Rc<Self>, observations_pending: Receiver<()>) {
        while let Some(observations) = self.engine.observations().await {
            self.fleet.record_observations(&observations);
            if self.fleet.is_recovering() && self.advance_recovery().await {
                self.all_groups_served.set();
            }
            let pause = if self.fleet.is_recovering() {
                self.limits.recovery_check_interval
            } else {
                self.limits.file_check_interval
            };
            let _ = until(Instant::now() + pause, observations_pending.recv()).await;
        }
    }

    /// Advances recovery as far as the fleet's state allows. Returns whether all groups are served.
    async fn advance_recovery(&self) -> bool {
        let rules = self.fleet.advance_recovery(self.hints_sent.is_set());
        self.engine.send_control(Control::SetPollParticipants(rules.poll_participants)).await;
        self.engine.send_control(Control::SetAdmission(rules.admission)).await;
        self.fleet.recovery_status().phase >= RecoveryPhase::Remaining
    }

    /// Passes outcome counts per endpoint to the zone failure detector, and cancels overdue reads in zones that are
    /// being evacuated.
    async fn feed_zones(self: Rc<Self>) {
        self.first_list_sent.wait().await;
        while let Some(outcomes) = self.engine.outcome_counts().await {
            let evacuated = self.fleet.update_zones(&outcomes);
            if !evacuated.is_empty() {
                self.engine.send_control(Control::CancelOverdueReads(evacuated)).await;
            }
            // Without requests there are no outcomes from which a failure could be detected.
            let pause = if outcomes.is_empty() {
                self.limits.file_check_interval
            } else {
                self.limits.zone_check_interval
            };
            Timer::after(pause).await;
        }
    }

    /// Sends the observations of peers to the engine, starting with those restored from before the start.
    async fn feed_peer_observations(self: Rc<Self>) {
        self.first_list_sent.wait().await;
        self.engine.send_control(Control::PeerObservations(self.fleet.restored_positions())).await;
        while let Some(observations) = self.fleet.next_peer_observations().await {
            self.engine.send_control(Control::PeerObservations(observations)).await;
        }
    }

    /// Sends the primary hints of peers to the engine, after the first endpoint list: the engine discards hints about
    /// endpoints that are not in its list.
    async fn feed_primary_hints(self: Rc<Self>) {
        self.first_list_sent.wait().await;
        for bytes in self.fleet.initial_primary_hints() {
            self.engine.send_input(Input::PeerMessage { from: 0, bytes }).await;
        }
        self.hints_sent.set();
        while let Some(bytes) = self.fleet.next_primary_hint().await {
            self.engine.send_input(Input::PeerMessage { from: 0, bytes }).await;
        }
    }
}
