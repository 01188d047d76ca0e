//! On the platform: the PostgreSQL front, with what `GW_CONFIG` names. The SPARQL front is off here.

use super::{Executor, accept, carry, until_drained};
use crate::clock::Clock;
use crate::config::Limits;
use crate::core::classes::Classes;
use crate::core::members::Listing;
use crate::core::{self, Command, Control, Input};
use crate::json::{self, Platform};
use crate::net::hosts::Hosts;
use crate::net::peers::Peers;
use crate::net::pg::front::Front;
use crate::net::pg::host::Pg;
use crate::net::{discovery, listen};
use crate::store::{Store, view};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Reads the configuration; errors name file and line.
pub fn load(path: &str) -> Result<Platform, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    json::platform(&text).map_err(|e| format!("{path}: {e}"))
}

fn limits(platform: &Platform) -> Limits {
    let mut limits = Limits::for_sockets(platform.sockets.unwrap_or(1024));
    limits.hosts_idle_for(platform.conn_idle);
    if let Some(connect) = platform.settings.connect_timeout {
        limits.connect = Duration::from_micros(connect.max(1) as u64);
    }
    limits
}

/// Serves until SIGTERM.
pub async fn serve(platform: Platform, executor: Executor) -> Result<(), String> {
    let limits = Rc::new(limits(&platform));
    let clock = Clock::start();
    let mut settings = platform.settings;
    let classes = Classes::new(platform.classes, &mut settings);
    let fields = settings.report_fields.clone();
    let (handle, commands) =
        core::start(settings, platform.seed, &limits, clock.clone()).map_err(|e| format!("module: {e}"))?;
    // Here the store has no peers and no file: it keeps the last known list in memory, fed by discovery.
    let store = Rc::new(RefCell::new(Store::new(platform.name.clone(), true)));
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

    let (fetch, asked) = async_channel::bounded(1);
    let (listed, ready) = async_channel::bounded::<()>(1);
    {
        let (limits, handle) = (limits.clone(), handle.clone());
        let (address, zones) = (platform.discovery, platform.zones);
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
            discovery::watch(address, &zones, &limits, &asked, deliver).await;
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
    let front = Rc::new(Front { limits: limits.clone(), handle, classes, ready });
    let seats = listen::Seats::new(limits.clone());
    let accepting = accept(&executor, listener, &seats, move |stream, place, welcome| {
        let front = front.clone();
        async move { front.serve(stream, place, welcome).await }
    });
    until_drained(&limits, &seats, accepting, carrying).await
}
