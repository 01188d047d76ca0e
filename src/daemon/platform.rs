//! On the platform: the PostgreSQL front, with what `GW_CONFIG` names. The SPARQL front is off here.

use super::{Executor, Leave, accept, carry, open_door, signal, signalled, unless_signalled, until_drained};
use crate::clock::Clock;
use crate::config::{Limits, Machine};
use crate::engine::classes::Classes;
use crate::engine::endpoints::{EndpointCatalog, EndpointUpdate};
use crate::engine::{self, Command, Control, Input};
use crate::net::backend_pool::BackendPool;
use crate::net::gossip_socket::GossipSocket;
use crate::net::lifecycle::Lifecycle;
use crate::net::postgres::front::Front;
use crate::net::postgres::host::Pg;
use crate::net::connection_limiter::ConnectionLimiter;
use crate::net::{discovery, inherited_socket, listener};
use crate::platform_config::{self as json, Platform};
use crate::time::TimeDelta;
use async_channel::Sender;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

/// Reads the configuration; errors name file and line.
pub fn load(path: &str) -> Result<Platform, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let mut platform = json::platform(&text).map_err(|e| format!("{path}: {e}"))?;
    if platform.admin.is_none()
        && let Some(at) = std::env::var("GW_ADMIN_ADDR").ok().filter(|at| !at.is_empty())
    {
        platform.admin = Some(json::address(&at, "GW_ADMIN_ADDR")?);
    }
    platform.passed = std::env::var("GW_PASSED_SOCKET").ok();
    Ok(platform)
}

fn limits(platform: &Platform) -> Limits {
    let machine = Machine::platform(platform.sockets, platform.memory_mb);
    let machine = if platform.passed.is_some() { machine.half() } else { machine };
    let mut limits = Limits::on(if platform.admin.is_some() { machine.with_door() } else { machine });
    limits.clients_hold(platform.sockets.unwrap_or(1024) / 3);
    limits.tier(platform.settings.pooler_count);
    limits.hosts_idle_for(platform.conn_idle);
    limits.deadlines_at_most(&platform.settings.classes);
    if let Some(connect) = platform.settings.connect_timeout {
        limits.connect_timeout = connect.max(TimeDelta::from_micros(1)).to_duration();
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

/// SIGTERM came before any connection could be taken.
fn ended_early() -> Result<(), String> {
    log::info!("SIGTERM before the first connection");
    Ok(())
}

/// Serves until SIGTERM; `path` is the file that `platform` was read from.
pub async fn serve(path: String, platform: Platform, executor: Executor) -> Result<(), String> {
    // First of all: without a handler these signals would end the program in the midst of what it has taken.
    let hangup = signal(signal_hook::consts::SIGHUP)?;
    let mut ends = signal(signal_hook::consts::SIGTERM)?;
    let limits = Rc::new(limits(&platform));
    let clock = Clock::start();
    let mut settings = platform.settings;
    let alone = settings.pooler_count == Some(1);
    let classes = Classes::new(platform.classes, &mut settings);
    let fields = settings.report_fields.clone();
    let (handle, commands) = engine::start(settings, &classes, platform.seed, &limits, clock.clone())
        .map_err(|e| format!("module: {e}"))?;
    // Here there is no store: the last known list is kept in memory, fed by discovery.
    let hosts_known = Rc::new(RefCell::new(EndpointCatalog::default()));
    let known = platform.known.is_some();
    if let Some(known) = platform.known {
        hosts_known.borrow_mut().take(&EndpointUpdate { whole: true, ..known });
    }
    let succeeds = platform.passed.is_some();
    let listener = match &platform.passed {
        Some(number) => {
            Async::new(inherited_socket::from_descriptor(number)?).map_err(|e| format!("GW_PASSED_SOCKET: {e}"))?
        }
        None => {
            let opened = listener::bind_when_free(platform.listen, &limits);
            let Some(opened) = unless_signalled(&mut ends, opened).await else { return ended_early() };
            opened.map_err(|e| format!("{}: {e}", platform.listen))?
        }
    };
    let peers = Rc::new(GossipSocket::new(platform.peers, platform.peers_all, &limits));
    if let Some(at) = platform.peer_listen {
        match peers.bind(at) {
            // A process that this one follows still has it.
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                log::info!("{at}: {e}; once it is free")
            }
            opened => opened.map_err(|e| format!("{at}: {e}"))?,
        }
        let (peers, handle, period) = (peers.clone(), handle.clone(), limits.file_check_interval);
        let task = async move {
            while peers.bind(at).is_err() {
                Timer::after(period).await;
            }
            peers.receive(|from, bytes| handle.input(Input::PeerMessage { from, bytes })).await;
        };
        executor.spawn(task).detach();
    }
    let at = listener.get_ref().local_addr().unwrap_or(platform.listen);
    log::info!("{}: clients at {at}, discovery at {}", platform.name, platform.discovery);
    log::info!(
        "at most {} clients, {} connections to hosts, {} KiB of long messages",
        limits.client_connections,
        limits.backend_connections,
        limits.message_budget / 1024
    );

    let (fetch, asked) = async_channel::bounded(1);
    let discovery = Rc::new(Cell::new(platform.discovery));
    {
        let (discovery, fetch) = (discovery.clone(), fetch.clone());
        executor.spawn(async move { reload(&path, hangup, &discovery, &fetch).await }).detach();
    }
    let (listed, ready) = async_channel::bounded::<()>(1);
    if known {
        // What discovery has to tell counts from the first moment: the list from before serves only while it is
        // silent, when to wait for a newer one would serve nobody. Until then what comes is held.
        let (listed, handle, known) = (listed.clone(), handle.clone(), hosts_known.clone());
        let (wait, ready) = (limits.cached_list_delay, limits.readiness_timeout);
        let task = async move {
            Timer::after(wait).await;
            if !listed.is_closed() {
                let list = known.borrow().listing();
                handle.control(Control::EndpointList { list, cached: true }).await;
            }
            Timer::after(ready.saturating_sub(wait)).await;
            listed.close();
        };
        executor.spawn(task).detach();
    }
    let duty = Rc::new(Lifecycle::default());
    if let Some(at) = platform.admin {
        open_door(&executor, at, &platform.name, &limits, &handle, &duty, &ready, String::new)?;
    }
    {
        let (limits, handle) = (limits.clone(), handle.clone());
        let (zones, seed) = (platform.zones, platform.seed);
        let task = async move {
            let deliver = |list: EndpointUpdate| {
                let (handle, listed, known) = (&handle, &listed, &hosts_known);
                async move {
                    known.borrow_mut().take(&list);
                    let list = known.borrow().listing();
                    handle.control(Control::EndpointList { list, cached: false }).await;
                    listed.close();
                }
            };
            discovery::watch(&discovery, &zones, &limits, seed, &asked, deliver).await;
        };
        executor.spawn(task).detach();
    }
    let hosts = BackendPool::new(Pg::new(limits.clone(), fields), limits.clone(), clock);
    let carrying = carry(&executor, &hosts, commands, &handle, async move |command| match command {
        Command::SendToPeers { to, bytes } => {
            peers.send(to, &bytes).await;
        }
        Command::FetchList => drop(fetch.try_send(())),
        _ => {}
    });
    if succeeds {
        // Until this process can serve, all clients are the other one's.
        let can_serve = async { while ready.recv().await.is_ok() {} };
        if unless_signalled(&mut ends, can_serve).await.is_none() {
            return ended_early();
        }
    }
    let ending = handle.clone();
    let front = Rc::new(Front {
        limits: limits.clone(),
        handle,
        classes,
        ready,
        duty: duty.clone(),
        open: Default::default(),
    });
    let seats = ConnectionLimiter::new(limits.clone(), duty.clone());
    let accepting = accept(&executor, listener, &seats, move |stream, place, welcome| {
        let front = front.clone();
        async move { front.serve(stream, place, welcome).await }
    });
    let leave = match alone {
        _ if succeeds => Leave::Successor,
        true => Leave::Nobody,
        false => Leave::Others,
    };
    until_drained(ends, &limits, &seats, &duty, &ending, leave, accepting, carrying).await
}
