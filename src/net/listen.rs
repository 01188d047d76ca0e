//! A front's listener: connections within the limits, and what happens to them at the end.

use super::duty::Duty;
use crate::config::Limits;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// How a new connection is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Welcome {
    /// It is served.
    Served,
    /// It is only told that there are too many.
    TurnedAway,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No whole request has come yet, or a part of the next one, or it is being closed.
    Waiting,
    /// Between requests.
    Idle,
    /// A request is open.
    Busy,
}

struct Seat {
    /// Where it stands, since when.
    stands: Cell<(Standing, Instant)>,
    /// Whole requests that came on it.
    asked: Cell<u32>,
    /// Closed: the connection is to end between two requests.
    end: Sender<()>,
}

/// The connections of one front.
pub struct Seats {
    limits: Rc<Limits>,
    duty: Rc<Duty>,
    next: Cell<u64>,
    taken: RefCell<BTreeMap<u64, Rc<Seat>>>,
    turned_away: Cell<usize>,
    /// Bytes that long messages of clients hold.
    held: Cell<usize>,
    /// A message when a connection has left.
    left: (Sender<()>, Receiver<()>),
}

/// A connection's place among them; given up when dropped.
pub struct Place {
    seats: Rc<Seats>,
    number: u64,
    seat: Option<Rc<Seat>>,
    held: usize,
    end: Receiver<()>,
}

impl Seats {
    /// No connections yet.
    pub fn new(limits: Rc<Limits>, duty: Rc<Duty>) -> Rc<Seats> {
        Rc::new(Seats {
            limits,
            duty,
            next: Cell::new(0),
            taken: RefCell::default(),
            turned_away: Cell::new(0),
            held: Cell::new(0),
            left: async_channel::bounded(1),
        })
    }

    /// Connections that are served now.
    pub fn taken(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Comes back when no connection is served.
    pub async fn emptied(&self) {
        while self.taken() > 0 {
            let _ = self.left.1.recv().await;
        }
    }

    /// Asks every connection to end as soon as it stands between requests.
    pub fn close(&self) {
        for seat in self.taken.borrow().values() {
            seat.end.close();
        }
    }

    /// Clients keep connections that they do not use, and some connect and say nothing: one of these ends for a
    /// new one. Those that have not sent a whole request in a while go before those that have, the longest
    /// first. Until it has ended both hold descriptors, out of the share of those that are turned away.
    fn make_room(&self) -> bool {
        let taken = self.taken.borrow();
        if taken.len() + self.turned_away.get() >= self.limits.clients + self.limits.turned_away {
            return false;
        }
        let longest = |wanted| {
            let open = taken.values().filter(|s| !s.end.is_closed() && s.stands.get().0 == wanted);
            // Some ask once and keep their connection for good.
            open.min_by_key(|s| (s.asked.get() > 1, s.stands.get().1))
        };
        let silent = longest(Standing::Waiting);
        let ripe = silent.filter(|s| s.stands.get().1.elapsed() >= self.limits.grace);
        let goes = ripe.or_else(|| longest(Standing::Idle)).or(silent);
        goes.is_some_and(|seat| seat.end.close())
    }

    /// Lets clients go while the pooler is drained, once the front layer has stopped to deal out connections: each
    /// connection ends between two requests, and one on which none comes does not stay to ask late.
    fn let_go(&self) {
        for seat in self.taken.borrow().values() {
            let (standing, since) = seat.stands.get();
            if standing != Standing::Waiting || since.elapsed() >= self.limits.startup / 2 {
                seat.end.close();
            }
        }
    }

    /// Ends connections that have stood idle for long. While there are many, those that have asked no more than
    /// once end sooner: clients can hold only so many, and they would leave none to those that go on asking.
    fn relieve(&self) {
        let taken = self.taken.borrow();
        let mut served = 0;
        let mut once: Vec<&Rc<Seat>> = Vec::new();
        for seat in taken.values().filter(|s| !s.end.is_closed()) {
            let (standing, since) = seat.stands.get();
            served += usize::from(standing != Standing::Waiting);
            if standing == Standing::Idle && since.elapsed() >= self.limits.client_idle {
                seat.end.close();
                served -= 1;
            } else if standing == Standing::Idle
                && seat.asked.get() <= 1
                && since.elapsed() >= self.limits.grace
            {
                once.push(seat);
            }
        }
        once.sort_by_key(|s| s.stands.get().1);
        let many = served.saturating_sub(self.limits.crowded);
        for seat in once.iter().take(many) {
            seat.end.close();
        }
    }

    /// Looks for idle connections, for ever.
    pub async fn tidy(&self) {
        loop {
            Timer::after(self.limits.relief).await;
            self.relieve();
            if self.duty.drained_for(self.limits.lame) {
                self.let_go();
            }
        }
    }

    fn seat(self: &Rc<Seats>) -> Option<(Place, Welcome)> {
        let (sender, end) = async_channel::bounded(1);
        if self.taken() >= self.limits.clients && !self.make_room() {
            // A connection that took an idle one's place before that had ended holds a share of these too.
            if self.taken() + self.turned_away.get() >= self.limits.clients + self.limits.turned_away {
                return None;
            }
            self.turned_away.set(self.turned_away.get() + 1);
            return Some((
                Place { seats: self.clone(), number: 0, seat: None, held: 0, end },
                Welcome::TurnedAway,
            ));
        }
        let seat = Rc::new(Seat {
            stands: Cell::new((Standing::Waiting, Instant::now())),
            asked: Cell::new(0),
            end: sender,
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.taken.borrow_mut().insert(number, seat.clone());
        Some((Place { seats: self.clone(), number, seat: Some(seat), held: 0, end }, Welcome::Served))
    }
}

impl Place {
    /// Notes where the connection stands, since when.
    pub fn stands(&self, standing: Standing, since: Instant) {
        if let Some(seat) = &self.seat {
            seat.stands.set((standing, since));
        }
    }

    /// Notes that a whole request has come.
    pub fn asked(&self) {
        if let Some(seat) = &self.seat {
            seat.asked.set(seat.asked.get().saturating_add(1));
        }
        self.stands(Standing::Busy, Instant::now());
    }

    /// Notes how many bytes of a message it holds; false: there is no room for so many.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let limits = &self.seats.limits;
        let wanted = if bytes > limits.small { bytes } else { 0 };
        let others = self.seats.held.get() - self.held;
        if wanted > 0 && others + wanted > limits.held {
            return false;
        }
        self.seats.held.set(others + wanted);
        self.held = wanted;
        true
    }

    /// Whether it is to end between requests.
    pub fn ends(&self) -> bool {
        self.end.is_closed()
    }

    /// Comes back when it is to end between requests.
    pub async fn ended(&self) {
        while self.end.recv().await.is_ok() {}
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.hold(0);
        match &self.seat {
            Some(_) => {
                self.seats.taken.borrow_mut().remove(&self.number);
                // One message is enough for whoever waits.
                let _ = self.seats.left.0.try_send(());
            }
            None => self.seats.turned_away.set(self.seats.turned_away.get().saturating_sub(1)),
        }
    }
}

/// Opens a listener.
pub fn open(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Takes connections for ever, each within its place.
pub async fn accept(
    listener: &Async<TcpListener>,
    seats: &Rc<Seats>,
    mut serve: impl FnMut(Async<TcpStream>, Place, Welcome),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                match seats.seat() {
                    Some((place, welcome)) => serve(stream, place, welcome),
                    None => log::warn!("too many connections, and too many that are told so"),
                }
                // Those that were just taken are read, and those that make room end, before the next is taken.
                future::yield_now().await;
            }
            Err(e) => {
                // Out of descriptors or a connection that ended before it was taken: not the end of the front.
                log::warn!("accept: {e}");
                Timer::after(seats.limits.accept).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Machine;

    /// Guards against a front that runs out of descriptors, and against clients that are shut out by idle ones.
    #[test]
    fn the_longest_idle_makes_room_and_the_rest_are_told() {
        let limits = Limits { clients: 2, turned_away: 1, ..Limits::for_sockets(64) };
        let seats = Seats::new(Rc::new(limits), Rc::default());
        let take = || seats.seat().map(|(place, welcome)| (place, welcome == Welcome::Served));
        let (first, second) = (take().unwrap(), take().unwrap());
        let busy = |place: &Place| place.stands(Standing::Busy, Instant::now());
        [&first.0, &second.0].into_iter().for_each(busy);
        assert!(first.1 && second.1);
        let turned_away = take().unwrap();
        assert!(!turned_away.1, "none is idle");
        assert!(take().is_none(), "nor is there room to say so");
        drop(turned_away);
        second.0.stands(Standing::Idle, Instant::now());
        let third = take().unwrap();
        busy(&third.0);
        assert!(third.1 && second.0.ends() && !first.0.ends());
        assert!(take().is_none(), "the idle one has not ended yet");
        drop(second);
        assert_eq!(seats.taken(), 2);
    }

    /// Guards against hundreds of connections that say nothing and shut out those that ask.
    #[test]
    fn those_that_say_nothing_make_room_first() {
        let limits = Limits { clients: 3, turned_away: 1, ..Limits::for_sockets(64) };
        let (grace, seats) = (limits.grace, Seats::new(Rc::new(limits), Rc::default()));
        let take = || seats.seat().map(|(place, _)| place).unwrap();
        let (idle, silent, busy) = (take(), take(), take());
        let ago = |span| Instant::now().checked_sub(span).unwrap();
        idle.stands(Standing::Idle, ago(grace * 9));
        busy.stands(Standing::Busy, ago(grace * 9));
        silent.stands(Standing::Waiting, ago(grace * 2));
        let new = take();
        assert!(silent.ends() && !idle.ends());
        drop(silent);
        new.stands(Standing::Waiting, Instant::now());
        let newer = take();
        assert!(idle.ends() && !new.ends(), "one that has just come may still ask");
        drop(idle);
        newer.stands(Standing::Busy, Instant::now());
        let _newest = take();
        assert!(new.ends() && !busy.ends() && !newer.ends());
    }

    /// Guards against those that ask once and stay: clients hold only so many connections, and those that go on
    /// asking would find none.
    #[test]
    fn idle_connections_end_and_in_a_crowd_those_that_asked_once_go_first() {
        let limits = Limits { clients: 9, crowded: 3, ..Limits::for_sockets(64) };
        let (grace, long, seats) =
            (limits.grace, limits.client_idle, Seats::new(Rc::new(limits), Rc::default()));
        let take = |asked: u32, idle: std::time::Duration| {
            let (place, _) = seats.seat().unwrap();
            (0..asked).for_each(|_| place.asked());
            place.stands(Standing::Idle, Instant::now().checked_sub(idle).unwrap());
            place
        };
        let ended = |places: &[Place]| places.iter().map(Place::ends).collect::<Vec<_>>();
        let mut places = vec![take(5, grace * 3), take(1, grace * 2), take(1, grace * 4)];
        seats.relieve();
        assert_eq!(ended(&places), [false, false, false], "three are no crowd");
        places.extend([take(1, grace / 9), take(2, grace * 5)]);
        seats.relieve();
        assert_eq!(ended(&places), [false, true, true, false, false], "all that asked once a while ago");
        places.push(take(7, long));
        seats.relieve();
        assert!(places[5].ends() && !places[0].ends() && !places[4].ends());
        let (silent, _) = seats.seat().unwrap();
        silent.stands(Standing::Waiting, Instant::now().checked_sub(long).unwrap());
        seats.relieve();
        assert!(!silent.ends(), "its own time is looked at elsewhere");
    }

    /// Guards against clients whose long messages together take more memory than there is.
    #[test]
    fn long_messages_share_one_budget() {
        let limits = Limits { small: 10, held: 100, ..Limits::for_sockets(64) };
        let seats = Seats::new(Rc::new(limits), Rc::default());
        let take = || seats.seat().map(|(place, _)| place).unwrap();
        let (mut one, mut two) = (take(), take());
        assert!(one.hold(60) && two.hold(10) && two.hold(40) && one.hold(50));
        assert!(!two.hold(51), "there is room for 50");
        drop(one);
        assert!(two.hold(100));
        assert!(two.hold(0));
        assert_eq!(seats.held.get(), 0);
    }

    #[test]
    fn the_limits_add_up_to_what_the_process_may_hold() {
        for sockets in [64, 256, 384, 1024, 20_000] {
            let platform = Machine::platform(Some(sockets), Some(32.0));
            let half = platform.half().with_door();
            for machine in [Machine::operator(sockets), platform, platform.with_door(), half] {
                let l = Limits::on(machine);
                let (door, sockets) = (l.for_door(), machine.sockets);
                if machine.reserved + 16 <= sockets {
                    assert!(l.clients + l.turned_away + l.hosts + machine.reserved <= sockets, "{machine:?}");
                }
                assert!(l.clients > 0 && l.turned_away > 0 && l.hosts > 0, "{machine:?}");
                assert_eq!(door.clients > 0, machine.door, "{machine:?}");
                assert!(
                    platform.reserved + door.clients + door.turned_away < machine.reserved || !machine.door
                );
                // Clients hold at most a third for requests, and each of these may have an attempt out.
                let third = sockets.saturating_sub(machine.reserved) / 3;
                assert!(l.clients >= third && l.hosts >= third, "{machine:?}");
                assert!(l.held * 5 <= (machine.memory_mb * 1024.0 * 1024.0) as usize, "{machine:?}");
            }
        }
    }
}
