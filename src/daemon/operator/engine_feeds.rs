//! Tasks between the fleet and the engine: endpoint lists, recovery, zone evacuation, and what peers have observed.

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

/// What other parts of the daemon use of the tasks.
pub struct EngineFeeds {
    /// Set once recovery is complete and all groups are served; groups that recover earlier are served earlier.
    pub all_groups_served: Latch,
    /// Takes a message when the engine has observations for the fleet.
    pub observations_pending: Sender<()>,
}

impl EngineFeeds {
    /// Closes the engine's admission, as nothing is known of any endpoint yet, and starts all feeds.
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

/// Both sides that the tasks connect, and how far the start has come.
struct Feed<W, A> {
    fleet: Rc<Fleet>,
    engine: EngineHandle<W, A>,
    limits: Rc<Limits>,
    /// Set once the engine has an endpoint list.
    first_list_sent: Latch,
    /// Set once the engine has what the fleet knows of primaries: nothing is admitted before.
    hints_sent: Latch,
    all_groups_served: Latch,
}

impl<W, A> Feed<W, A> {
    /// Hands each agreed endpoint list to the engine, with this daemon's own drains. Warns when other settings are
    /// agreed than those in use: an engine keeps the settings that it was started with.
    async fn feed_lists(self: Rc<Self>, mut known_settings: String) {
        let mut known_list = BTreeMap::new();
        let changed = self.fleet.subscribe();
        loop {
            if let Some(newer) = self.fleet.committed_settings().filter(|text| *text != known_settings) {
                log::warn!("other settings are agreed now; they take effect at the next start");
                known_settings = newer;
            }
            if let Some(list) = self.fleet.next_endpoint_update(&mut known_list) {
                self.engine.send_control(Control::EndpointList { list, cached: false }).await;
                self.first_list_sent.set();
            }
            let _ = changed.recv().await;
        }
    }

    /// Carries the engine's observations to the fleet and, until recovery is complete, the fleet's admission policy to
    /// the engine.
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

    /// Advances recovery as far as the fleet's state allows; true: all groups are served.
    async fn advance_recovery(&self) -> bool {
        let rules = self.fleet.advance_recovery(self.hints_sent.is_set());
        self.engine.send_control(Control::SetPollParticipants(rules.poll_participants)).await;
        self.engine.send_control(Control::SetAdmission(rules.admission)).await;
        self.fleet.recovery_status().phase >= RecoveryPhase::Remaining
    }

    /// Feeds outcomes per endpoint to the zones' failure detector, and cancels overdue reads in zones that are
    /// evacuated.
    async fn feed_zones(self: Rc<Self>) {
        self.first_list_sent.wait().await;
        while let Some(outcomes) = self.engine.outcome_counts().await {
            let evacuated = self.fleet.update_zones(&outcomes);
            if !evacuated.is_empty() {
                self.engine.send_control(Control::CancelOverdueReads(evacuated)).await;
            }
            // Without requests there are no outcomes to detect a failure by.
            let pause = if outcomes.is_empty() {
                self.limits.file_check_interval
            } else {
                self.limits.zone_check_interval
            };
            Timer::after(pause).await;
        }
    }

    /// Hands the observations of peers to the engine, those from before the start first.
    async fn feed_peer_observations(self: Rc<Self>) {
        self.first_list_sent.wait().await;
        self.engine.send_control(Control::PeerObservations(self.fleet.restored_positions())).await;
        while let Some(observations) = self.fleet.next_peer_observations().await {
            self.engine.send_control(Control::PeerObservations(observations)).await;
        }
    }

    /// Hands the primary hints of peers to the engine. It discards hints on endpoints that its list lacks, so that none
    /// is handed over before the first list.
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
