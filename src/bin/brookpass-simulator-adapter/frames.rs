//! The binary frames: batches of events in, replies of actions out. Offsets are those of the wire page.

use brookpass::routing::settings_parser;
use brookpass::routing::*;

/// Size of a batch header.
pub const HEADER: usize = 16;
const EVENT: usize = 56;
const ACTION: usize = 32;
const ENTRY: usize = 28;

/// One event of a batch, with the instance it is for.
pub enum Wire {
    Up { instance: u32, seed: u64, settings: Box<Settings> },
    Stop { instance: u32 },
    Roster { slot: u8, entries: Vec<EndpointEntry> },
    Members { instance: u32, kind: ListKind, slot: u8 },
    Event { instance: u32, event: Event },
}

/// Record count, body length and clock of a batch header.
pub fn header(bytes: &[u8; HEADER]) -> (usize, usize, f64) {
    (u32_at(bytes, 0) as usize, u32_at(bytes, 4) as usize, f64_at(bytes, 8))
}

fn array<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&b[at..at + N]);
    out
}
fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(array(b, at))
}
fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(array(b, at))
}
fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(array(b, at))
}
fn f32_at(b: &[u8], at: usize) -> f64 {
    f64::from(f32::from_le_bytes(array(b, at)))
}
fn f64_at(b: &[u8], at: usize) -> f64 {
    f64::from_le_bytes(array(b, at))
}
fn member_at(b: &[u8], at: usize) -> EndpointId {
    EndpointId { ip: array(b, at), port: u16_at(b, at + 4) }
}

fn report_at(b: &[u8], at: usize) -> LoadReport {
    let mut values = [0.0; 4];
    for (n, v) in values.iter_mut().enumerate() {
        *v = f32_at(b, at + 1 + 4 * n);
    }
    LoadReport { count: b[at].min(4), values }
}

fn replica_status(note: u32) -> Option<ReplicaStatus> {
    match note & 3 {
        role @ (1 | 2) => Some(ReplicaStatus {
            primary: role == 1,
            position: LogPosition::from_millis(i64::from(note >> 2)),
        }),
        _ => None,
    }
}

fn outcome(status: u8) -> Option<AttemptOutcome> {
    Some(match status {
        0 => AttemptOutcome::Served,
        2 => AttemptOutcome::Misdirected,
        5 => AttemptOutcome::Error,
        11 => AttemptOutcome::Overloaded,
        104 => AttemptOutcome::Reset,
        110 => AttemptOutcome::TimedOut,
        111 => AttemptOutcome::ConnectFailed,
        114 => AttemptOutcome::NotSent,
        125 => AttemptOutcome::Cancelled,
        _ => return None,
    })
}

/// The part of the tail that the offset and length at `at` name, in items of `size` bytes.
fn tail_part<'a>(record: &[u8], at: usize, tail: &'a [u8], size: usize) -> Result<&'a [u8], String> {
    let (from, items) = (u32_at(record, at) as usize, u32_at(record, at + 4) as usize);
    let end = items.checked_mul(size).and_then(|n| n.checked_add(from));
    end.and_then(|end| tail.get(from..end))
        .ok_or_else(|| format!("offset {from} with {items} items is outside the tail of {}", tail.len()))
}

fn entry(b: &[u8]) -> Result<EndpointEntry, String> {
    let started = f64_at(b, 20);
    Ok(EndpointEntry {
        endpoint: member_at(b, 0),
        zone: ZoneId(b[6]),
        group: GroupId(u32::from(u16_at(b, 9))),
        availability: match b[11] {
            0 => Availability::Ready,
            1 => Availability::Draining,
            2 => Availability::Gone,
            other => return Err(format!("unknown availability {other}")),
        },
        primary: f32_at(b, 12) >= 0.5,
        units: f32_at(b, 16),
        started_at: (started.is_finite() && started != 0.0).then(|| Timestamp::from_secs_f64(started)),
    })
}

/// Splits a batch body of `count` records into events.
pub fn decode(count: usize, body: &[u8]) -> Result<Vec<Wire>, String> {
    let end = count.checked_mul(EVENT).filter(|&n| n <= body.len());
    let end = end.ok_or_else(|| format!("{count} records do not fit in {} bytes", body.len()))?;
    let (records, tail) = body.split_at(end);
    let one = |(n, r): (usize, &[u8])| record(r, tail).map_err(|e| format!("record {n}: {e}"));
    records.chunks_exact(EVENT).enumerate().map(one).collect()
}

fn record(r: &[u8], tail: &[u8]) -> Result<Wire, String> {
    let instance = u32_at(r, 1);
    let number = u64_at(r, 5);
    let id = RequestId(number);
    let event = match r[0] {
        1 => {
            let text = std::str::from_utf8(tail_part(r, 13, tail, 1)?)
                .map_err(|_| "settings are not UTF-8".to_string())?;
            return Ok(Wire::Up {
                instance,
                seed: number,
                settings: Box::new(settings_parser::parse(text).map_err(|e| e.to_string())?),
            });
        }
        10 => return Ok(Wire::Stop { instance }),
        11 => {
            let lines = tail_part(r, 2, tail, ENTRY)?;
            let entries = lines.chunks_exact(ENTRY).map(entry).collect::<Result<_, _>>()?;
            return Ok(Wire::Roster { slot: r[1], entries });
        }
        2 => {
            let kind = match r[5] {
                0 => ListKind::Failed,
                1 => ListKind::Cached,
                2 => ListKind::Full,
                3 => ListKind::Delta,
                other => return Err(format!("unknown list kind {other}")),
            };
            return Ok(Wire::Members { instance, kind, slot: r[10] });
        }
        3 => {
            let (token, flags) = (f32_at(r, 29), r[33]);
            Event::Request(IncomingRequest {
                id,
                class: usize::from(u16_at(r, 13)),
                group: GroupId(f32_at(r, 23) as u32),
                tenant: usize::from(u16_at(r, 27)),
                work_hint: (flags & 1 != 0).then(|| TimeDelta::from_secs_f64(f64_at(r, 15))),
                last_commit_age: (token > 0.0).then(|| TimeDelta::from_secs_f64(token / 1000.0)),
                session: u64_at(r, 42),
                repeated: flags & 2 != 0,
                client_timeout: TimeDelta::from_secs_f64(f64_at(r, 34)),
            })
        }
        4 => Event::ResponseStarted { id, attempt: r[13], endpoint: member_at(r, 14) },
        5 => Event::AttemptFinished(AttemptFinished {
            id,
            endpoint: member_at(r, 13),
            took: TimeDelta::from_secs_f64(f64_at(r, 19)),
            finished: r[27] != 0,
            replica_status: replica_status(u32_at(r, 28)),
            outcome: outcome(r[32]).ok_or_else(|| format!("unknown outcome {}", r[32]))?,
            attempt: r[33],
            report: report_at(r, 34),
        }),
        6 => Event::RequestCancelled { id },
        7 => Event::TimerFired { timer: number },
        8 => Event::ProbeFinished {
            endpoint: member_at(r, 5),
            ok: r[11] == 0,
            took: TimeDelta::from_secs_f64(f64_at(r, 12)),
            report: report_at(r, 20),
        },
        9 => Event::PeerMessage { from: u16_at(r, 5), bytes: tail_part(r, 7, tail, 1)?.to_vec() },
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Wire::Event { instance, event })
}

/// A reply frame in the making.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + ACTION, 0);
    }

    fn tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut place = [0; 8];
        place[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        place[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        place
    }

    /// Adds `DIE`: the module of this instance failed.
    pub fn die(&mut self, instance: u32, text: &str) {
        let place = self.tail(text.as_bytes());
        self.record(10, instance, &[&place]);
    }

    /// Adds one action.
    pub fn action(&mut self, instance: u32, action: &Action) {
        let seconds = |length: TimeDelta| length.as_secs_f64().to_le_bytes();
        let endpoint = |m: &EndpointId| {
            let mut b = [0; 6];
            b[..4].copy_from_slice(&m.ip);
            b[4..].copy_from_slice(&m.port.to_le_bytes());
            b
        };
        match action {
            Action::Send { id, endpoint: m, stop_at } => {
                let stop = stop_at.map_or([0; 8], |at| at.as_secs_f64().to_le_bytes());
                self.record(1, instance, &[&id.0.to_le_bytes(), &endpoint(m), &stop]);
            }
            Action::Reject { id, retry_after } => {
                let wait = retry_after.map_or([0; 8], seconds);
                self.record(2, instance, &[&id.0.to_le_bytes(), &wait]);
            }
            Action::Fail { id } => self.record(3, instance, &[&id.0.to_le_bytes()]),
            Action::Cancel { id, attempt } => self.record(4, instance, &[&id.0.to_le_bytes(), &[*attempt]]),
            Action::SetTimer { span, timer } => {
                self.record(5, instance, &[&seconds(*span), &timer.to_le_bytes()]);
            }
            Action::Probe { endpoint: m } => self.record(6, instance, &[&endpoint(m)]),
            Action::CloseIdle { endpoint: m } => self.record(7, instance, &[&endpoint(m)]),
            Action::SendToPeers { to, bytes } => {
                let place = self.tail(bytes);
                self.record(8, instance, &[&to.unwrap_or(u16::MAX).to_le_bytes(), &place]);
            }
            Action::Log { text } => {
                let place = self.tail(text.as_bytes());
                self.record(9, instance, &[&place]);
            }
            Action::Subscribe { on } => self.record(11, instance, &[&[u8::from(*on)]]),
            Action::FetchList => self.record(12, instance, &[]),
        }
    }

    /// The whole frame.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        out.extend_from_slice(&((self.records.len() / ACTION) as u32).to_le_bytes());
        out.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}
