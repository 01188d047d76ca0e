//! The two daemons and how each is assembled from its components.
//!
//! [`platform`] runs the PostgreSQL front with the platform's configuration and discovery; [`operator`] runs the SPARQL
//! front with an operator's file ([`operator_config`]), a store and a fleet. Both start the engine, a pool of backend
//! connections ([`commands`]), listeners ([`listeners`]) and, if configured, the admin server, and then serve until
//! SIGTERM ([`shutdown`]). One thread serves all sockets; the engine and the store run on a thread each.

pub mod commands;
mod error;
pub mod listeners;
pub mod operator;
pub mod operator_config;
pub mod platform;
pub mod shutdown;
pub mod signals;
mod stall_monitor;

pub use error::{ConfigError, DaemonError};

use async_executor::LocalExecutor;
use futures_lite::future;
use std::rc::Rc;

/// Number of task turns after which the reactor is polled for I/O events and timers, even if tasks are ready to run.
const TURNS_PER_REACTOR_POLL: u32 = 16;

/// Single-threaded executor that runs all tasks of a daemon, and so serves all of its sockets.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Runs the future that `daemon` returns on the calling thread until it completes.
///
/// # Errors
/// Any error of that future.
pub fn run<F>(daemon: impl FnOnce(Executor) -> F) -> Result<(), DaemonError>
where
    F: Future<Output = Result<(), DaemonError>>,
{
    let executor: Executor = Rc::new(LocalExecutor::new());
    executor.spawn(stall_monitor::report_stalls()).detach();
    let run_tasks = async {
        loop {
            for _ in 0..TURNS_PER_REACTOR_POLL {
                executor.tick().await;
            }
            // Returns to `block_on`, which polls the reactor.
            future::yield_now().await;
        }
    };
    async_io::block_on(future::or(daemon(executor.clone()), run_tasks))
}
