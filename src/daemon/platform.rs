//! The daemon of the platform: the PostgreSQL front, with the configuration that `GW_CONFIG` names.
//!
//! There is no store and no fleet here: the endpoint list comes from discovery ([`endpoint_lists`]) and is kept in
//! memory, and peers exchange primary hints in datagrams ([`gossip`]). A new process may take over the listening socket
//! of the one that it replaces ([`client_socket`]).

mod client_socket;
mod endpoint_lists;
mod gossip;

use super::commands::execute_commands;
use super::listeners::{Acceptor, serve_admin};
use super::milestone::reached;
use super::shutdown::{Handover, RunningDaemon};
use super::signals::{Signal, SignalStream};
use super::{ConfigError, DaemonError, Executor};
use crate::address::parse_address;
use crate::clock::Clock;
use crate::config::{DEFAULT_SOCKETS, Limits, Machine};
use crate::engine::classes::Classes;
use crate::engine::{self, Command};
use crate::net::admin_server::AdminServer;
use crate::net::backend_pool::BackendPool;
use crate::net::connection_limiter::ConnectionLimiter;
use crate::net::lifecycle::Lifecycle;
use crate::net::postgres::front::Front;
use crate::net::postgres::host::PostgresBackend;
use crate::platform_config::{self, PlatformConfig};
use crate::time::TimeDelta;
use async_io::Async;
use endpoint_lists::{Discovery, EndpointLists};
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

/// Reads the configuration from its file and the environment.
///
/// # Errors
/// [`ConfigError`] with the file, and the line where its content is at fault.
pub fn load(path: &str) -> Result<PlatformConfig, ConfigError> {
    let file = PathBuf::from(path);
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: file.clone(), source })?;
    let mut config =
        platform_config::parse(&text).map_err(|source| ConfigError::Platform { path: file, source })?;
    if config.admin.is_none()
        && let Some(address) = std::env::var("GW_ADMIN_ADDR").ok().filter(|text| !text.is_empty())
    {
        config.admin = Some(parse_address(&address, "GW_ADMIN_ADDR")?);
    }
    config.inherited_socket = std::env::var("GW_PASSED_SOCKET").ok();
    Ok(config)
}

/// Serves until SIGTERM; `path` is the file that `config` was read from, and is read again on SIGHUP.
///
/// # Errors
/// [`DaemonError`] where an address or the inherited socket cannot be used, or the engine ends.
pub async fn serve(path: String, config: PlatformConfig, executor: Executor) -> Result<(), DaemonError> {
    // Before anything else: without handlers these signals would end the process with accepted requests unanswered.
    let hangup = SignalStream::subscribe(Signal::Hangup)?;
    let mut terminate = SignalStream::subscribe(Signal::Terminate)?;
    let limits = Rc::new(limits(&config));
    let handover = handover(&config);
    let clock = Clock::start();
    let mut settings = config.settings.clone();
    let classes = Classes::new(config.classes.clone(), &mut settings);
    let report_fields = settings.report_fields.clone();
    let (engine, commands) = engine::start(settings, &classes, config.seed, &limits, clock.clone())
        .map_err(DaemonError::EngineStart)?;
    let lists = EndpointLists::new(config.cached_list.clone());

    let opened = client_socket::open(&config, &limits, &mut terminate).await?;
    let Some(listener) = opened else { return terminated_early() };
    let peers = gossip::start(&config, &engine, &limits, &executor)?;
    log_start(&config, &listener, &limits);

    let discovery = Discovery::new(config.discovery);
    discovery.follow_configuration(&executor, path, hangup);
    let first_list = lists.first_list();
    if config.cached_list.is_some() {
        lists.serve_cached_if_discovery_is_silent(&executor, &engine, &limits);
    }
    let lifecycle = Rc::new(Lifecycle::default());
    if let Some(address) = config.admin {
        let server =
            AdminServer::new(&limits, engine.clone(), lifecycle.clone(), first_list.clone(), String::new);
        serve_admin(&executor, address, &config.name, &limits, server)?;
    }
    let fetch_requests = discovery.fetch_requests();
    discovery.watch(&executor, &config, lists, &engine, &limits);

    let backends =
        BackendPool::new(PostgresBackend::new(limits.clone(), report_fields), limits.clone(), clock);
    let command_task =
        execute_commands(&executor, &backends, commands, &engine, async move |command| match command {
            Command::SendToPeers { to, bytes } => peers.send(to, &bytes).await,
            // A full channel already holds a request that has not been read.
            Command::FetchList => drop(fetch_requests.try_send(())),
            _ => {}
        });
    if handover == Handover::Successor {
        // Until this process can serve, all clients on the shared socket are its predecessor's.
        if terminate.unless_received(reached(&first_list)).await.is_none() {
            return terminated_early();
        }
    }
    let front = Rc::new(Front {
        limits: limits.clone(),
        handle: engine.clone(),
        classes,
        ready: first_list,
        lifecycle: lifecycle.clone(),
        open_requests: Default::default(),
    });
    let limiter = ConnectionLimiter::new(limits.clone(), lifecycle.clone());
    let acceptor = Acceptor::start(&executor, listener, &limiter, move |stream, slot, decision| {
        let front = front.clone();
        async move { front.serve(stream, slot, decision).await }
    });
    let daemon = RunningDaemon { limits, limiter, lifecycle, engine, handover, acceptor, command_task };
    daemon.run(terminate).await
}

fn limits(config: &PlatformConfig) -> Limits {
    let machine = Machine::platform(config.sockets, config.memory_mb);
    let machine = if config.inherited_socket.is_some() { machine.half() } else { machine };
    let machine = if config.admin.is_some() { machine.with_admin_server() } else { machine };
    let mut limits = Limits::on(machine);
    limits.share_client_connections(config.sockets.unwrap_or(DEFAULT_SOCKETS) / 3);
    limits.spread_discovery_calls(config.settings.pooler_count);
    limits.set_backend_idle_timeout(config.backend_idle_secs);
    limits.bound_shutdown_by_deadlines(&config.settings.classes);
    if let Some(timeout) = config.settings.connect_timeout {
        limits.connect_timeout = timeout.max(TimeDelta::from_micros(1)).to_duration();
    }
    limits
}

/// A process on an inherited socket is followed by another one on it.
fn handover(config: &PlatformConfig) -> Handover {
    if config.inherited_socket.is_some() {
        Handover::Successor
    } else if config.settings.pooler_count == Some(1) {
        Handover::Nobody
    } else {
        Handover::Tier
    }
}

fn log_start(config: &PlatformConfig, listener: &Async<TcpListener>, limits: &Limits) {
    let address = listener.get_ref().local_addr().unwrap_or(config.listen);
    log::info!("{}: clients at {address}, discovery at {}", config.name, config.discovery);
    log::info!(
        "at most {} clients, {} connections to backends, {} KiB of long messages",
        limits.client_connections,
        limits.backend_connections,
        limits.message_budget / 1024
    );
}

/// SIGTERM came before any connection was accepted.
fn terminated_early() -> Result<(), DaemonError> {
    log::info!("SIGTERM before the first connection");
    Ok(())
}
