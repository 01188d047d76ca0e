//! The daemon: reads its configuration, starts the core and the fronts, and ends on SIGTERM.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use brookpass::clock::Clock;
use brookpass::config::Limits;
use brookpass::core::{Command, Input};
use brookpass::json::Platform;
use brookpass::net::hosts::Hosts;
use brookpass::net::peers::Peers;
use brookpass::net::pg::front::Front;
use brookpass::net::pg::host::Pg;
use brookpass::net::{discovery, listen};
use brookpass::{core, json, logger};
use futures_lite::{AsyncReadExt, future};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn main() -> ExitCode {
    logger::start();
    let run = || -> Result<(), String> {
        let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration".to_string())?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let platform = json::platform(&text).map_err(|e| format!("{path}: {e}"))?;
        let executor = Rc::new(LocalExecutor::new());
        async_io::block_on(executor.run(serve(platform, executor.clone())))
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Comes back at the first SIGTERM.
async fn terminated(signals: &mut Async<UnixStream>) {
    while matches!(signals.read(&mut [0]).await, Err(e) if e.kind() == std::io::ErrorKind::Interrupted) {}
}

async fn serve(platform: Platform, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut limits = Limits::for_sockets(platform.sockets.unwrap_or(1024));
    if let Some(idle) = platform.conn_idle.filter(|s| *s > 0.0) {
        // Well before the host would: a request that crosses its close may have run.
        limits.host_idle = Duration::from_secs_f64((idle - 1.0).max(idle / 2.0));
    }
    if let Some(connect) = platform.settings.connect_timeout {
        limits.connect = Duration::from_micros(connect.max(1) as u64);
    }
    let limits = Rc::new(limits);
    let (signal, wake) = UnixStream::pair().map_err(|e| format!("signals: {e}"))?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, wake)
        .map_err(|e| format!("signals: {e}"))?;
    let mut signals = Async::new(signal).map_err(|e| format!("signals: {e}"))?;

    let clock = Clock::start();
    let fields = platform.settings.report_fields.clone();
    let (handle, commands) =
        core::start(platform.settings, platform.seed, &limits, clock).map_err(|e| format!("module: {e}"))?;
    if let Some(known) = platform.known {
        handle.control(discovery::remembered(known)).await;
    }
    let listener = listen::open(platform.listen).map_err(|e| format!("{}: {e}", platform.listen))?;
    let peers = match platform.peer_listen {
        Some(at) => {
            let peers = Peers::open(at, platform.peers, platform.peers_all, &limits);
            Some(Rc::new(peers.map_err(|e| format!("{at}: {e}"))?))
        }
        None => None,
    };
    log::info!("{}: clients at {}, discovery at {}", platform.name, platform.listen, platform.discovery);

    let (fetch, asked) = async_channel::bounded(1);
    let (listed, ready) = async_channel::bounded::<()>(1);
    {
        let (limits, handle) = (limits.clone(), handle.clone());
        let (address, zones) = (platform.discovery, platform.zones);
        let task = async move {
            let deliver = |control| {
                let (handle, listed) = (&handle, &listed);
                async move {
                    handle.control(control).await;
                    listed.close();
                }
            };
            discovery::watch(address, &zones, &limits, &asked, deliver).await;
        };
        executor.spawn(task).detach();
    }
    if let Some(peers) = peers.clone() {
        let handle = handle.clone();
        let task = async move {
            peers.listen(|from, bytes| handle.input(Input::Peer { from, bytes })).await;
        };
        executor.spawn(task).detach();
    }
    let hosts = Hosts::new(Pg::new(limits.clone(), fields), limits.clone(), clock);
    {
        let hosts = hosts.clone();
        executor.spawn(async move { hosts.tidy().await }).detach();
    }
    let carrying = {
        let (hosts, handle, executor2) = (hosts.clone(), handle.clone(), executor.clone());
        executor.spawn(async move {
            while let Ok(command) = commands.recv().await {
                match hosts.carry_out(command, &executor2, &handle).await {
                    Some(Command::Tell { to, bytes }) => {
                        if let Some(peers) = &peers {
                            peers.tell(to, &bytes).await;
                        }
                    }
                    Some(Command::FetchList) => drop(fetch.try_send(())),
                    _ => {}
                }
            }
        })
    };

    let front = Rc::new(Front { limits: limits.clone(), handle, classes: platform.classes, ready });
    let seats = listen::Seats::new(limits.clone());
    let accepting = {
        let (front, seats, executor2) = (front.clone(), seats.clone(), executor.clone());
        executor.spawn(async move {
            let serve = |stream, place, welcome| {
                let front = front.clone();
                executor2.spawn(async move { front.serve(stream, place, welcome).await }).detach();
            };
            listen::accept(&listener, &seats, serve).await;
        })
    };

    let over = async {
        carrying.await;
        Err("the module's thread has ended".to_string())
    };
    let drained = async {
        terminated(&mut signals).await;
        let began = Instant::now();
        log::info!("SIGTERM: draining");
        // The front layer deals out connections a little longer; all that comes is taken and answered.
        Timer::after(limits.lame).await;
        accepting.cancel().await;
        seats.close();
        while seats.taken() > 0 && began.elapsed() < limits.drain {
            Timer::after(Duration::from_millis(10)).await;
        }
        log::info!("drained, {} connections left", seats.taken());
        Ok(())
    };
    future::or(over, drained).await
}
