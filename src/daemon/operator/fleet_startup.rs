//! Opens the store and starts this daemon's node of the fleet.

use super::bind;
use crate::clock::Clock;
use crate::config::Limits;
use crate::daemon::listeners::Acceptor;
use crate::daemon::operator_config::{self, OperatorConfig};
use crate::daemon::{DaemonError, Executor};
use crate::fleet::admin_api;
use crate::fleet::runtime::{FileContents, Fleet, LocalNode};
use crate::net::connection::ClientConnection;
use crate::net::connection_limiter::{AcceptDecision, ConnectionLimiter};
use crate::store::storage::{DurableStorage, OpenedStorage};
use crate::store::store_thread::{self, RunningStore};
use async_io::Async;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Connections to the store for operators' commands, in addition to one for each node.
const OPERATOR_CONNECTIONS: usize = 16;
/// Connections beyond these limits that are accepted only to be closed.
const REJECTED_CONNECTIONS: usize = 4;

/// The opened storage and the bound listener of a store whose thread is not started yet.
pub struct OpenedStore {
    storage: OpenedStorage,
    listener: Async<TcpListener>,
    /// The listener's address, with the port that the kernel chose if the configured port is 0.
    address: SocketAddr,
}

/// Reads the settings and the inventory that this daemon proposes to the fleet.
///
/// # Errors
/// [`DaemonError::Config`] if the inventory cannot be used.
pub fn read_local_files(config: &OperatorConfig, limits: &Limits) -> Result<FileContents, DaemonError> {
    let settings = config.settings.clone().map(|text| (text, config.modified_at));
    let mut files = FileContents { settings, inventory: None };
    if let Some(path) = &config.inventory_path {
        let read = operator_config::load_inventory(path, &config.zones, limits)?;
        files.inventory = Some((read.inventory, read.modified_at));
    }
    Ok(files)
}

/// Opens the store's file, or a store in memory if none is configured, and binds the store's listener.
///
/// # Errors
/// [`DaemonError::Store`] if the file cannot be opened, [`DaemonError::Listen`] if the address cannot be bound.
pub fn open_store(config: &OperatorConfig) -> Result<OpenedStore, DaemonError> {
    let opened = match &config.store.file {
        Some(path) => DurableStorage::open(path),
        None => DurableStorage::in_memory(),
    };
    let storage = opened?;
    for warning in &storage.contents.warnings {
        log::warn!("{warning}");
    }
    let listener = bind(config.store.listen)?;
    let address = listener.get_ref().local_addr().unwrap_or(config.store.listen);
    log::info!("{}: store at http://{address}", config.name);
    Ok(OpenedStore { storage, listener, address })
}

/// Starts the store thread and the fleet's tasks, and accepts connections of peers and of operators' commands.
///
/// # Errors
/// [`DaemonError::Store`] if the store does not start.
pub fn start(
    config: &OperatorConfig,
    store: OpenedStore,
    local_files: FileContents,
    limits: &Limits,
    clock: &Clock,
    executor: &Executor,
) -> Result<Rc<Fleet>, DaemonError> {
    let OpenedStore { storage, listener, address } = store;
    let RunningStore { opened, commands, events } = store_thread::start(storage, limits)?;
    let local = LocalNode {
        name: config.name.clone(),
        address: config.store.advertise.unwrap_or(address),
        configured_peers: config.store.peers.clone(),
        evacuation_policy: config.evacuation_policy.clone(),
    };
    let limits = Rc::new(store_limits(limits));
    let fleet = Fleet::new(local, limits.clone(), clock.clone(), executor.clone(), opened, commands);
    fleet.update_own_files(|files| *files = local_files);

    accept_peers(executor, listener, &fleet, &limits, clock);
    let store_events = fleet.clone();
    executor.spawn(async move { store_events.handle_store_events(&events).await }).detach();
    let event_loop = fleet.clone();
    executor.spawn(async move { event_loop.run().await }).detach();
    Ok(fleet)
}

/// Limits that allow one connection for each node and [`OPERATOR_CONNECTIONS`] more.
fn store_limits(limits: &Limits) -> Limits {
    Limits {
        client_connections: limits.fleet_nodes + OPERATOR_CONNECTIONS,
        rejected_connections: REJECTED_CONNECTIONS,
        idle_check_interval: limits.file_check_interval,
        ..limits.clone()
    }
}

fn accept_peers(
    executor: &Executor,
    listener: Async<TcpListener>,
    fleet: &Rc<Fleet>,
    limits: &Rc<Limits>,
    clock: &Clock,
) {
    let limiter = ConnectionLimiter::new(limits.clone(), Rc::default());
    let fleet = fleet.clone();
    let limits = limits.clone();
    let clock = clock.clone();
    let acceptor = Acceptor::start(executor, listener, &limiter, move |stream, slot, decision| {
        let fleet = fleet.clone();
        let limits = limits.clone();
        let clock = clock.clone();
        async move {
            if decision == AcceptDecision::Serve {
                admin_api::serve(fleet, ClientConnection::new(stream, slot, limits, clock)).await;
            }
        }
    });
    acceptor.detach();
}
