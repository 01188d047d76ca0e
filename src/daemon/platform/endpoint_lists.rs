//! Passes endpoint lists from discovery to the engine, and starts with a cached list if discovery does not answer.

use crate::config::Limits;
use crate::daemon::Executor;
use crate::daemon::signals::SignalStream;
use crate::engine::endpoints::{EndpointCatalog, EndpointUpdate, ListCoverage};
use crate::engine::{Control, EngineHandle};
use crate::net::discovery::{self, DiscoveryClient, DiscoveryNews, DiscoveryStatus};
use crate::net::latch::Latch;
use crate::platform_config::PlatformConfig;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The current endpoint list, kept in memory since the platform daemon has no store. Clones share it.
#[derive(Clone)]
pub struct EndpointLists {
    catalog: Rc<RefCell<EndpointCatalog>>,
    first_list_sent: Latch,
}

impl EndpointLists {
    /// Starts with the cached list of the configuration, if there is one.
    pub fn new(cached: Option<EndpointUpdate>) -> EndpointLists {
        let mut catalog = EndpointCatalog::default();
        if let Some(cached) = cached {
            catalog.apply(&EndpointUpdate { coverage: ListCoverage::Complete, ..cached });
        }
        EndpointLists { catalog: Rc::new(RefCell::new(catalog)), first_list_sent: Latch::default() }
    }

    /// Set once the engine has a list, so that the process can serve.
    pub fn first_list_sent(&self) -> Latch {
        self.first_list_sent.clone()
    }

    /// Sends the cached list to the engine if discovery does not answer within `Limits::cached_list_delay`; until then
    /// requests are queued. The list of discovery always takes precedence, since it contains current drains: the cached
    /// list is used only while no request could be served without it.
    pub fn serve_cached_list_on_discovery_timeout<W, A>(
        &self,
        executor: &Executor,
        engine: &EngineHandle<W, A>,
        limits: &Limits,
    ) where
        W: Send + 'static,
        A: Send + 'static,
    {
        let catalog = self.catalog.clone();
        let first_list_sent = self.first_list_sent.clone();
        let engine = engine.clone();
        let delay = limits.cached_list_delay;
        let readiness_timeout = limits.readiness_timeout;
        let task = async move {
            Timer::after(delay).await;
            if !first_list_sent.is_set() {
                let list = catalog.borrow().whole_list();
                engine.send_control(Control::EndpointList { list, cached: true }).await;
            }
            Timer::after(readiness_timeout.saturating_sub(delay)).await;
            first_list_sent.set();
        };
        executor.spawn(task).detach();
    }

    /// Applies an update from discovery and sends the resulting list to the engine.
    async fn deliver<W, A>(&self, update: &EndpointUpdate, engine: &EngineHandle<W, A>) {
        let changes = self.catalog.borrow_mut().apply(update);
        if !changes.is_empty() {
            log::info!("discovery: list {}: {changes}", update.version);
        }
        let list = self.catalog.borrow().whole_list();
        engine.send_control(Control::EndpointList { list, cached: false }).await;
        self.first_list_sent.set();
    }
}

/// The address of discovery, which a reload may change, and the channel for requests to fetch the whole list.
pub struct Discovery {
    address: Rc<Cell<SocketAddr>>,
    status: Rc<DiscoveryStatus>,
    fetch_sender: Sender<()>,
    fetch_receiver: Receiver<()>,
}

impl Discovery {
    /// Creates a discovery that initially uses `address`; nothing is fetched before [`Discovery::watch`].
    pub fn new(address: SocketAddr) -> Discovery {
        let (fetch_sender, fetch_receiver) = async_channel::bounded(1);
        let address = Rc::new(Cell::new(address));
        Discovery { address, status: Rc::default(), fetch_sender, fetch_receiver }
    }

    /// The condition of discovery.
    pub fn status(&self) -> Rc<DiscoveryStatus> {
        self.status.clone()
    }

    /// A message on this channel makes [`Discovery::watch`] fetch the whole list.
    pub fn fetch_requests(&self) -> Sender<()> {
        self.fetch_sender.clone()
    }

    /// Reloads the configuration at `path` on each SIGHUP. A new discovery address takes effect at once and does not
    /// affect open requests; other changes take effect at the next start. A file that does not parse is ignored.
    pub fn follow_configuration(&self, executor: &Executor, path: String, mut hangup: SignalStream) {
        let address = self.address.clone();
        let fetch_sender = self.fetch_sender.clone();
        let task = async move {
            loop {
                hangup.received().await;
                match super::load(&path) {
                    Ok(config) => {
                        log::info!("SIGHUP: discovery at {} (before: {})", config.discovery, address.get());
                        address.set(config.discovery);
                        // If the channel is full, a fetch is already requested; it will use the new address.
                        let _ = fetch_sender.try_send(());
                    }
                    Err(error) => log::error!("SIGHUP: {error}; the last good configuration stays"),
                }
            }
        };
        executor.spawn(task).detach();
    }

    /// Spawns a task that watches discovery until the process exits, and delivers each update to `lists` and `engine`.
    pub fn watch<W, A>(
        &self,
        executor: &Executor,
        config: &PlatformConfig,
        lists: &EndpointLists,
        engine: &EngineHandle<W, A>,
        limits: &Rc<Limits>,
    ) where
        W: Send + 'static,
        A: Send + 'static,
    {
        let address = self.address.clone();
        let status = self.status.clone();
        let fetch_requests = self.fetch_receiver.clone();
        let zones = config.zones.clone();
        let seed = config.seed;
        let saved_index = config.cached_list.as_ref().map(|list| list.version);
        let lists = lists.clone();
        let engine = engine.clone();
        let limits = limits.clone();
        let task = async move {
            let deliver = |news: DiscoveryNews| {
                let lists = &lists;
                let engine = &engine;
                async move {
                    match news {
                        DiscoveryNews::List(update) => lists.deliver(&update, engine).await,
                        DiscoveryNews::Unconfirmed => {
                            engine.send_control(Control::EndpointListUnconfirmed).await;
                        }
                    }
                }
            };
            let client = DiscoveryClient {
                address: &address,
                zones: &zones,
                limits: &limits,
                seed,
                saved_index,
                refetch: &fetch_requests,
                status: &status,
            };
            discovery::watch(client, deliver).await;
        };
        executor.spawn(task).detach();
    }
}
