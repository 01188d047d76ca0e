//! On the platform: the PostgreSQL front, with what `GW_CONFIG` names. The SPARQL front is off here.

use super::{Executor, accept, carry, signal, signalled, until_drained};
use crate::clock::Clock;
use crate::config::{Limits, Machine};
use crate::core::classes::Classes;
use crate::core::members::Listing;
use crate::core::{self, Command, Control, Input};
use crate::json::{self, Platform};
use crate::net::hosts::Hosts;
use crate::net::peers::Peers;
use crate::net::pg::front::Front;
use crate::net::pg::host::Pg;
use crate::net::{discovery as watcher, listen};
use crate::store::{Store, view};
use async_channel::Sender;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;

/// Reads the configuration; errors name file and line.
pub fn load(path: &str) -> Result<Platform, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    json::platform(&text).map_err(|e| format!("{path}: {e}"))
}

fn limits(platform: &Platform) -> Limits {
    let mut limits = Limits::on(Machine::platform(platform.sockets, platform.memory_mb));
    limits.clients_hold(platform.sockets.unwrap_or(1024) / 3);
    limits.hosts_idle_for(platform.conn_idle);
    if let Some(connect) = platform.settings.connect_timeout {
        limits.connect = Duration::from_micros(connect.max(1) as u64);
    }
    limits
}

/// Reads the configuration anew at each SIGHUP. Discovery moves to the address that it names, at once and
/// without touching what is open; what else has changed counts from the next start. One that is out of form
/// is refused whole: what was last good stays.
async fn reload(path: &str, mut hangup: Async<UnixStream>, discovery: &Cell<SocketAddr>, fetch: &Sender<()>) {
    loop {
        signalled(&mut hangup).await;
        match load(path) {
            Ok(new) => {
                log::info!("SIGHUP: discovery at {} (before: {})", new.discovery, discovery.get());
                discovery.set(new.discovery);
                // A message that still waits to be heard will do: the address is read after it.
                let _ = fetch.try_send(());
            }
            Err(e) => log::error!("SIGHUP: {e}; the last good configuration stays"),
        }
    }
}

/// Serves until SIGTERM; `path` is the file that `platform` was read from.
pub async fn serve(path: String, platform: Platform, executor: Executor) -> Result<(), String> {
    // First of all: without a handler this signal would end the program.
    let hangup = signal(signal_hook::consts::SIGHUP)?;
    let limits = Rc::new(limits(&platform));
    let clock = Clock::start();
    let mut settings = platform.settings;
    let alone = settings.drivers == Some(1);
    let classes = Classes::new(platform.classes, &mut settings);
    let fields = settings.report_fields.clone();
    let (handle, commands) =
        core::start(settings, platform.seed, &limits, clock.clone()).map_err(|e| format!("module: {e}"))?;
    // Here the store has no peers and no file: it keeps the last known list in memory, fed by discovery.
    let store = Rc::new(RefCell::new(Store::new(platform.name.clone(), true).without_tombstones()));
    if let Some(known) = platform.known {
        let known = Listing { whole: true, ..known };
        view::take_list(&mut store.borrow_mut(), &known);
        let list = view::listing(&store.borrow());
        handle.control(Control::List { list, cached: true }).await;
    }
    let listener = listen::open(platform.listen).map_err(|e| format!("{}: {e}", platform.listen))?;
    let peers = match platform.peer_listen {
        Some(at) => {
            let peers = Peers::open(at, platform.peers, platform.peers_all, &limits);
            Some(Rc::new(peers.map_err(|e| format!("{at}: {e}"))?))
        }
        None => None,
    };
    let at = listener.get_ref().local_addr().unwrap_or(platform.listen);
    log::info!("{}: clients at {at}, discovery at {}", platform.name, platform.discovery);
    log::info!(
        "at most {} clients, {} connections to hosts, {} KiB of long messages",
        limits.clients,
        limits.hosts,
        limits.held / 1024
    );

    let (fetch, asked) = async_channel::bounded(1);
    let discovery = Rc::new(Cell::new(platform.discovery));
    {
        let (discovery, fetch) = (discovery.clone(), fetch.clone());
        executor.spawn(async move { reload(&path, hangup, &discovery, &fetch).await }).detach();
    }
    let (listed, ready) = async_channel::bounded::<()>(1);
    {
        let (limits, handle) = (limits.clone(), handle.clone());
        let zones = platform.zones;
        let task = async move {
            let deliver = |list: Listing| {
                let (handle, listed, store) = (&handle, &listed, &store);
                async move {
                    view::take_list(&mut store.borrow_mut(), &list);
                    let list = view::listing(&store.borrow());
                    handle.control(Control::List { list, cached: false }).await;
                    listed.close();
                }
            };
            watcher::watch(&discovery, &zones, &limits, &asked, deliver).await;
        };
        executor.spawn(task).detach();
    }
    if let Some(peers) = peers.clone() {
        let handle = handle.clone();
        let task = async move {
            peers.listen(|from, bytes| handle.input(Input::Peer { from, bytes })).await;
        };
        executor.spawn(task).detach();
    }
    let hosts = Hosts::new(Pg::new(limits.clone(), fields), limits.clone(), clock);
    let carrying = carry(&executor, &hosts, commands, &handle, async move |command| match command {
        Command::Tell { to, bytes } => {
            if let Some(peers) = &peers {
                peers.tell(to, &bytes).await;
            }
        }
        Command::FetchList => drop(fetch.try_send(())),
        _ => {}
    });
    let ending = handle.clone();
    let front = Rc::new(Front { limits: limits.clone(), handle, classes, ready, open: Default::default() });
    let seats = listen::Seats::new(limits.clone());
    let accepting = accept(&executor, listener, &seats, move |stream, place, welcome| {
        let front = front.clone();
        async move { front.serve(stream, place, welcome).await }
    });
    until_drained(&limits, &seats, &ending, alone, accepting, carrying).await
}
