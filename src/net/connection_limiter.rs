//! A front's connections within the limits, and what happens to them at the end.

use super::lifecycle::Lifecycle;
use crate::config::Limits;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// How a new connection is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// It is served.
    Serve,
    /// It is only told that there are too many.
    Reject,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// No whole request has come yet, or a part of the next one, or it is being closed.
    AwaitingRequest,
    /// Between requests.
    Idle,
    /// A request is open.
    Busy,
    /// Nothing more is written; what the client still sends is read and dropped.
    Closing,
}

struct Seat {
    /// Where it stands, since when.
    stands: Cell<(SlotState, Instant)>,
    /// Whole requests that came on it.
    asked: Cell<u32>,
    /// Closed: the connection is to end between two requests.
    end: Sender<()>,
    /// Closed: its descriptor is needed at once, whatever has come of the next request.
    cut: Sender<()>,
}

impl Seat {
    fn cut(&self) {
        self.end.close();
        self.cut.close();
    }

    fn is_closing(&self) -> bool {
        self.stands.get().0 == SlotState::Closing && !self.cut.is_closed()
    }
}

/// The connection that has been closing for the longest.
fn longest_closing(seats: &BTreeMap<u64, Rc<Seat>>) -> Option<&Rc<Seat>> {
    seats.values().filter(|s| s.is_closing()).min_by_key(|s| s.stands.get().1)
}

/// The connections of one front.
pub struct ConnectionLimiter {
    limits: Rc<Limits>,
    duty: Rc<Lifecycle>,
    next: Cell<u64>,
    taken: RefCell<BTreeMap<u64, Rc<Seat>>>,
    /// Connections that are only told that there are too many.
    turned_away: RefCell<BTreeMap<u64, Rc<Seat>>>,
    /// Bytes that long messages of clients hold.
    held: Cell<usize>,
    /// A message when a connection has left.
    left: (Sender<()>, Receiver<()>),
}

/// A connection's place among them; given up when dropped.
pub struct ConnectionSlot {
    seats: Rc<ConnectionLimiter>,
    number: u64,
    seat: Rc<Seat>,
    welcome: AcceptDecision,
    held: usize,
    end: Receiver<()>,
    cut: Receiver<()>,
}

impl ConnectionLimiter {
    /// No connections yet.
    pub fn new(limits: Rc<Limits>, duty: Rc<Lifecycle>) -> Rc<ConnectionLimiter> {
        Rc::new(ConnectionLimiter {
            limits,
            duty,
            next: Cell::new(0),
            taken: RefCell::default(),
            turned_away: RefCell::default(),
            held: Cell::new(0),
            left: async_channel::bounded(1),
        })
    }

    /// Connections that are served now.
    pub fn active_connections(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Connections that are held now, those that are turned away included.
    pub fn open_connections(&self) -> usize {
        self.active_connections() + self.turned_away.borrow().len()
    }

    /// Comes back when no connection is held: one that is told that there are too many is owed that answer.
    pub async fn wait_until_empty(&self) {
        while self.open_connections() > 0 {
            let _ = self.left.1.recv().await;
        }
    }

    /// Asks every connection to end as soon as it stands between requests. One that has sent a part of a request
    /// may complete it.
    pub fn close_after_request(&self) {
        for seat in self.taken.borrow().values() {
            seat.end.close();
        }
    }

    /// Ends every connection that has sent no more than a part of a request.
    pub fn abort_incomplete(&self) {
        for seat in self.taken.borrow().values().filter(|s| s.stands.get().0 == SlotState::AwaitingRequest) {
            seat.cut();
        }
    }

    /// Clients keep connections that they do not use, and some connect and say nothing: one of these ends for a
    /// new one. Those that are being closed go first, then those that have not sent a whole request in a while,
    /// then those that have, the longest first. Until it has ended both hold descriptors, out of the share of
    /// those that are turned away; when half of that is in use it has no time to be closed in good order.
    fn make_room(&self) -> bool {
        let taken = self.taken.borrow();
        let (held, limits) = (taken.len() + self.turned_away.borrow().len(), &self.limits);
        let closing = longest_closing(&taken);
        if let Some(seat) = closing {
            seat.cut();
        }
        if held >= limits.client_connections + limits.rejected_connections {
            return false;
        }
        let longest = |wanted| {
            let open = taken.values().filter(|s| !s.end.is_closed() && s.stands.get().0 == wanted);
            // Some ask once and keep their connection for good.
            open.min_by_key(|s| (s.asked.get() > 1, s.stands.get().1))
        };
        let silent = longest(SlotState::AwaitingRequest);
        let ripe = silent.filter(|s| s.stands.get().1.elapsed() >= limits.silent_client_grace);
        let goes = ripe.or_else(|| longest(SlotState::Idle)).or(silent);
        if let Some(seat) = goes.filter(|_| closing.is_none()) {
            seat.end.close();
            if seat.stands.get().0 == SlotState::AwaitingRequest
                || held >= limits.client_connections + limits.rejected_connections / 2
            {
                seat.cut();
            }
        }
        closing.or(goes).is_some()
    }

    /// Lets clients go while the pooler is drained, once the front layer has stopped to deal out connections: each
    /// connection ends between two requests, and one on which none comes does not stay to ask late.
    fn let_go(&self) {
        for seat in self.taken.borrow().values() {
            let (standing, since) = seat.stands.get();
            match standing {
                SlotState::Idle | SlotState::Busy => drop(seat.end.close()),
                SlotState::AwaitingRequest if since.elapsed() >= self.limits.first_request_timeout / 2 => {
                    seat.cut()
                }
                SlotState::AwaitingRequest | SlotState::Closing => {}
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
            served += usize::from(standing != SlotState::AwaitingRequest);
            if standing == SlotState::Idle && since.elapsed() >= self.limits.client_idle {
                seat.end.close();
                served -= 1;
            } else if standing == SlotState::Idle
                && seat.asked.get() <= 1
                && since.elapsed() >= self.limits.silent_client_grace
            {
                once.push(seat);
            }
        }
        once.sort_by_key(|s| s.stands.get().1);
        let many = served.saturating_sub(self.limits.crowded_clients);
        for seat in once.iter().take(many) {
            seat.end.close();
        }
    }

    /// Looks for idle connections, for ever.
    pub async fn sweep_idle(&self) {
        loop {
            Timer::after(self.limits.idle_check_interval).await;
            self.relieve();
            if self.duty.drained_for(self.limits.shutdown_accept_period) {
                self.let_go();
            }
        }
    }

    pub(super) fn admit(self: &Rc<ConnectionLimiter>) -> Option<(ConnectionSlot, AcceptDecision)> {
        let mut welcome = AcceptDecision::Serve;
        if self.active_connections() >= self.limits.client_connections && !self.make_room() {
            // A connection that took an idle one's place before that had ended holds a share of these too.
            if self.open_connections() >= self.limits.client_connections + self.limits.rejected_connections {
                if let Some(seat) = longest_closing(&self.turned_away.borrow()) {
                    seat.cut();
                }
                return None;
            }
            welcome = AcceptDecision::Reject;
        }
        let ((end, ended), (cut, was_cut)) = (async_channel::bounded(1), async_channel::bounded(1));
        let stands = Cell::new((SlotState::AwaitingRequest, Instant::now()));
        let seat = Rc::new(Seat { stands, asked: Cell::new(0), end, cut });
        let number = self.next.get();
        self.next.set(number + 1);
        self.seats(welcome).borrow_mut().insert(number, seat.clone());
        Some((
            ConnectionSlot { seats: self.clone(), number, seat, welcome, held: 0, end: ended, cut: was_cut },
            welcome,
        ))
    }

    pub(super) fn limits(&self) -> &Limits {
        &self.limits
    }

    fn seats(&self, welcome: AcceptDecision) -> &RefCell<BTreeMap<u64, Rc<Seat>>> {
        match welcome {
            AcceptDecision::Serve => &self.taken,
            AcceptDecision::Reject => &self.turned_away,
        }
    }
}

impl ConnectionSlot {
    /// Notes where the connection stands, since when.
    pub fn set_state(&self, standing: SlotState, since: Instant) {
        self.seat.stands.set((standing, since));
    }

    /// Notes that a whole request has come.
    pub fn request_received(&self) {
        self.seat.asked.set(self.seat.asked.get().saturating_add(1));
        self.set_state(SlotState::Busy, Instant::now());
    }

    /// Whether a whole request has come.
    pub fn has_received_request(&self) -> bool {
        self.seat.asked.get() > 0
    }

    /// Notes how many bytes of a message it holds; false: there is no room for so many.
    pub fn try_reserve_message_bytes(&mut self, bytes: usize) -> bool {
        let limits = &self.seats.limits;
        let wanted = if bytes > limits.unbudgeted_message { bytes } else { 0 };
        let others = self.seats.held.get() - self.held;
        if wanted > 0 && others + wanted > limits.message_budget {
            return false;
        }
        self.seats.held.set(others + wanted);
        self.held = wanted;
        true
    }

    /// Gives the bytes of a message back.
    pub fn release_message_bytes(&mut self) {
        self.try_reserve_message_bytes(0);
    }

    /// Whether it is to end between requests.
    pub fn must_close(&self) -> bool {
        self.end.is_closed()
    }

    /// Comes back when it is to end between requests.
    pub async fn close_requested(&self) {
        while self.end.recv().await.is_ok() {}
    }

    /// Comes back when its descriptor is needed at once.
    pub async fn evicted(&self) {
        while self.cut.recv().await.is_ok() {}
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.release_message_bytes();
        self.seats.seats(self.welcome).borrow_mut().remove(&self.number);
        // One message is enough for whoever waits.
        let _ = self.seats.left.0.try_send(());
    }
}

#[cfg(test)]
mod tests;
