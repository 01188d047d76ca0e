//! The thread that owns the module.

use super::request_engine::RequestEngine;
use super::{Command, Control, Input};
use crate::clock::Clock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

enum Woken<W, A> {
    Control(Control),
    Input(Input<W, A>),
    Timer,
    Over,
}

pub(super) fn run<W: Clone, A>(
    mut owner: RequestEngine<W, A>,
    clock: &Clock,
    urgent: &Receiver<Control>,
    queue: &Receiver<Input<W, A>>,
    commands: &Sender<Command<W>>,
) {
    let mut out = Vec::new();
    loop {
        owner.due(clock.now(), &mut out);
        for command in out.drain(..) {
            if commands.try_send(command).is_err() {
                return;
            }
        }
        let next = owner.next_due();
        let control = async { urgent.recv().await.map_or(Woken::Over, Woken::Control) };
        let input = async { queue.recv().await.map_or(Woken::Over, Woken::Input) };
        let timer = async {
            match next {
                Some(at) => drop(Timer::at(clock.instant(at)).await),
                None => future::pending().await,
            }
            Woken::Timer
        };
        // In this order: what discovery told counts before any request that waits.
        match future::block_on(future::or(control, future::or(input, timer))) {
            Woken::Control(Control::EndpointList { list, cached }) => {
                owner.list(clock.now(), &list, cached, &mut out)
            }
            Woken::Control(Control::Gauges(reply)) => drop(reply.try_send(owner.gauges(clock.now()))),
            Woken::Control(Control::Observations(reply)) => drop(reply.try_send(owner.facts())),
            Woken::Control(Control::OutcomeCounts(reply)) => {
                drop(reply.try_send(owner.outcomes(clock.now())))
            }
            Woken::Control(Control::CancelOverdueReads(hosts)) => {
                owner.call_off(clock.now(), &hosts, &mut out)
            }
            Woken::Control(Control::PeerObservations(told)) => owner.told(clock.now(), told, &mut out),
            Woken::Control(Control::SetAdmission(terms)) => owner.admit(clock.now(), terms),
            Woken::Control(Control::SetPollParticipants(turns)) => owner.turns(clock.now(), turns, &mut out),
            Woken::Control(Control::FinishAll) => owner.end(clock.now(), &mut out),
            Woken::Input(input) => owner.input(clock.now(), input, &mut out),
            Woken::Timer => {}
            Woken::Control(Control::Stop) | Woken::Over => return,
        }
    }
}
