//! With an operator's file: the SPARQL front, with a store of its own that keeps configuration and state.

use super::file::{self, Operator};
use super::{Executor, Leave, accept, carry, open_door, signal, signalled, until_drained};
use crate::clock::Clock;
use crate::config::{Limits, Machine};
use crate::core::classes::Classes;
use crate::core::{self, Control, Handle};
use crate::net::duty::Duty;
use crate::net::hosts::Hosts;
use crate::net::link::Link;
use crate::net::listen::{self, Seats};
use crate::net::sparql::front::Front;
use crate::net::sparql::host::Sparql;
use crate::net::until;
use crate::store::sync::Shared;
use crate::store::view::Files;
use crate::store::{Store, snapshot, view};
use async_io::{Async, Timer};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

fn open_store(operator: &Operator, clock: &Clock) -> Result<Store, String> {
    // The start is part of the node's name: a restart without disk makes no stamp a second time.
    let node = format!("{}.{:x}", operator.name, clock.now());
    let mut store = Store::new(node, operator.store.peers.is_empty());
    if let Some(path) = operator.store.snapshot.as_ref().filter(|p| p.exists()) {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        store.restore(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(store)
}

/// Reads the inventory whenever its file changes, and on SIGHUP. One that is out of form is refused whole:
/// what was last good stays.
async fn reload(mut hangup: Async<UnixStream>, operator: &Operator, shared: &Shared, limits: &Limits) {
    // What was read at the start is read once more: the file may have changed since.
    let mut seen = None;
    loop {
        let asked = until(Instant::now() + limits.period, signalled(&mut hangup)).await.is_some();
        let Some(path) = &operator.inventory else { continue };
        let now = stamp(path);
        if now == seen && !asked {
            continue;
        }
        seen = now;
        match file::inventory(path, &operator.zones, limits) {
            Ok(hosts) => shared.read_files(|files| files.hosts = Some(hosts)),
            Err(e) => log::error!("{e}; the last good inventory stays"),
        }
    }
}

/// What tells a file's versions apart without reading it.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

/// Hands each list that the store makes to the core, and says when the settings are no longer those that
/// run: a module keeps those that it was started with.
async fn follow<W, A>(
    shared: &Shared,
    handle: &Handle<W, A>,
    ready: async_channel::Sender<()>,
    mut settings: String,
) {
    let mut last = None;
    loop {
        let newer = shared.read(|s| s.get(view::SETTINGS).filter(|t| *t != settings).map(str::to_string));
        if let Some(newer) = newer {
            log::warn!("the store has other settings now; they count from the next start");
            settings = newer;
        }
        let list = shared.read(view::listing);
        if last.as_ref() != Some(&list.entries) && !(last.is_none() && list.entries.is_empty()) {
            last = Some(list.entries.clone());
            handle.control(Control::List { list, cached: false }).await;
            ready.close();
        }
        shared.changed().await;
    }
}

/// Waits until the store has caught up, or for as long as a list may be late.
async fn catch_up(shared: &Shared, limits: &Limits) {
    let wait = async {
        while !shared.read(Store::is_caught_up) {
            shared.changed().await;
        }
    };
    if until(Instant::now() + limits.discovery * 2, wait).await.is_none() {
        log::warn!("store: no peer answered; local changes hold here and wait for their place in the order");
    }
}

/// The settings to run with: the store's, once it has some.
async fn settings(shared: &Shared, limits: &Limits) -> String {
    loop {
        if let Some(text) = shared.read(|s| s.get(view::SETTINGS).map(str::to_string)) {
            return text;
        }
        log::warn!("no settings in the file nor in the store yet; waiting for a peer");
        Timer::after(limits.period * 4).await;
    }
}

/// Serves until SIGTERM.
pub async fn serve(operator: Operator, executor: Executor) -> Result<(), String> {
    // First of all: without a handler this signal would end the program, which may wait for a peer below.
    let hangup = signal(signal_hook::consts::SIGHUP)?;
    let clock = Clock::start();
    let machine = Machine::operator(operator.sockets);
    let mut limits = Limits::on(if operator.admin.is_some() { machine.with_door() } else { machine });
    let mut files = Files { settings: operator.settings.clone().map(|s| (s, operator.changed)), hosts: None };
    if let Some(path) = &operator.inventory {
        files.hosts = Some(file::inventory(path, &operator.zones, &limits)?);
    }
    let store = open_store(&operator, &clock)?;
    let at = operator.store.listen;
    let store_listener = listen::open(at).map_err(|e| format!("{at}: {e}"))?;
    let at = store_listener.get_ref().local_addr().unwrap_or(at);
    log::info!("{}: store at http://{at}", operator.name);
    let listener = listen::open(operator.listen).map_err(|e| format!("{}: {e}", operator.listen))?;
    let shared = Rc::new(Shared::new(store, operator.store.peers.clone(), limits.clone(), clock.clone()));
    shared.read_files(|own| *own = files);
    let operator = Rc::new(operator);

    // The store first: whoever is drained elsewhere must not be sent anything here.
    let few = Rc::new(Limits { clients: 32, turned_away: 4, ..limits.clone() });
    let store_seats = Seats::new(few.clone(), Rc::default());
    let serving = {
        let (shared, clock) = (shared.clone(), clock.clone());
        accept(&executor, store_listener, &store_seats, move |stream, place, welcome| {
            let (shared, few, clock) = (shared.clone(), few.clone(), clock.clone());
            async move {
                if welcome == listen::Welcome::Served {
                    shared.serve(Link::new(stream, place, few, clock)).await;
                }
            }
        })
    };
    serving.detach();
    for number in 0..operator.store.peers.len() {
        let shared = shared.clone();
        executor.spawn(async move { shared.exchange(number).await }).detach();
    }
    if let Some(path) = &operator.store.snapshot {
        let writer = snapshot::writer(path.clone()).map_err(|e| format!("{}: {e}", path.display()))?;
        let (shared, period) = (shared.clone(), limits.period);
        let task = async move {
            let mut written = None;
            loop {
                let version = shared.read(Store::version);
                if written != Some(version) {
                    written = Some(version);
                    let _ = writer.send(shared.read(Store::snapshot));
                }
                Timer::after(period).await;
            }
        };
        executor.spawn(task).detach();
    }
    catch_up(&shared, &limits).await;
    let text = settings(&shared, &limits).await;
    let (mut settings, names, all) = file::read_settings(&text, operator.number)?;
    let seconds = |key: &str| all.get(key).and_then(|v| v.parse::<f64>().ok());
    limits.hosts_idle_for(seconds("limits.conn-idle"));
    if let Some(s) = seconds("limits.connect-timeout").filter(|s| *s > 0.0 && *s < 3600.0) {
        limits.connect = Duration::from_secs_f64(s);
    }
    let limits = Rc::new(limits);
    let classes = Classes::new(names, &mut settings);
    for class in
        [Some(&operator.service.query), operator.service.session.as_ref(), Some(&operator.service.update)]
    {
        if let Some(name) = class.filter(|name| classes.find(name, true).is_none()) {
            return Err(format!("{}: the settings name no service {name:?}", operator.path.display()));
        }
    }
    let fields = settings.report_fields.clone();
    let seed = clock.now() as u64;
    let (handle, commands) =
        core::start(settings, &classes, seed, &limits, clock.clone()).map_err(|e| format!("module: {e}"))?;

    {
        let (operator, shared, limits) = (operator.clone(), shared.clone(), limits.clone());
        let task = async move {
            reload(hangup, &operator, &shared, &limits).await;
        };
        executor.spawn(task).detach();
    }
    let (listed, ready) = async_channel::bounded::<()>(1);
    {
        let (shared, handle) = (shared.clone(), handle.clone());
        executor.spawn(async move { follow(&shared, &handle, listed, text).await }).detach();
    }
    let hosts =
        Hosts::new(Sparql::new(limits.clone(), operator.host_path.clone(), fields), limits.clone(), clock);
    let carrying = carry(&executor, &hosts, commands, &handle, async |_| {});
    let at = listener.get_ref().local_addr().unwrap_or(operator.listen);
    log::info!("{}: SPARQL at http://{at}{}", operator.name, operator.service.path);
    let service = operator.service.clone();
    let ending = handle.clone();
    let duty = Rc::new(Duty::default());
    if let Some(at) = operator.admin {
        open_door(&executor, at, &operator.name, &limits, &handle, &duty, &ready)?;
    }
    let front =
        Rc::new(Front { limits: limits.clone(), handle, classes, service, ready, duty: duty.clone() });
    let seats = Seats::new(limits.clone(), duty.clone());
    let accepting = accept(&executor, listener, &seats, move |stream, place, welcome| {
        let front = front.clone();
        async move { front.serve(stream, place, welcome).await }
    });
    until_drained(&limits, &seats, &duty, &ending, Leave::Others, accepting, carrying).await
}
