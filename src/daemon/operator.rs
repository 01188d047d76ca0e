//! With an operator's file: the SPARQL front, with a store of its own that keeps configuration and state.

use super::file::{self, Operator};
use super::{Executor, Leave, accept, carry, open_door, signal, signalled, until_drained};
use crate::clock::Clock;
use crate::config::{Limits, Machine};
use crate::engine::classes::{Classes, IdempotencyKey};
use crate::engine::{self, Command, Control, EngineHandle, Input};
use crate::fleet::admin_api;
use crate::fleet::recovery::phases::{Cold, Step};
use crate::fleet::runtime::{Files, Fleet, Me};
use crate::net::backend_pool::BackendPool;
use crate::net::connection::ClientConnection;
use crate::net::connection_limiter::{self, ConnectionLimiter};
use crate::net::lifecycle::Lifecycle;
use crate::net::sparql::front::{self, Front};
use crate::net::sparql::host::Sparql;
use crate::net::until;
use crate::routing::{Settings, TimeDelta};
use crate::store::storage::{DurableStorage, OpenedStorage};
use crate::store::store_thread::{self, RunningStore};
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Opens the store's file, or one that lasts as long as the process.
fn open_store(operator: &Operator) -> Result<OpenedStorage, String> {
    let opened = match &operator.store.snapshot {
        Some(path) => DurableStorage::open(path),
        None => DurableStorage::in_memory(),
    };
    let opened = opened.map_err(|e| e.to_string())?;
    opened.contents.notes.iter().for_each(|note| log::warn!("{note}"));
    Ok(opened)
}

/// Reads the inventory whenever its file changes, and on SIGHUP. One that is out of form is refused whole:
/// what was last good stays.
async fn reload(mut hangup: Async<UnixStream>, operator: &Operator, fleet: &Fleet, limits: &Limits) {
    // What was read at the start is read once more: the file may have changed since.
    let mut seen = None;
    loop {
        let asked =
            until(Instant::now() + limits.file_check_interval, signalled(&mut hangup)).await.is_some();
        let Some(path) = &operator.inventory else { continue };
        let now = stamp(path);
        if now == seen && !asked {
            continue;
        }
        seen = now;
        match file::inventory(path, &operator.zones, limits) {
            Ok(hosts) => fleet.read_files(|files| files.hosts = Some(hosts)),
            Err(e) => log::error!("{e}; the last good inventory stays"),
        }
    }
}

/// What tells a file's versions apart without reading it.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

/// Hands each list that is agreed to the core, with what is drained here, and says when the settings are no longer
/// those that run: a module keeps those that it was started with.
async fn follow<W, A>(
    fleet: &Fleet,
    handle: &EngineHandle<W, A>,
    ready: async_channel::Sender<()>,
    mut settings: String,
) {
    let mut list = BTreeMap::new();
    let changed = fleet.watch();
    loop {
        if let Some(newer) = fleet.settings().filter(|t| *t != settings) {
            log::warn!("other settings are agreed now; they count from the next start");
            settings = newer;
        }
        if let Some(list) = fleet.list_change(&mut list) {
            handle.control(Control::EndpointList { list, cached: false }).await;
            ready.close();
        }
        let _ = changed.recv().await;
    }
}

/// The settings to run with, once some are agreed.
async fn settings(fleet: &Fleet, limits: &Limits) -> String {
    let changed = fleet.watch();
    let began = Instant::now();
    let mut told = false;
    loop {
        if let Some(text) = fleet.settings() {
            return text;
        }
        if !told && began.elapsed() > limits.file_check_interval * 4 {
            told = true;
            log::warn!("not ready: no settings are agreed yet; {}", fleet.bootstrap_status());
        }
        let _ = until(Instant::now() + limits.file_check_interval, changed.recv()).await;
    }
}

/// Waits until this daemon has taken in what the others have agreed on, or for as long as a list may be late: what
/// was drained while it was down must not be sent anything.
async fn catch_up(fleet: &Fleet, limits: &Limits) {
    let changed = fleet.watch();
    let wait = async {
        while !fleet.is_current() {
            let _ = changed.recv().await;
        }
    };
    if until(Instant::now() + limits.discovery_timeout * 2, wait).await.is_none() {
        log::warn!("fleet: no majority is known; serving with what was last agreed");
    }
}

/// How cold hosts behave, by the settings; without a word of it they are warm from the start.
fn cold(settings: &Settings) -> Cold {
    Cold {
        share: settings.cold_capacity.unwrap_or(1.0),
        warm_up: settings.warm_up.unwrap_or(TimeDelta::ZERO),
        multiple: settings.overload_multiple.unwrap_or(1.0).max(1.0),
    }
}

/// Has service return as far as it can now; whether all groups are served.
async fn return_on<W, A>(fleet: &Fleet, handle: &EngineHandle<W, A>, listed: bool) -> bool {
    let (terms, turns) = fleet.return_on(listed);
    handle.control(Control::SetPollParticipants(turns)).await;
    handle.control(Control::SetAdmission(terms)).await;
    fleet.service().step >= Step::Rest
}

/// Serves until SIGTERM.
pub async fn serve(operator: Operator, executor: Executor) -> Result<(), String> {
    // First of all: without a handler this signal would end the program, which may wait for a peer below.
    let hangup = signal(signal_hook::consts::SIGHUP)?;
    let clock = Clock::start();
    let machine = Machine::operator(operator.sockets);
    let mut limits = Limits::on(if operator.admin.is_some() { machine.with_door() } else { machine });
    // Here connections are many but none makes room in haste: idle ones may be looked for at leisure.
    limits.idle_check_interval = limits.file_check_interval;
    limits.pool_sweep_interval = limits.file_check_interval * 4;
    let mut files = Files { settings: operator.settings.clone().map(|s| (s, operator.changed)), hosts: None };
    if let Some(path) = &operator.inventory {
        files.hosts = Some(file::inventory(path, &operator.zones, &limits)?);
    }
    let opened = open_store(&operator)?;
    let at = operator.store.listen;
    let store_listener = connection_limiter::open(at).map_err(|e| format!("{at}: {e}"))?;
    let at = store_listener.get_ref().local_addr().unwrap_or(at);
    log::info!("{}: store at http://{at}", operator.name);
    let listener =
        connection_limiter::open(operator.listen).map_err(|e| format!("{}: {e}", operator.listen))?;
    let RunningStore { opened, commands, events } =
        store_thread::start(opened, &limits).map_err(|e| e.to_string())?;
    let me = Me {
        name: operator.name.clone(),
        address: operator.store.advertise.unwrap_or(at),
        named: operator.store.peers.clone(),
        leaving: operator.leaving.clone(),
    };
    // A connection for each daemon, and some for operators.
    let few = Rc::new(Limits {
        client_connections: limits.fleet_nodes + 16,
        rejected_connections: 4,
        idle_check_interval: limits.file_check_interval,
        ..limits.clone()
    });
    let fleet = Fleet::new(me, few.clone(), clock.clone(), executor.clone(), opened, commands);
    fleet.read_files(|own| *own = files);
    let operator = Rc::new(operator);

    // The store first: whoever is drained elsewhere must not be sent anything here.
    let store_seats = ConnectionLimiter::new(few.clone(), Rc::default());
    let serving = {
        let (fleet, clock) = (fleet.clone(), clock.clone());
        accept(&executor, store_listener, &store_seats, move |stream, place, welcome| {
            let (fleet, few, clock) = (fleet.clone(), few.clone(), clock.clone());
            async move {
                if welcome == connection_limiter::AcceptDecision::Served {
                    admin_api::serve(fleet, ClientConnection::new(stream, place, few, clock)).await;
                }
            }
        })
    };
    serving.detach();
    {
        let (hears, goes) = (fleet.clone(), fleet.clone());
        executor.spawn(async move { hears.hear_store(&events).await }).detach();
        executor.spawn(async move { goes.go_on().await }).detach();
    }
    // Clients that come before anything can be served are told when to come back.
    let at = listener.get_ref().local_addr().unwrap_or(operator.listen);
    log::info!("{}: SPARQL at http://{at}{}", operator.name, operator.service.path);
    let duty = Rc::new(Lifecycle::default());
    let early = Rc::new(limits.clone());
    let seats = ConnectionLimiter::new(early.clone(), duty.clone());
    let slot: Rc<RefCell<Option<Rc<Front>>>> = Rc::default();
    let accepting = {
        let (slot, clock) = (slot.clone(), clock.clone());
        let again = TimeDelta::from(early.front_retry_after).as_micros();
        accept(&executor, listener, &seats, move |stream, place, welcome| {
            let (front, early, clock) = (slot.borrow().clone(), early.clone(), clock.clone());
            async move {
                match front {
                    Some(front) => front.serve(stream, place, welcome).await,
                    // Not all at one time: what they come back to has just begun.
                    None => {
                        let again = || TimeDelta::from_micros(fastrand::i64(again..2 * again));
                        front::serve_early(stream, place, early, clock, again).await
                    }
                }
            }
        })
    };
    let text = settings(&fleet, &limits).await;
    catch_up(&fleet, &limits).await;
    let (mut settings, names, all) = file::read_settings(&text, operator.number)?;
    file::own_fields(&mut settings);
    fleet.returns_by(cold(&settings));
    let seconds = |key: &str| all.get(key).and_then(|v| v.parse::<f64>().ok());
    limits.hosts_idle_for(seconds("limits.conn-idle"));
    if let Some(s) = seconds("limits.connect-timeout").filter(|s| *s > 0.0 && *s < 3600.0) {
        limits.connect_timeout = Duration::from_secs_f64(s);
    }
    let limits = Rc::new(limits);
    let classes = Classes::new(names, &mut settings);
    for class in
        [Some(&operator.service.query), operator.service.session.as_ref(), Some(&operator.service.update)]
    {
        if let Some(name) = class.filter(|name| classes.find(name, IdempotencyKey::Present).is_none()) {
            return Err(format!("{}: the settings name no service {name:?}", operator.path.display()));
        }
    }
    let fields = settings.report_fields.clone();
    let seed = clock.now().as_micros() as u64;
    let (handle, commands) = engine::start(settings, &classes, seed, &limits, clock.clone())
        .map_err(|e| format!("module: {e}"))?;

    {
        let (operator, fleet, limits) = (operator.clone(), fleet.clone(), limits.clone());
        let task = async move {
            reload(hangup, &operator, &fleet, &limits).await;
        };
        executor.spawn(task).detach();
    }
    let (listed, ready) = async_channel::bounded::<()>(1);
    // Before the first list: nothing is let in and no host is asked but in turn.
    return_on(&fleet, &handle, false).await;
    {
        let (fleet, handle) = (fleet.clone(), handle.clone());
        executor.spawn(async move { follow(&fleet, &handle, listed, text).await }).detach();
    }
    let hosts = BackendPool::new(
        Sparql::new(limits.clone(), operator.host_path.clone(), &operator.name, fields),
        limits.clone(),
        clock,
    );
    // Ready is a daemon that serves all groups; those that are open before are served before.
    let (opened, open) = async_channel::bounded::<()>(1);
    let (tell, news) = async_channel::bounded::<()>(1);
    // Nothing is let in before the module knows what the fleet knows of primaries.
    let (hinted, knows) = async_channel::bounded::<()>(1);
    {
        let (fleet, handle, limits) = (fleet.clone(), handle.clone(), limits.clone());
        let task = async move {
            while let Some(facts) = handle.observations().await {
                fleet.observe(&facts);
                if fleet.returns() && return_on(&fleet, &handle, knows.is_closed()).await {
                    opened.close();
                }
                let pause =
                    if fleet.returns() { limits.recovery_check_interval } else { limits.file_check_interval };
                let _ = until(Instant::now() + pause, news.recv()).await;
            }
        };
        executor.spawn(task).detach();
    }
    {
        let (fleet, handle, limits, ready) = (fleet.clone(), handle.clone(), limits.clone(), ready.clone());
        let task = async move {
            while ready.recv().await.is_ok() {}
            while let Some(seen) = handle.outcome_counts().await {
                let left = fleet.look_at_zones(&seen);
                if !left.is_empty() {
                    handle.control(Control::CancelOverdueReads(left)).await;
                }
                // Where nothing is asked nothing can be seen.
                Timer::after(if seen.is_empty() {
                    limits.file_check_interval
                } else {
                    limits.zone_check_interval
                })
                .await;
            }
        };
        executor.spawn(task).detach();
    }
    {
        let (fleet, handle, ready) = (fleet.clone(), handle.clone(), ready.clone());
        let task = async move {
            while ready.recv().await.is_ok() {}
            handle.control(Control::PeerObservations(fleet.told_before())).await;
            while let Some(told) = fleet.told().await {
                handle.control(Control::PeerObservations(told)).await;
            }
        };
        executor.spawn(task).detach();
    }
    {
        // What other daemons' modules have heard of a host is a hint to this one's.
        let (fleet, handle, ready) = (fleet.clone(), handle.clone(), ready.clone());
        let task = async move {
            // A hint about a host that the module's list has not yet would be lost.
            while ready.recv().await.is_ok() {}
            for bytes in fleet.first_hints() {
                handle.input(Input::PeerMessage { from: 0, bytes }).await;
            }
            hinted.close();
            while let Some(bytes) = fleet.hinted().await {
                handle.input(Input::PeerMessage { from: 0, bytes }).await;
            }
        };
        executor.spawn(task).detach();
    }
    let told = fleet.clone();
    let carrying = carry(&executor, &hosts, commands, &handle, async move |command| {
        match command {
            Command::SendToPeers { bytes, .. } => fleet.hint(&bytes),
            // Full: it is read in a moment.
            Command::ObservationsPending => drop(tell.try_send(())),
            _ => {}
        }
    });
    let service = operator.service.clone();
    let ending = handle.clone();
    if let Some(at) = operator.admin {
        let fleet = told.clone();
        let more = move || admin_api::figures(&fleet);
        open_door(&executor, at, &operator.name, &limits, &handle, &duty, &open, more)?;
    }
    let (breaks, limits2) = (told.breaks.clone(), limits.clone());
    let front = Front { limits: limits2, handle, classes, service, ready: open, duty: duty.clone(), breaks };
    *slot.borrow_mut() = Some(Rc::new(front));
    let ends = signal(signal_hook::consts::SIGTERM)?;
    until_drained(ends, &limits, &seats, &duty, &ending, Leave::Others, accepting, carrying).await
}
