//! The event loop of the engine's thread.

use super::message::{Command, Control, Input};
use super::request_engine::{AfterControl, RequestEngine};
use crate::clock::Clock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

/// The channels between the engine's thread and the rest of the process.
pub(super) struct Channels<W, A> {
    pub(super) inputs: Receiver<Input<W, A>>,
    pub(super) control: Receiver<Control>,
    pub(super) commands: Sender<Command<W>>,
}

/// The event that woke the event loop.
enum Wakeup<W, A> {
    Control(Control),
    Input(Input<W, A>),
    TimerDue,
    /// All handles to the engine have been dropped.
    Disconnected,
}

/// Runs an engine until it is stopped, all its handles are dropped, or the receiver of its commands is dropped.
pub(super) fn run<W: Clone, A>(mut engine: RequestEngine<W, A>, clock: &Clock, channels: &Channels<W, A>) {
    let mut commands = Vec::new();
    loop {
        engine.run_due(clock.now(), &mut commands);
        for command in commands.drain(..) {
            if channels.commands.try_send(command).is_err() {
                return;
            }
        }
        match next_wakeup(&engine, clock, channels) {
            Wakeup::Control(control) => match engine.handle_control(clock.now(), control, &mut commands) {
                AfterControl::Continue => {}
                AfterControl::Stop => return,
            },
            Wakeup::Input(input) => engine.handle_input(clock.now(), input, &mut commands),
            Wakeup::TimerDue => {}
            Wakeup::Disconnected => return,
        }
    }
}

/// Blocks until the next event. Control messages take precedence: a new endpoint list must be applied before any
/// waiting request is handled.
fn next_wakeup<W: Clone, A>(
    engine: &RequestEngine<W, A>,
    clock: &Clock,
    channels: &Channels<W, A>,
) -> Wakeup<W, A> {
    let next_due = engine.next_due();
    let control = async { channels.control.recv().await.map_or(Wakeup::Disconnected, Wakeup::Control) };
    let input = async { channels.inputs.recv().await.map_or(Wakeup::Disconnected, Wakeup::Input) };
    let timer = async {
        match next_due {
            Some(due_at) => drop(Timer::at(clock.instant_of(due_at)).await),
            None => future::pending().await,
        }
        Wakeup::TimerDue
    };
    future::block_on(future::or(control, future::or(input, timer)))
}
