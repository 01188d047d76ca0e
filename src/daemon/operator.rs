//! The daemon of an operator's file: the SPARQL front, with a store and a fleet that keep configuration and state.
//!
//! The start has a fixed order, see [`serve`]. [`fleet_startup`] opens the store and joins the fleet, [`client_front`]
//! accepts clients from the first moment on, [`agreed_settings`] waits for the settings that the fleet has agreed on,
//! [`engine_feeds`] carries what the fleet knows to the engine and back, and [`inventory_reload`] follows the
//! inventory's file.

mod agreed_settings;
mod client_front;
mod engine_feeds;
mod fleet_startup;
mod inventory_reload;

use super::commands::execute_commands;
use super::listeners::serve_admin;
use super::operator_config::OperatorConfig;
use super::shutdown::{Handover, RunningDaemon};
use super::signals::{Signal, SignalStream};
use super::{DaemonError, Executor};
use crate::clock::Clock;
use crate::config::{Limits, Machine};
use crate::engine::{self, Command, EngineHandle};
use crate::fleet::admin_api;
use crate::fleet::runtime::Fleet;
use crate::net::admin_server::AdminServer;
use crate::net::backend_pool::BackendPool;
use crate::net::lifecycle::Lifecycle;
use crate::net::listener;
use crate::net::sparql::front::Front;
use crate::net::sparql::host::Sparql;
use agreed_settings::AgreedSettings;
use async_channel::Receiver;
use client_front::ClientFront;
use engine_feeds::EngineFeeds;
use std::net::SocketAddr;
use std::rc::Rc;

/// Serves until SIGTERM.
///
/// The order of the start matters: the store's listener and the fleet come first, since a drain that other daemons
/// know of must be known here before the first request is sent; clients are accepted next and told to retry; the
/// engine starts once settings are agreed and this daemon has caught up with the fleet's log.
///
/// # Errors
/// [`DaemonError`] where a file, an address, the store or the settings cannot be used, or the engine ends.
pub async fn serve(config: OperatorConfig, executor: Executor) -> Result<(), DaemonError> {
    // Before anything else: without a handler this signal would end the process, which may wait for a peer below.
    let hangup = SignalStream::subscribe(Signal::Hangup)?;
    let clock = Clock::start();
    let mut limits = daemon_limits(&config);
    let local_files = fleet_startup::read_local_files(&config, &limits)?;
    let store = fleet_startup::open_store(&config)?;
    let client_listener = bind(config.listen)?;
    let fleet = fleet_startup::start(&config, store, local_files, &limits, &clock, &executor)?;
    let config = Rc::new(config);
    let lifecycle = Rc::new(Lifecycle::default());
    let client_front = ClientFront::start(&config, client_listener, &limits, &lifecycle, &clock, &executor);

    let agreed = agreed_settings::wait(&fleet, &limits).await;
    agreed_settings::wait_until_current(&fleet, &limits).await;
    let agreed = AgreedSettings::parse(agreed, &config)?;
    fleet.returns_by(agreed.cold_start_policy());
    agreed.adjust(&mut limits);
    let limits = Rc::new(limits);
    let AgreedSettings { text: settings_text, settings, classes, .. } = agreed;

    let report_fields = settings.report_fields.clone();
    let seed = clock.now().as_micros() as u64;
    let (engine, commands) =
        engine::start(settings, &classes, seed, &limits, clock.clone()).map_err(DaemonError::EngineStart)?;
    inventory_reload::spawn(&executor, hangup, &config, &fleet, &limits);
    let feeds = EngineFeeds::start(&executor, &fleet, &engine, &limits, settings_text).await;

    let protocol = Sparql::new(limits.clone(), config.host_path.clone(), &config.name, report_fields);
    let backends = BackendPool::new(protocol, limits.clone(), clock);
    let fleet_for_hints = fleet.clone();
    let observations_pending = feeds.observations_pending;
    let command_task =
        execute_commands(&executor, &backends, commands, &engine, async move |command| match command {
            Command::SendToPeers { bytes, .. } => fleet_for_hints.hint(&bytes),
            // A full channel already holds a notification that has not been read.
            Command::ObservationsPending => drop(observations_pending.try_send(())),
            _ => {}
        });
    let all_groups_served = feeds.all_groups_served;
    if let Some(address) = config.admin {
        let server = admin_server(&fleet, &limits, &engine, &lifecycle, &all_groups_served);
        serve_admin(&executor, address, &config.name, &limits, server)?;
    }
    client_front.begin_serving(Front {
        limits: limits.clone(),
        handle: engine.clone(),
        classes,
        service: config.service.clone(),
        ready: all_groups_served,
        duty: lifecycle.clone(),
        breaks: fleet.breaks.clone(),
    });
    let terminate = SignalStream::subscribe(Signal::Terminate)?;
    let ClientFront { limiter, acceptor, .. } = client_front;
    let daemon = RunningDaemon {
        limits,
        limiter,
        lifecycle,
        engine,
        handover: Handover::Tier,
        acceptor,
        command_task,
    };
    daemon.run(terminate).await
}

fn daemon_limits(config: &OperatorConfig) -> Limits {
    let machine = Machine::operator(config.sockets);
    let machine = if config.admin.is_some() { machine.with_admin_server() } else { machine };
    Limits::for_operator_daemon(machine)
}

fn bind(address: SocketAddr) -> Result<async_io::Async<std::net::TcpListener>, DaemonError> {
    listener::bind(address).map_err(|source| DaemonError::Listen { address, source })
}

fn admin_server<W: Send + 'static, A: Send + 'static>(
    fleet: &Rc<Fleet>,
    limits: &Limits,
    engine: &EngineHandle<W, A>,
    lifecycle: &Rc<Lifecycle>,
    ready: &Receiver<()>,
) -> AdminServer<W, A> {
    let fleet = fleet.clone();
    let fleet_metrics = move || admin_api::figures(&fleet);
    AdminServer::new(limits, engine.clone(), lifecycle.clone(), ready.clone(), fleet_metrics)
}
