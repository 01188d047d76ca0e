//! Endpoint lists from discovery to the engine, and the list that a process starts with.

use crate::config::Limits;
use crate::daemon::Executor;
use crate::daemon::signals::SignalStream;
use crate::engine::endpoints::{EndpointCatalog, EndpointUpdate};
use crate::engine::{Control, EngineHandle};
use crate::net::discovery;
use crate::net::latch::Latch;
use crate::platform_config::PlatformConfig;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The current list. There is no store on the platform: it is kept in memory. Clones share it.
#[derive(Clone)]
pub struct EndpointLists {
    catalog: Rc<RefCell<EndpointCatalog>>,
    first_list_sent: Latch,
}

impl EndpointLists {
    /// Starts from the list that the configuration states, if any.
    pub fn new(cached: Option<EndpointUpdate>) -> EndpointLists {
        let mut catalog = EndpointCatalog::default();
        if let Some(cached) = cached {
            catalog.apply(&EndpointUpdate { whole: true, ..cached });
        }
        EndpointLists { catalog: Rc::new(RefCell::new(catalog)), first_list_sent: Latch::default() }
    }

    /// Set once the process can serve: the engine has a list.
    pub fn first_list_sent(&self) -> Latch {
        self.first_list_sent.clone()
    }

    /// Hands the cached list to the engine if discovery does not answer within `cached_list_delay`; until then requests
    /// are queued. Discovery's own list takes precedence from the first moment, since it tells of drains: the cached
    /// one serves only where waiting for a newer one would serve nobody.
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
        let ready_after = limits.readiness_timeout;
        let task = async move {
            Timer::after(delay).await;
            if !first_list_sent.is_set() {
                let list = catalog.borrow().whole_list();
                engine.send_control(Control::EndpointList { list, cached: true }).await;
            }
            Timer::after(ready_after.saturating_sub(delay)).await;
            first_list_sent.set();
        };
        executor.spawn(task).detach();
    }

    /// Hands a list from discovery to the engine.
    async fn deliver<W, A>(&self, update: &EndpointUpdate, engine: &EngineHandle<W, A>) {
        self.catalog.borrow_mut().apply(update);
        let list = self.catalog.borrow().whole_list();
        engine.send_control(Control::EndpointList { list, cached: false }).await;
        self.first_list_sent.set();
    }
}

/// The address of discovery, which a reload may change, and requests for the whole list.
pub struct Discovery {
    address: Rc<Cell<SocketAddr>>,
    fetch_sender: Sender<()>,
    fetch_receiver: Receiver<()>,
}

impl Discovery {
    /// Discovery at `address`.
    pub fn new(address: SocketAddr) -> Discovery {
        let (fetch_sender, fetch_receiver) = async_channel::bounded(1);
        Discovery { address: Rc::new(Cell::new(address)), fetch_sender, fetch_receiver }
    }

    /// Takes a message to have the whole list fetched.
    pub fn fetch_requests(&self) -> Sender<()> {
        self.fetch_sender.clone()
    }

    /// Reads the configuration at `path` again at each SIGHUP. Discovery moves to the address that it names, at once
    /// and without touching open requests; other changes take effect at the next start. A file that does not parse
    /// changes nothing.
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
                        // A full channel holds a request that is still to be read; the address is read after it.
                        let _ = fetch_sender.try_send(());
                    }
                    Err(error) => log::error!("SIGHUP: {error}; the last good configuration stays"),
                }
            }
        };
        executor.spawn(task).detach();
    }

    /// Watches discovery until the process ends.
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
        let fetch_requests = self.fetch_receiver.clone();
        let zones = config.zones.clone();
        let seed = config.seed;
        let lists = lists.clone();
        let engine = engine.clone();
        let limits = limits.clone();
        let task = async move {
            let deliver = |update: EndpointUpdate| {
                let lists = &lists;
                let engine = &engine;
                async move { lists.deliver(&update, engine).await }
            };
            discovery::watch(&address, &zones, &limits, seed, &fetch_requests, deliver).await;
        };
        executor.spawn(task).detach();
    }
}
