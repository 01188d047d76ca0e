//! Listening sockets at work: those of a front, and the administration server's.

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

/// A task that accepts connections.
pub struct Acceptor {
    task: Task<()>,
    stop: Sender<()>,
}

impl Acceptor {
    /// Accepts connections from `listener` within `limiter`, and serves each in a task of its own.
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

    /// Accepts until the process ends.
    pub fn detach(self) {
        self.task.detach();
    }

    /// Accepts nothing more; connections in the kernel's queue are left to another process on the same socket.
    pub async fn stop_now(self) {
        self.task.cancel().await;
    }

    /// Accepts the connections that are in the kernel's queue now, then nothing more.
    pub async fn stop_after_backlog(self) {
        let _ = self.stop.try_send(());
        self.task.await;
    }
}

/// Serves `server` at `address`. While a predecessor process still has the address, this one waits for it in the
/// background: clients are served meanwhile.
///
/// # Errors
/// [`DaemonError::ListenAdmin`] where the address cannot be bound for another reason.
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
