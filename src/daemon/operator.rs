//! The daemon configured by an operator's file: the SPARQL front, with a store and a fleet that replicate
//! configuration and state.
//!
//! [`serve`] documents the startup order. `fleet_startup` opens the store and joins the fleet, `client_front` accepts
//! clients before requests can be served, `agreed_settings` waits for the settings that the fleet has agreed on,
//! `engine_feeds` exchanges state between the fleet and the engine, and `inventory_reload` watches the inventory file.

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
use crate::config::{Limits, ProcessResources};
use crate::engine::{self, Command, EngineHandle};
use crate::fleet::admin_api;
use crate::fleet::runtime::Fleet;
use crate::net::admin_server::AdminServer;
use crate::net::backend_pool::{BackendPool, BackendProtocol};
use crate::net::latch::Latch;
use crate::net::lifecycle::Lifecycle;
use crate::net::listener;
use crate::net::sparql::endpoint::SparqlBackend;
use crate::net::sparql::front::Front;
use agreed_settings::AgreedSettings;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Async;
use client_front::ClientFront;
use engine_feeds::EngineFeeds;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Handle of an engine for SPARQL operations.
type Engine =
    EngineHandle<<SparqlBackend as BackendProtocol>::Request, <SparqlBackend as BackendProtocol>::Answer>;
type EngineCommand = Command<<SparqlBackend as BackendProtocol>::Request>;

/// Serves until SIGTERM.
///
/// The startup order matters. The store's listener and the fleet start first, because this daemon must receive the
/// drains that other daemons have stored before it sends the first request. Clients are accepted next and rejected with
/// a retry delay. The engine starts once settings are agreed and this daemon has caught up with the fleet's log.
///
/// # Errors
/// [`DaemonError`] if a file, an address, the store or the settings cannot be used, or if the engine thread ends.
pub async fn serve(config: OperatorConfig, executor: Executor) -> Result<(), DaemonError> {
    // First of all, since the startup below may wait for peers for a long time and an unhandled SIGHUP would terminate
    // the process.
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

    let settings_text = agreed_settings::wait_until_agreed(&fleet, &limits).await;
    agreed_settings::wait_until_current(&fleet, &limits).await;
    let agreed = AgreedSettings::parse(settings_text, &config)?;
    fleet.start_recovery(agreed.cold_start_policy());
    agreed.adjust(&mut limits);
    let daemon = OperatorDaemon { config, fleet, limits: Rc::new(limits), lifecycle, clock, executor };
    daemon.run(agreed, client_front, hangup).await
}

/// A daemon that has joined its fleet and has agreed settings.
struct OperatorDaemon {
    config: Rc<OperatorConfig>,
    fleet: Rc<Fleet>,
    limits: Rc<Limits>,
    lifecycle: Rc<Lifecycle>,
    clock: Clock,
    executor: Executor,
}

impl OperatorDaemon {
    async fn run(
        self,
        agreed: AgreedSettings,
        client_front: ClientFront,
        hangup: SignalStream,
    ) -> Result<(), DaemonError> {
        let AgreedSettings { text: settings_text, settings, classes, .. } = agreed;
        let report_fields = settings.report_fields.clone();
        let seed = self.clock.now().as_micros() as u64;
        let (engine, commands) = engine::start(settings, &classes, seed, &self.limits, self.clock.clone())
            .map_err(DaemonError::EngineStart)?;
        inventory_reload::spawn(&self.executor, hangup, &self.config, &self.fleet, &self.limits);
        let feeds =
            EngineFeeds::start(&self.executor, &self.fleet, &engine, &self.limits, settings_text).await;
        let command_task =
            self.execute_commands(&engine, commands, report_fields, feeds.observations_pending);
        self.start_admin_server(&engine, &feeds.all_groups_served)?;
        client_front.begin_serving(Front {
            limits: self.limits.clone(),
            engine: engine.clone(),
            classes,
            config: self.config.service.clone(),
            all_groups_served: feeds.all_groups_served,
            lifecycle: self.lifecycle.clone(),
            log_rollbacks: self.fleet.log_rollbacks.clone(),
        });
        let terminate = SignalStream::subscribe(Signal::Terminate)?;
        let ClientFront { limiter, acceptor, .. } = client_front;
        let handover = Handover::Peers;
        let OperatorDaemon { limits, lifecycle, .. } = self;
        let daemon = RunningDaemon { limits, limiter, lifecycle, engine, handover, acceptor, command_task };
        daemon.run(terminate).await
    }

    fn execute_commands(
        &self,
        engine: &Engine,
        commands: Receiver<EngineCommand>,
        report_fields: Vec<String>,
        observations_pending: Sender<()>,
    ) -> Task<()> {
        let endpoint_path = self.config.endpoint_path.clone();
        let protocol =
            SparqlBackend::new(self.limits.clone(), endpoint_path, &self.config.name, report_fields);
        let backends = BackendPool::new(protocol, self.limits.clone(), self.clock.clone());
        let fleet = self.fleet.clone();
        let execute_other = async move |command| match command {
            Command::SendToPeers { bytes, .. } => fleet.send_primary_hint(&bytes),
            // If the channel is full, an unread notification is already queued.
            Command::ObservationsPending => drop(observations_pending.try_send(())),
            _ => {}
        };
        execute_commands(&self.executor, &backends, commands, engine, execute_other)
    }

    fn start_admin_server(&self, engine: &Engine, ready: &Latch) -> Result<(), DaemonError> {
        let Some(address) = self.config.admin else { return Ok(()) };
        let fleet = self.fleet.clone();
        let fleet_metrics = move || admin_api::render_metrics(&fleet);
        let server = AdminServer::new(
            &self.limits,
            engine.clone(),
            self.lifecycle.clone(),
            ready.clone(),
            fleet_metrics,
        );
        serve_admin(&self.executor, address, &self.config.name, &self.limits, server)
    }
}

fn daemon_limits(config: &OperatorConfig) -> Limits {
    let machine = ProcessResources::operator(config.sockets);
    let machine = if config.admin.is_some() { machine.with_admin_server() } else { machine };
    Limits::for_operator_daemon(machine)
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, DaemonError> {
    listener::bind(address).map_err(|source| DaemonError::Listen { address, source })
}
