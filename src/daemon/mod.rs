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

pub use error::{ConfigError, DaemonError};

use async_executor::LocalExecutor;
use std::rc::Rc;

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
    async_io::block_on(executor.run(daemon(executor.clone())))
}
