//! The daemon configured by the platform: the PostgreSQL front, with the configuration file named by `GW_CONFIG`.
//!
//! It has no store and no fleet: the endpoint list comes from discovery (`endpoint_lists`) and is kept in memory, and
//! peers exchange primary hints in UDP datagrams (`gossip`). A new process may inherit the listening socket of the
//! process that it replaces (`client_socket`).

mod client_socket;
mod endpoint_lists;
mod gossip;

use super::commands::execute_commands;
use super::listeners::{Acceptor, serve_admin};
use super::shutdown::{Handover, RunningDaemon};
use super::signals::{Signal, SignalStream};
use super::{ConfigError, DaemonError, Executor};
use crate::address::parse_address;
use crate::clock::Clock;
use crate::config::{DEFAULT_SOCKETS, Limits, ProcessResources};
use crate::engine::classes::Classes;
use crate::engine::{self, Command, EngineHandle};
use crate::net::admin_server::AdminServer;
use crate::net::backend_pool::{BackendPool, BackendProtocol};
use crate::net::connection_limiter::ConnectionLimiter;
use crate::net::gossip_socket::GossipSocket;
use crate::net::latch::Latch;
use crate::net::lifecycle::Lifecycle;
use crate::net::postgres::endpoint::PostgresBackend;
use crate::net::postgres::front::Front;
use crate::platform_config::{self, PlatformConfig};
use crate::time::TimeDelta;
use async_channel::Receiver;
use async_executor::Task;
use async_io::Async;
use endpoint_lists::{Discovery, EndpointLists};
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

/// Environment variable with the admin server's address; used if the configuration file does not specify one.
const ADMIN_VARIABLE: &str = "GW_ADMIN_ADDR";
/// Environment variable with the descriptor number of an inherited listening socket for clients.
const INHERITED_SOCKET_VARIABLE: &str = "GW_PASSED_SOCKET";

/// Handle of an engine for PostgreSQL statements.
type Engine =
    EngineHandle<<PostgresBackend as BackendProtocol>::Request, <PostgresBackend as BackendProtocol>::Answer>;
type EngineCommand = Command<<PostgresBackend as BackendProtocol>::Request>;

/// Reads the configuration from the file at `path` and the environment.
///
/// # Errors
/// [`ConfigError`] with the path of the file, and the line if its content is invalid.
pub fn load(path: &str) -> Result<PlatformConfig, ConfigError> {
    let file = PathBuf::from(path);
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: file.clone(), source })?;
    let mut config = platform_config::parse(&text)
        .map_err(|error| ConfigError::Platform { path: file, source: Box::new(error) })?;
    let admin_variable = std::env::var(ADMIN_VARIABLE).ok().filter(|address| !address.is_empty());
    if config.admin.is_none()
        && let Some(address) = admin_variable
    {
        config.admin = Some(parse_address(&address, ADMIN_VARIABLE)?);
    }
    config.inherited_socket = std::env::var(INHERITED_SOCKET_VARIABLE).ok();
    Ok(config)
}

/// Serves until SIGTERM. `path` is the file that `config` was read from; it is reloaded on SIGHUP.
///
/// # Errors
/// [`DaemonError`] if an address or the inherited socket cannot be used, or if the engine thread ends.
pub async fn serve(path: String, config: PlatformConfig, executor: Executor) -> Result<(), DaemonError> {
    // First of all, since an unhandled signal would terminate the process with accepted requests unanswered.
    let hangup = SignalStream::subscribe(Signal::Hangup)?;
    let terminate = SignalStream::subscribe(Signal::Terminate)?;
    let limits = Rc::new(daemon_limits(&config));
    let clock = Clock::start();
    let mut settings = config.settings.clone();
    let classes = Classes::new(config.classes.clone(), &mut settings);
    let report_fields = settings.report_fields.clone();
    let (engine, commands) = engine::start(settings, &classes, config.seed, &limits, clock.clone())
        .map_err(DaemonError::EngineStart)?;
    let protocol = PostgresBackend::new(limits.clone(), report_fields);
    let backends = BackendPool::new(protocol, limits.clone(), clock);
    let daemon = PlatformDaemon {
        lists: EndpointLists::new(config.cached_list.clone()),
        discovery: Discovery::new(config.discovery),
        lifecycle: Rc::default(),
        path,
        config,
        limits,
        classes,
        engine,
        backends,
        executor,
    };
    daemon.run(commands, hangup, terminate).await
}

/// A daemon whose engine is running and whose sockets are not open yet.
struct PlatformDaemon {
    /// Path of the file that `config` was read from.
    path: String,
    config: PlatformConfig,
    limits: Rc<Limits>,
    classes: Classes,
    engine: Engine,
    backends: Rc<BackendPool<PostgresBackend>>,
    lists: EndpointLists,
    discovery: Discovery,
    lifecycle: Rc<Lifecycle>,
    executor: Executor,
}

impl PlatformDaemon {
    async fn run(
        self,
        commands: Receiver<EngineCommand>,
        hangup: SignalStream,
        mut terminate: SignalStream,
    ) -> Result<(), DaemonError> {
        let opened = client_socket::open(&self.config, &self.limits, &mut terminate).await?;
        let Some(listener) = opened else { return terminated_early() };
        let peers = gossip::start(&self.config, &self.engine, &self.limits, &self.executor)?;
        log_start(&self.config, &listener, &self.limits);
        self.start_lists(hangup);
        let first_list_sent = self.lists.first_list_sent();
        self.start_admin_server(&first_list_sent)?;
        self.discovery.watch(&self.executor, &self.config, &self.lists, &self.engine, &self.limits);
        let command_task = self.execute_commands(commands, peers);

        let handover = handover(&self.config);
        if handover == Handover::Successor {
            // Until this process can serve, its predecessor accepts all connections of the shared socket.
            if terminate.unless_received(first_list_sent.wait()).await.is_none() {
                return terminated_early();
            }
        }
        let limiter = ConnectionLimiter::new(self.limits.clone(), self.lifecycle.clone());
        let front = Front {
            limits: self.limits.clone(),
            handle: self.engine.clone(),
            classes: self.classes,
            ready: first_list_sent,
            lifecycle: self.lifecycle.clone(),
            open_requests: Default::default(),
            cancels_attempts: self.config.settings.may_cancel == Some(true),
        };
        let acceptor = accept_clients(&self.executor, listener, &limiter, front);
        let PlatformDaemon { limits, lifecycle, engine, .. } = self;
        let daemon = RunningDaemon { limits, limiter, lifecycle, engine, handover, acceptor, command_task };
        daemon.run(terminate).await
    }

    /// Starts reloading the configuration on SIGHUP, and falls back to the cached endpoint list if discovery does not
    /// answer.
    fn start_lists(&self, hangup: SignalStream) {
        self.discovery.follow_configuration(&self.executor, self.path.clone(), hangup);
        if self.config.cached_list.is_some() {
            self.lists.serve_cached_list_on_discovery_timeout(&self.executor, &self.engine, &self.limits);
        }
    }

    fn start_admin_server(&self, first_list_sent: &Latch) -> Result<(), DaemonError> {
        let Some(address) = self.config.admin else { return Ok(()) };
        let discovery = self.discovery.status();
        let server = AdminServer::new(
            &self.limits,
            self.engine.clone(),
            self.lifecycle.clone(),
            first_list_sent.clone(),
            move || discovery.statsd_text(Instant::now()),
        );
        serve_admin(&self.executor, address, &self.config.name, &self.limits, server)
    }

    fn execute_commands(&self, commands: Receiver<EngineCommand>, peers: Rc<GossipSocket>) -> Task<()> {
        let fetch_requests = self.discovery.fetch_requests();
        let execute_other = async move |command| match command {
            Command::SendToPeers { to, bytes } => peers.send(to, &bytes).await,
            // If the channel is full, an unread request is already queued.
            Command::FetchList => drop(fetch_requests.try_send(())),
            _ => {}
        };
        execute_commands(&self.executor, &self.backends, commands, &self.engine, execute_other)
    }
}

fn accept_clients(
    executor: &Executor,
    listener: Async<TcpListener>,
    limiter: &Rc<ConnectionLimiter>,
    front: Front,
) -> Acceptor {
    let front = Rc::new(front);
    Acceptor::start(executor, listener, limiter, move |stream, slot, decision| {
        let front = front.clone();
        async move { front.serve(stream, slot, decision).await }
    })
}

fn daemon_limits(config: &PlatformConfig) -> Limits {
    let machine = ProcessResources::platform(config.sockets, config.memory_mb);
    let machine = if config.inherited_socket.is_some() { machine.half() } else { machine };
    let machine = if config.admin.is_some() { machine.with_admin_server() } else { machine };
    let mut limits = Limits::for_resources(machine);
    limits.share_client_connections(config.sockets.unwrap_or(DEFAULT_SOCKETS) / 3);
    limits.spread_discovery_calls(config.settings.pooler_count);
    if config.settings.must_subscribe == Some(true) {
        // Otherwise discovery is an agent on the pooler's own machine.
        limits.share_discovery(config.settings.pooler_count);
    }
    limits.set_backend_idle_timeout(config.backend_idle_secs);
    limits.bound_shutdown_by_deadlines(config.settings.classes.iter().map(|class| class.deadline));
    if let Some(timeout) = config.settings.connect_timeout {
        limits.connect_timeout = timeout.max(TimeDelta::from_micros(1)).to_duration();
    }
    limits
}

/// A process with an inherited socket is replaced by another process that inherits the same socket.
fn handover(config: &PlatformConfig) -> Handover {
    if config.inherited_socket.is_some() {
        Handover::Successor
    } else if config.settings.pooler_count == Some(1) {
        Handover::NoPeers
    } else {
        Handover::Peers
    }
}

fn log_start(config: &PlatformConfig, listener: &Async<TcpListener>, limits: &Limits) {
    let address = listener.get_ref().local_addr().unwrap_or(config.listen);
    log::info!("{}: clients at {address}, discovery at {}", config.name, config.discovery);
    log::info!(
        "at most {} clients, {} connections to backends, {} KiB of long messages",
        limits.client_connections,
        limits.backend_connections,
        limits.message_budget_bytes / 1024
    );
}

/// Result of a daemon that receives SIGTERM before it accepts connections.
fn terminated_early() -> Result<(), DaemonError> {
    log::info!("SIGTERM before accepting connections");
    Ok(())
}
