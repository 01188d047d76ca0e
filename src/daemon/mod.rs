//! How the parts are put together: for the platform, and for an operator's file.

pub mod operator;
pub mod operator_config;
pub mod platform;

use crate::config::Limits;
use crate::engine::{Command, Control, EngineHandle};
use crate::net::admin_server::AdminServer;
use crate::net::backend_pool::{BackendPool, BackendProtocol};
use crate::net::connection_limiter::{AcceptDecision, ConnectionLimiter, ConnectionSlot};
use crate::net::lifecycle::Lifecycle;
use crate::net::{listener, until};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, future};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Instant;

/// Where tasks run: one thread serves all sockets.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Runs a daemon on this thread until it ends.
pub fn run<F: Future<Output = Result<(), String>>>(daemon: impl FnOnce(Executor) -> F) -> Result<(), String> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(daemon(executor.clone())))
}

/// A signal as a stream of bytes.
pub fn signal(number: i32) -> Result<Async<UnixStream>, String> {
    let open = || -> io::Result<Async<UnixStream>> {
        let (read, write) = UnixStream::pair()?;
        signal_hook::low_level::pipe::register(number, write)?;
        Async::new(read)
    };
    open().map_err(|e| format!("signals: {e}"))
}

/// Comes back at the next signal.
pub async fn signalled(signals: &mut Async<UnixStream>) {
    while matches!(signals.read(&mut [0]).await, Err(e) if e.kind() == io::ErrorKind::Interrupted) {}
}

/// Does `work`, unless a signal comes first.
pub async fn unless_signalled<T>(
    signals: &mut Async<UnixStream>,
    work: impl Future<Output = T>,
) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        signalled(signals).await;
        None
    })
    .await
}

/// Carries out the core's commands for ever; what is not for hosts goes to `other`.
pub fn carry<W: BackendProtocol>(
    executor: &Executor,
    hosts: &Rc<BackendPool<W>>,
    commands: Receiver<Command<W::Request>>,
    handle: &EngineHandle<W::Request, W::Answer>,
    other: impl AsyncFn(Command<W::Request>) + 'static,
) -> Task<()> {
    let (hosts, handle, executor2) = (hosts.clone(), handle.clone(), executor.clone());
    let tidy = hosts.clone();
    executor.spawn(async move { tidy.sweep_idle().await }).detach();
    executor.spawn(async move {
        while let Ok(command) = commands.recv().await {
            if let Some(command) = hosts.execute(command, &executor2, &handle).await {
                other(command).await;
            }
        }
    })
}

/// A front's listener at work.
pub struct Accepting {
    task: Task<()>,
    stop: Sender<()>,
}

impl Accepting {
    /// Goes on without end.
    fn detach(self) {
        self.task.detach();
    }

    /// Takes nothing more; what the kernel holds by then is another process's.
    async fn abandon(self) {
        self.task.cancel().await;
    }

    /// Takes what the kernel holds by now, then nothing more.
    async fn finish(self) {
        let _ = self.stop.try_send(());
        self.task.await;
    }
}

/// Takes a front's connections, each in a task of its own.
pub fn accept<F: Future<Output = ()> + 'static>(
    executor: &Executor,
    listener: Async<TcpListener>,
    seats: &Rc<ConnectionLimiter>,
    serve: impl Fn(Async<TcpStream>, ConnectionSlot, AcceptDecision) -> F + 'static,
) -> Accepting {
    let (seats, executor2) = (seats.clone(), executor.clone());
    let tidy = seats.clone();
    executor.spawn(async move { tidy.sweep_idle().await }).detach();
    let (stop, stopped) = async_channel::bounded(1);
    let task = executor.spawn(async move {
        let spawn = |stream, place, welcome| executor2.spawn(serve(stream, place, welcome)).detach();
        listener::accept(&listener, &seats, &stopped, spawn).await;
    });
    Accepting { task, stop }
}

/// Opens the operators' door; `more` tells figures beside the core's.
#[allow(clippy::too_many_arguments)]
pub fn open_door<W: Send + 'static, A: Send + 'static>(
    executor: &Executor,
    at: SocketAddr,
    name: &str,
    limits: &Limits,
    handle: &EngineHandle<W, A>,
    duty: &Rc<Lifecycle>,
    ready: &Receiver<()>,
    more: impl Fn() -> String + 'static,
) -> Result<(), String> {
    let name = name.to_string();
    let door = Rc::new(AdminServer::new(limits, handle.clone(), duty.clone(), ready.clone(), more));
    let open = {
        let executor = executor.clone();
        move |listener: Async<TcpListener>| {
            log::info!("{name}: operators at http://{}", listener.get_ref().local_addr().unwrap_or(at));
            let seats = ConnectionLimiter::new(door.limits().clone(), Rc::default());
            let serving = accept(&executor, listener, &seats, move |stream, place, welcome| {
                let door = door.clone();
                async move { door.serve(stream, place, welcome).await }
            });
            serving.detach();
        }
    };
    match listener::bind(at) {
        Ok(listener) => open(listener),
        // Clients are served meanwhile.
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
            let limits = limits.clone();
            let task = async move {
                match listener::bind_when_free(at, &limits).await {
                    Ok(listener) => open(listener),
                    Err(e) => log::error!("the operators' address {at}: {e}; there is no door"),
                }
            };
            executor.spawn(task).detach();
        }
        Err(e) => return Err(format!("the operators' address {at}: {e}")),
    }
    Ok(())
}

/// To whom a pooler that ends leaves its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// The others of its tier.
    Others,
    /// Nobody: it serves those that it has as long as it can.
    Nobody,
    /// A process that listens on the same socket.
    Successor,
}

/// Serves until `ends` tells of SIGTERM, then until all that was taken is answered; an error if the core ends before.
#[allow(clippy::too_many_arguments)]
pub async fn until_drained<W, A>(
    mut ends: Async<UnixStream>,
    limits: &Limits,
    seats: &ConnectionLimiter,
    duty: &Lifecycle,
    handle: &EngineHandle<W, A>,
    leave: Leave,
    accepting: Accepting,
    carrying: Task<()>,
) -> Result<(), String> {
    let over = async {
        carrying.await;
        Err("the module's thread has ended".to_string())
    };
    let drained = async {
        signalled(&mut ends).await;
        let began = Instant::now();
        duty.terminate();
        let (lame, end) = limits.ending(handle.client_timeout(), leave == Leave::Nobody);
        let end = began + end;
        if leave == Leave::Successor {
            // Whoever comes now is the successor's, which listens on the same socket.
            log::info!("SIGTERM: draining");
            accepting.abandon().await;
        } else {
            // The front layer deals out connections a little longer, and clients use those that they have for as
            // long as these stay open; all that comes is taken and answered.
            log::info!("SIGTERM: draining, serving for {lame:?} more");
            Timer::at(began + lame).await;
            accepting.finish().await;
        }
        seats.close_after_request();
        if until(end - limits.final_answer_margin, seats.wait_until_empty()).await.is_none() {
            handle.control(Control::FinishAll).await;
            seats.abort_incomplete();
            until(end, seats.wait_until_empty()).await;
        }
        log::info!("drained, {} connections left", seats.open_connections());
        Ok(())
    };
    future::or(over, drained).await
}
