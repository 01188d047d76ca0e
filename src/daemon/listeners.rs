//! Accepts connections for the fronts and the admin server.

use super::{DaemonError, Executor};
use crate::config::Limits;
use crate::net::admin_server::AdminServer;
use crate::net::connection_limiter::{AcceptDecision, ConnectionLimiter, ConnectionSlot};
use crate::net::listener;
use async_channel::Sender;
use async_executor::Task;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Handle of a task that accepts connections.
pub struct Acceptor {
    task: Task<()>,
    stop: Sender<()>,
}

impl Acceptor {
    /// Spawns a task that accepts connections from `listener` within the limits of `limiter` and serves each connection
    /// in a task of its own, and a task that closes idle connections.
    pub fn start<F: Future<Output = ()> + 'static>(
        executor: &Executor,
        listener: Async<TcpListener>,
        limiter: &Rc<ConnectionLimiter>,
        serve: impl Fn(Async<TcpStream>, ConnectionSlot, AcceptDecision) -> F + 'static,
    ) -> Acceptor {
        let idle_sweeper = limiter.clone();
        executor.spawn(async move { idle_sweeper.sweep_idle().await }).detach();

        let limiter = limiter.clone();
        let connection_executor = executor.clone();
        let (stop, stopped) = async_channel::bounded(1);
        let task = executor.spawn(async move {
            let spawn = |stream, slot, decision| {
                connection_executor.spawn(serve(stream, slot, decision)).detach();
            };
            listener::accept(&listener, &limiter, &stopped, spawn).await;
        });
        Acceptor { task, stop }
    }

    /// Keeps accepting until the process exits.
    pub fn detach(self) {
        self.task.detach();
    }

    /// Stops accepting. Connections in the listen backlog are left to another process that shares the socket.
    pub async fn stop_now(self) {
        self.task.cancel().await;
    }

    /// Accepts the connections that are in the listen backlog, then stops.
    pub async fn stop_after_backlog(self) {
        let _ = self.stop.try_send(());
        self.task.await;
    }
}

/// Serves `server` at `address`. If the address is still in use, typically by the process that this one replaces, the
/// bind is retried in the background while clients are already served.
///
/// # Errors
/// [`DaemonError::ListenAdmin`] if the address cannot be bound for any other reason.
pub fn serve_admin<W: Send + 'static, A: Send + 'static>(
    executor: &Executor,
    address: SocketAddr,
    daemon_name: &str,
    limits: &Limits,
    server: AdminServer<W, A>,
) -> Result<(), DaemonError> {
    let start = {
        let executor = executor.clone();
        let daemon_name = daemon_name.to_string();
        let server = Rc::new(server);
        move |listener| accept_admin_calls(&executor, listener, address, &daemon_name, &server)
    };
    match listener::bind(address) {
        Ok(listener) => start(listener),
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
            let limits = limits.clone();
            let bind_later = async move {
                match listener::bind_when_free(address, &limits).await {
                    Ok(listener) => start(listener),
                    Err(error) => {
                        log::error!("admin: {address}: {error}; there is no administration server");
                    }
                }
            };
            executor.spawn(bind_later).detach();
        }
        Err(source) => return Err(DaemonError::ListenAdmin { address, source }),
    }
    Ok(())
}

fn accept_admin_calls<W: Send + 'static, A: Send + 'static>(
    executor: &Executor,
    listener: Async<TcpListener>,
    requested_address: SocketAddr,
    daemon_name: &str,
    server: &Rc<AdminServer<W, A>>,
) {
    let address = listener.get_ref().local_addr().unwrap_or(requested_address);
    log::info!("{daemon_name}: operators at http://{address}");
    let limiter = ConnectionLimiter::new(server.limits().clone(), Rc::default());
    let server = server.clone();
    let acceptor = Acceptor::start(executor, listener, &limiter, move |stream, slot, decision| {
        let server = server.clone();
        async move { server.serve(stream, slot, decision).await }
    });
    acceptor.detach();
}
