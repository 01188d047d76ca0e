//! Tasks between the fleet and the engine: endpoint lists, recovery, zone evacuation, and what peers have observed.

use crate::config::Limits;
use crate::daemon::Executor;
use crate::daemon::milestone::{Milestone, reached};
use crate::engine::{Control, EngineHandle, Input};
use crate::fleet::recovery::phases::Step;
use crate::fleet::runtime::Fleet;
use crate::net::until;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// The tasks' ends that other parts of the daemon use.
pub struct EngineFeeds {
    /// Reached once recovery is complete and all groups are served; groups that recover earlier are served earlier.
    pub all_groups_served: Receiver<()>,
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
        let (first_list_sent, first_list) = Milestone::new();
        advance_recovery(fleet, engine, false).await;
        {
            let fleet = fleet.clone();
            let engine = engine.clone();
            let task = async move { feed_lists(&fleet, &engine, first_list_sent, running_settings).await };
            executor.spawn(task).detach();
        }
        let (recovery_complete, all_groups_served) = Milestone::new();
        let (observations_pending, pending) = async_channel::bounded(1);
        // Nothing is admitted before the engine knows what the fleet knows of primaries.
        let (hints_sent, hints) = Milestone::new();
        {
            let feed = RecoveryFeed {
                fleet: fleet.clone(),
                engine: engine.clone(),
                limits: limits.clone(),
                hints,
                complete: recovery_complete,
            };
            executor.spawn(async move { feed.run(pending).await }).detach();
        }
        {
            let fleet = fleet.clone();
            let engine = engine.clone();
            let limits = limits.clone();
            let first_list = first_list.clone();
            let task = async move { feed_zones(&fleet, &engine, &limits, &first_list).await };
            executor.spawn(task).detach();
        }
        {
            let fleet = fleet.clone();
            let engine = engine.clone();
            let first_list = first_list.clone();
            let task = async move { feed_peer_observations(&fleet, &engine, &first_list).await };
            executor.spawn(task).detach();
        }
        {
            let fleet = fleet.clone();
            let engine = engine.clone();
            let task = async move { feed_primary_hints(&fleet, &engine, &first_list, hints_sent).await };
            executor.spawn(task).detach();
        }
        EngineFeeds { all_groups_served, observations_pending }
    }
}

/// Hands each agreed endpoint list to the engine, with this daemon's own drains. Warns when other settings are agreed
/// than those in use: an engine keeps the settings that it was started with.
async fn feed_lists<W, A>(
    fleet: &Fleet,
    engine: &EngineHandle<W, A>,
    first_list_sent: Milestone,
    mut known_settings: String,
) {
    let mut known_list = BTreeMap::new();
    let changed = fleet.watch();
    loop {
        if let Some(newer) = fleet.settings().filter(|text| *text != known_settings) {
            log::warn!("other settings are agreed now; they take effect at the next start");
            known_settings = newer;
        }
        if let Some(list) = fleet.list_change(&mut known_list) {
            engine.control(Control::EndpointList { list, cached: false }).await;
            first_list_sent.reach();
        }
        let _ = changed.recv().await;
    }
}

/// Carries the engine's observations to the fleet and, until recovery is complete, the fleet's admission policy to
/// the engine.
struct RecoveryFeed<W, A> {
    fleet: Rc<Fleet>,
    engine: EngineHandle<W, A>,
    limits: Rc<Limits>,
    /// Reached once the engine has what the fleet knows of primaries.
    hints: Receiver<()>,
    complete: Milestone,
}

impl<W, A> RecoveryFeed<W, A> {
    async fn run(self, observations_pending: Receiver<()>) {
        while let Some(observations) = self.engine.observations().await {
            self.fleet.observe(&observations);
            if self.fleet.returns() {
                let has_hints = self.hints.is_closed();
                if advance_recovery(&self.fleet, &self.engine, has_hints).await {
                    self.complete.reach();
                }
            }
            let pause = if self.fleet.returns() {
                self.limits.recovery_check_interval
            } else {
                self.limits.file_check_interval
            };
            let _ = until(Instant::now() + pause, observations_pending.recv()).await;
        }
    }
}

/// Advances recovery as far as the fleet's state allows; true: all groups are served.
async fn advance_recovery<W, A>(fleet: &Fleet, engine: &EngineHandle<W, A>, has_hints: bool) -> bool {
    let (admission, poll_participants) = fleet.return_on(has_hints);
    engine.control(Control::SetPollParticipants(poll_participants)).await;
    engine.control(Control::SetAdmission(admission)).await;
    fleet.service().step >= Step::Rest
}

/// Feeds outcomes per endpoint to the zones' failure detector, and cancels overdue reads in zones that are evacuated.
async fn feed_zones<W, A>(
    fleet: &Fleet,
    engine: &EngineHandle<W, A>,
    limits: &Limits,
    first_list: &Receiver<()>,
) {
    reached(first_list).await;
    while let Some(outcomes) = engine.outcome_counts().await {
        let evacuated = fleet.look_at_zones(&outcomes);
        if !evacuated.is_empty() {
            engine.control(Control::CancelOverdueReads(evacuated)).await;
        }
        // Without requests there are no outcomes to detect a failure by.
        let pause = if outcomes.is_empty() { limits.file_check_interval } else { limits.zone_check_interval };
        Timer::after(pause).await;
    }
}

/// Hands the observations of peers to the engine, those from before the start first.
async fn feed_peer_observations<W, A>(fleet: &Fleet, engine: &EngineHandle<W, A>, first_list: &Receiver<()>) {
    reached(first_list).await;
    engine.control(Control::PeerObservations(fleet.told_before())).await;
    while let Some(observations) = fleet.told().await {
        engine.control(Control::PeerObservations(observations)).await;
    }
}

/// Hands the primary hints of peers to the engine. It discards hints on endpoints that its list lacks, so that none is
/// handed over before the first list.
async fn feed_primary_hints<W, A>(
    fleet: &Fleet,
    engine: &EngineHandle<W, A>,
    first_list: &Receiver<()>,
    hints_sent: Milestone,
) {
    reached(first_list).await;
    for bytes in fleet.first_hints() {
        engine.input(Input::PeerMessage { from: 0, bytes }).await;
    }
    hints_sent.reach();
    while let Some(bytes) = fleet.hinted().await {
        engine.input(Input::PeerMessage { from: 0, bytes }).await;
    }
}
