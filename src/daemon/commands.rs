//! Executes the engine's commands.

use super::Executor;
use crate::engine::{Command, EngineHandle};
use crate::net::backend_pool::{BackendPool, BackendProtocol};
use crate::net::turn::Turn;
use async_channel::Receiver;
use async_executor::Task;
use std::rc::Rc;

/// Spawns a task that executes commands until the engine thread ends, and one that closes idle backend connections.
/// Commands that do not concern backends are passed to `execute_other`.
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
        let turn = Turn::default();
        while let Ok(command) = commands.recv().await {
            let unhandled = backends.execute(command, &attempt_executor, &engine).await;
            if let Some(command) = unhandled {
                execute_other(command).await;
            }
            turn.step().await;
        }
    })
}
