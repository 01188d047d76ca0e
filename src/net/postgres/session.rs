//! The states of a client's connection, without any I/O.

use super::codec::{self, Malformed, Startup};
use crate::config::Limits;
use crate::net::buffer::Buffer;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Before its startup message.
    Startup,
    /// Taking requests.
    Idle,
    /// After an error in the extended protocol: all is passed over until Sync.
    Skipping,
    /// Over.
    Closed,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read more.
    Wait,
    /// Write this.
    Write(Vec<u8>),
    /// The readiness query: answer with [`Session::empty`] in its turn and when ready.
    Ready,
    /// A request: answer it in its turn, then call [`Session::answered`].
    Query(String),
    /// Write this, then close.
    Close(Vec<u8>),
}

/// A client's connection.
pub struct Session {
    state: State,
    buffer: Buffer,
    most: usize,
    startup: usize,
    /// Requests that are not answered yet, and how many there may be.
    open: usize,
    most_open: usize,
}

impl Session {
    /// A connection that was just taken.
    pub fn new(limits: &Limits) -> Session {
        let Limits {
            client_message: most,
            startup_message_bytes: startup,
            pipelined_requests: most_open,
            ..
        } = *limits;
        Session { state: State::Startup, buffer: Buffer::default(), most, startup, open: 0, most_open }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Where bytes that come in go.
    pub fn input(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    /// The oldest open request has its answer.
    pub fn answered(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// The answer to the readiness query.
    pub fn empty() -> Vec<u8> {
        let mut out = Vec::new();
        codec::put(&mut out, b'I', &[]);
        codec::ready(&mut out);
        out
    }

    /// What is to be done next.
    pub fn step(&mut self) -> Step {
        let step = match self.state {
            State::Startup => self.begin(),
            State::Idle | State::Skipping if self.open < self.most_open => self.next(),
            State::Idle | State::Skipping | State::Closed => Ok(Step::Wait),
        };
        step.unwrap_or_else(|Malformed(why)| {
            log::warn!("client: {why}");
            self.close("08P01", why)
        })
    }

    fn close(&mut self, code: &str, why: &str) -> Step {
        let mut out = Vec::new();
        codec::error(&mut out, true, code, why, None);
        self.state = State::Closed;
        Step::Close(out)
    }

    fn begin(&mut self) -> Result<Step, Malformed> {
        let Some((kind, used)) = codec::startup(self.buffer.unread(), self.startup)? else {
            return Ok(Step::Wait);
        };
        self.buffer.consume(used);
        Ok(match kind {
            Startup::Encryption => Step::Write(b"N".to_vec()),
            Startup::Cancel => {
                self.state = State::Closed;
                Step::Close(Vec::new())
            }
            Startup::Plain => {
                self.state = State::Idle;
                let mut out = Vec::new();
                codec::welcome(&mut out);
                Step::Write(out)
            }
        })
    }

    fn next(&mut self) -> Result<Step, Malformed> {
        loop {
            let Some((kind, body, used)) = codec::message(self.buffer.unread(), self.most)? else {
                return Ok(Step::Wait);
            };
            let skipping = self.state == State::Skipping;
            let step = match kind {
                b'X' => {
                    self.state = State::Closed;
                    Some(Step::Close(Vec::new()))
                }
                b'S' => {
                    self.state = State::Idle;
                    let mut out = Vec::new();
                    codec::ready(&mut out);
                    Some(Step::Write(out))
                }
                _ if skipping => None,
                b'Q' => {
                    let text = codec::query_text(body)?;
                    self.open += 1;
                    if text.trim().is_empty() {
                        Some(Step::Ready)
                    } else {
                        Some(Step::Query(text.to_string()))
                    }
                }
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                    log::warn!("client: message {:?}: only simple queries are spoken", char::from(kind));
                    let mut out = Vec::new();
                    codec::error(&mut out, false, "0A000", "only simple queries are spoken here", None);
                    if kind == b'F' {
                        codec::ready(&mut out);
                    } else {
                        self.state = State::Skipping;
                    }
                    Some(Step::Write(out))
                }
                _ => return Err(Malformed("a message of an unknown kind")),
            };
            self.buffer.consume(used);
            if let Some(step) = step {
                return Ok(step);
            }
        }
    }
}
