//! The two kinds of daemon, and how their parts are put together.
//!
//! [`platform`] runs the PostgreSQL front with the platform's configuration and discovery; [`operator`] runs the SPARQL
//! front with an operator's file ([`operator_config`]), a store and a fleet. Both start the engine, a pool of backend
//! connections ([`commands`]), listeners ([`listeners`]) and, where it is configured, the administration server, then
//! serve until SIGTERM ([`shutdown`]). All sockets are served by one thread; the engine and the store have one each.

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

/// Where the tasks of a daemon run: one thread serves all sockets.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Runs a daemon on this thread until it ends.
///
/// # Errors
/// What `daemon` returns.
pub fn run<F>(daemon: impl FnOnce(Executor) -> F) -> Result<(), DaemonError>
where
    F: Future<Output = Result<(), DaemonError>>,
{
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(daemon(executor.clone())))
}
