//! A front's listener: connections within the limits, and what happens to them at the end.

use crate::config::Limits;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
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

struct Seat {
    /// Since when it stands between requests.
    idle: Cell<Option<Instant>>,
    /// Closed: the connection is to end between two requests.
    end: Sender<()>,
}

/// The connections of one front.
pub struct Seats {
    limits: Rc<Limits>,
    next: Cell<u64>,
    taken: RefCell<BTreeMap<u64, Rc<Seat>>>,
    turned_away: Cell<usize>,
    /// A message when a connection has left.
    left: (Sender<()>, Receiver<()>),
}

/// A connection's place among them; given up when dropped.
pub struct Place {
    seats: Rc<Seats>,
    number: u64,
    seat: Option<Rc<Seat>>,
    end: Receiver<()>,
}

impl Seats {
    /// No connections yet.
    pub fn new(limits: Rc<Limits>) -> Rc<Seats> {
        Rc::new(Seats {
            limits,
            next: Cell::new(0),
            taken: RefCell::default(),
            turned_away: Cell::new(0),
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

    /// Clients keep connections that they do not use: the longest idle one ends for a new one. Until it has,
    /// both hold descriptors, out of the share of those that are turned away.
    fn make_room(&self) -> bool {
        let taken = self.taken.borrow();
        let idle = taken.values().filter(|s| !s.end.is_closed()).filter_map(|s| Some((s.idle.get()?, s)));
        let longest = idle
            .min_by_key(|(since, _)| *since)
            .filter(|_| taken.len() + self.turned_away.get() < self.limits.clients + self.limits.turned_away);
        longest.is_some_and(|(_, seat)| seat.end.close())
    }

    fn seat(self: &Rc<Seats>) -> Option<(Place, Welcome)> {
        let (sender, end) = async_channel::bounded(1);
        if self.taken() >= self.limits.clients && !self.make_room() {
            // A connection that took an idle one's place before that had ended holds a share of these too.
            if self.taken() + self.turned_away.get() >= self.limits.clients + self.limits.turned_away {
                return None;
            }
            self.turned_away.set(self.turned_away.get() + 1);
            return Some((Place { seats: self.clone(), number: 0, seat: None, end }, Welcome::TurnedAway));
        }
        let seat = Rc::new(Seat { idle: Cell::new(None), end: sender });
        let number = self.next.get();
        self.next.set(number + 1);
        self.taken.borrow_mut().insert(number, seat.clone());
        Some((Place { seats: self.clone(), number, seat: Some(seat), end }, Welcome::Served))
    }
}

impl Place {
    /// Notes whether the connection stands between requests.
    pub fn idle(&self, idle: bool) {
        if let Some(seat) = &self.seat {
            seat.idle.set(idle.then(Instant::now));
        }
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

    /// Guards against a front that runs out of descriptors, and against clients that are shut out by idle ones.
    #[test]
    fn the_longest_idle_makes_room_and_the_rest_are_told() {
        let limits = Limits { clients: 2, turned_away: 1, ..Limits::for_sockets(64) };
        let seats = Seats::new(Rc::new(limits));
        let take = || seats.seat().map(|(place, welcome)| (place, welcome == Welcome::Served));
        let (first, second) = (take().unwrap(), take().unwrap());
        assert!(first.1 && second.1);
        let turned_away = take().unwrap();
        assert!(!turned_away.1, "none is idle");
        assert!(take().is_none(), "nor is there room to say so");
        drop(turned_away);
        second.0.idle(true);
        let third = take().unwrap();
        assert!(third.1 && second.0.ends() && !first.0.ends());
        assert!(take().is_none(), "the idle one has not ended yet");
        drop(second);
        assert_eq!(seats.taken(), 2);
    }

    #[test]
    fn the_limits_add_up_to_what_the_process_may_hold() {
        for sockets in [64, 256, 1024, 20_000] {
            let l = Limits::for_sockets(sockets);
            assert!(l.clients + l.turned_away + l.hosts < sockets, "{sockets}");
            assert!(l.clients > 0 && l.turned_away > 0 && l.hosts > 0, "{sockets}");
        }
    }
}
