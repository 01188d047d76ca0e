//! Serves the connections of an endpoint: polls, operations, admission to its slots, responses.

use super::{Arrival, EndpointBehavior, StandInEndpoint};
use crate::http::{self, Message};
use crate::{LogPosition, Timestamp};
use std::io::{BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The query of a poll, as encoded in a request line.
const POLL_QUERY: &str = "ASK%20%7B%7D ";
/// The prefix of the request's id in a percent-encoded query.
const ENCODED_ID_PREFIX: &str = "r%23";
/// The prefix of the request's id in a body.
const ID_PREFIX: &str = "r#";
/// Interval at which a queued operation checks for a free slot.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a lost request checks whether the endpoint still has power.
const POWER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest read timeout that is set, since a timeout of zero is invalid.
const MIN_READ_TIMEOUT: Duration = Duration::from_micros(100);
/// The uptime that an endpoint without a cold start reports: one day.
const WARM_UPTIME_SECONDS: f64 = 86_400.0;

/// How an operation ended, as its response reports it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Read,
    Committed,
    NotPrimary,
    QueueFull,
}

impl Outcome {
    fn status(self) -> u16 {
        match self {
            Outcome::Read | Outcome::Committed => 200,
            Outcome::NotPrimary => 421,
            Outcome::QueueFull => 503,
        }
    }
}

/// The result of waiting for a slot.
enum Admission {
    Admitted,
    QueueFull,
    ClientClosed,
}

impl StandInEndpoint {
    /// The current incarnation; `None` if the endpoint has no power.
    fn incarnation(&self) -> Option<u64> {
        let state = self.state();
        state.behavior.is_up.then_some(state.incarnation)
    }

    /// Serves one connection until it ends or the endpoint loses power.
    pub(super) fn serve(&self, stream: TcpStream) {
        let Some(incarnation) = self.incarnation() else { return };
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().expect("lock of the connections").push(copy);
        }
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            // A request for another path is not an operation: it is meant for a process in another test's cluster that
            // used this port before.
            if !self.is_up() || !request.first_line.contains(" /sparql") {
                return;
            }
            if self.should_drop(&request) {
                // A lost request is not recorded and gets no response: the connection stays open until the client
                // closes it or the endpoint loses power.
                while self.incarnation() == Some(incarnation)
                    && !closes_within(reader.get_ref(), POWER_CHECK_INTERVAL)
                {}
                return;
            }
            let Some(response) = self.handle(&request, reader.get_ref()) else { return };
            if self.incarnation() != Some(incarnation) || writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Handles a request; `None` if there is no response and the connection is to be closed.
    fn handle(&self, request: &Message, stream: &TcpStream) -> Option<String> {
        if request.first_line.contains(POLL_QUERY) {
            self.polls.lock().expect("lock of the polls").push(Timestamp::now());
            return Some(self.response(Outcome::Read));
        }
        self.execute(request, stream)
    }

    /// Executes an operation; `None` if the client closed the connection or the endpoint lost power.
    fn execute(&self, request: &Message, stream: &TcpStream) -> Option<String> {
        let is_write = request.header("content-type") == Some("application/sparql-update");
        let request_id = request_id(request, is_write);
        let open_attempts = &self.records.open_attempts;
        let arrived_at = Timestamp::now();
        let mut arrival = Arrival {
            endpoint: self.name.clone(),
            request_id,
            arrived_at,
            finished_at: arrived_at,
            is_write,
            served: false,
            open_elsewhere: open_attempts.endpoints_of(request_id),
        };
        // Ends after the arrival is recorded, and before the response is written.
        let _registration = open_attempts.register(request_id, &self.name, stream);
        let state = self.state();
        let behavior = state.behavior;
        let is_primary = state.is_primary;
        drop(state);
        if is_write && !is_primary {
            self.record(arrival);
            return Some(self.response(Outcome::NotPrimary));
        }
        let incarnation = self.incarnation()?;
        match self.wait_for_slot(&behavior, stream) {
            Admission::Admitted => {}
            Admission::QueueFull => {
                self.record(arrival);
                return Some(self.response(Outcome::QueueFull));
            }
            Admission::ClientClosed => {
                arrival.finished_at = Timestamp::now();
                self.record(arrival);
                return None;
            }
        }
        let client_closed = closes_within(stream, behavior.service_time);
        self.state().running -= 1;
        arrival.finished_at = Timestamp::now();
        arrival.served = !client_closed;
        self.record(arrival);
        if self.incarnation() != Some(incarnation) {
            return None;
        }
        // A write takes effect even if its client has closed the connection.
        let response = self.response(if is_write { Outcome::Committed } else { Outcome::Read });
        (!client_closed).then_some(response)
    }

    fn record(&self, arrival: Arrival) {
        self.records.arrivals.lock().expect("lock of the arrivals").push(arrival);
    }

    /// Waits in the queue until a slot is free.
    fn wait_for_slot(&self, behavior: &EndpointBehavior, stream: &TcpStream) -> Admission {
        let mut is_queued = false;
        loop {
            let mut state = self.state();
            if state.running < behavior.available_slots() && !behavior.is_silent {
                state.running += 1;
                state.waiting -= usize::from(is_queued);
                state.peak = state.peak.max(state.running + state.waiting);
                return Admission::Admitted;
            }
            if !is_queued {
                if state.waiting >= behavior.queue_limit && !behavior.is_silent {
                    return Admission::QueueFull;
                }
                state.waiting += 1;
                state.peak = state.peak.max(state.running + state.waiting);
                is_queued = true;
            }
            drop(state);
            if closes_within(stream, SLOT_RETRY_INTERVAL) {
                self.state().waiting -= 1;
                return Admission::ClientClosed;
            }
        }
    }

    /// The response to an operation, with the endpoint's role, position and load. [`Outcome::Committed`] appends a
    /// commit to the log.
    fn response(&self, outcome: Outcome) -> String {
        let state = self.state();
        let behavior = state.behavior;
        let is_primary = state.is_primary;
        let running = state.running;
        drop(state);
        let utilization = (running as f64 / behavior.available_slots() as f64).min(1.0);
        let mut log = self.log();
        let present = LogPosition::at(Timestamp::now());
        let position = if outcome == Outcome::Committed {
            log.commit(present)
        } else if is_primary {
            log.primary_position(present)
        } else {
            log.replica_position(present, behavior.replication_lag)
        };
        drop(log);
        let role = if is_primary { "primary" } else { "replica" };
        let uptime = behavior.cold_since.map_or(WARM_UPTIME_SECONDS, |start| start.elapsed().as_secs_f64());
        // The body is the time up to which the data of the response is current. A primary's data is always current,
        // even if its log has been rolled back.
        let data_as_of = if is_primary { position.max(present) } else { position };
        let body = data_as_of.as_millis().to_string();
        format!(
            "HTTP/1.1 {} S\r\nBrookpass-Role: {role}\r\nBrookpass-Position: {}\r\n\
             Brookpass-Load: util={utilization:.3},up={uptime:.3}\r\nContent-Type: text/plain\r\n\
             Content-Length: {}\r\n\r\n{body}",
            outcome.status(),
            position.as_millis(),
            body.len()
        )
    }
}

/// The id that the client put into a request; 0 if there is none.
fn request_id(request: &Message, is_write: bool) -> u64 {
    let text = if is_write { request.text() } else { request.first_line.clone() };
    let id = text.split(ENCODED_ID_PREFIX).nth(1).or(text.split(ID_PREFIX).nth(1)).unwrap_or("");
    let digits: String = id.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Waits for `duration`. Returns true early if the client closes the connection.
fn closes_within(stream: &TcpStream, duration: Duration) -> bool {
    let end = Instant::now() + duration;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(left.max(MIN_READ_TIMEOUT)));
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_read_timeout(None);
        match peeked {
            Ok(0) => return true,
            // A pipelined request, which is read after this response.
            Ok(_) => {
                thread::sleep(left);
                return false;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
}
