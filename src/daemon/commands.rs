//! Executes the engine's commands.

use super::Executor;
use crate::engine::{Command, EngineHandle};
use crate::net::backend_pool::{BackendPool, BackendProtocol};
use async_channel::Receiver;
use async_executor::Task;
use std::rc::Rc;

/// Executes commands until the engine's thread ends. Those that are not for backends go to `execute_other`.
pub fn execute_commands<P: BackendProtocol>(
    executor: &Executor,
    backends: &Rc<BackendPool<P>>,
    commands: Receiver<Command<P::Request>>,
    engine: &EngineHandle<P::Request, P::Answer>,
    execute_other: impl AsyncFn(Command<P::Request>) + 'static,
) -> Task<()> {
    let idle_sweeper = backends.clone();
    executor.spawn(async move { idle_sweeper.sweep_idle().await }).detach();

    let backends = backends.clone();
    let engine = engine.clone();
    let attempt_executor = executor.clone();
    executor.spawn(async move {
        while let Ok(command) = commands.recv().await {
            let remaining = backends.execute(command, &attempt_executor, &engine).await;
            if let Some(command) = remaining {
                execute_other(command).await;
            }
        }
    })
}
