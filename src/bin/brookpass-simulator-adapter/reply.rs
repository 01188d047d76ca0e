//! Encodes the actions of a batch as a reply frame.

use crate::layout::{ACTION_BYTES, ENDPOINT_BYTES, REPLY_HEADER_BYTES, TAIL_REFERENCE_BYTES, action_code};
use brookpass::routing::{Action, EndpointId, TimeDelta, Timestamp};

/// The receiver of a message that goes to all peers.
const ALL_PEERS: u16 = u16::MAX;

/// A reply frame under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push_action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::Send { id, endpoint, stop_at, fresh_until: _ } => {
                let stop_at = optional_time(*stop_at);
                let fields: [&[u8]; 3] = [&id.0.to_le_bytes(), &endpoint_bytes(*endpoint), &stop_at];
                self.push_record(action_code::SEND, instance, &fields);
            }
            Action::Reject { id, retry_after } => {
                let retry_after = seconds(retry_after.unwrap_or(TimeDelta::ZERO));
                self.push_record(action_code::REJECT, instance, &[&id.0.to_le_bytes(), &retry_after]);
            }
            Action::Fail { id } => self.push_record(action_code::FAIL, instance, &[&id.0.to_le_bytes()]),
            Action::Cancel { id, attempt } => {
                self.push_record(action_code::CANCEL, instance, &[&id.0.to_le_bytes(), &[*attempt]]);
            }
            Action::SetTimer { delay, timer } => {
                self.push_record(action_code::SET_TIMER, instance, &[&seconds(*delay), &timer.to_le_bytes()]);
            }
            Action::Probe { endpoint } => {
                self.push_record(action_code::PROBE, instance, &[&endpoint_bytes(*endpoint)]);
            }
            Action::CloseIdle { endpoint } => {
                self.push_record(action_code::CLOSE_IDLE, instance, &[&endpoint_bytes(*endpoint)]);
            }
            Action::SendToPeers { to, bytes } => {
                let reference = self.push_to_tail(bytes);
                let to = to.unwrap_or(ALL_PEERS).to_le_bytes();
                self.push_record(action_code::SEND_TO_PEERS, instance, &[&to, &reference]);
            }
            Action::Log { text } => {
                let reference = self.push_to_tail(text.as_bytes());
                self.push_record(action_code::LOG, instance, &[&reference]);
            }
            Action::Subscribe { on } => {
                self.push_record(action_code::SUBSCRIBE, instance, &[&[u8::from(*on)]]);
            }
            Action::FetchList => self.push_record(action_code::FETCH_LIST, instance, &[]),
        }
    }

    /// Appends the report that an instance's router panicked, with the panic message.
    pub fn push_instance_failure(&mut self, instance: u32, text: &str) {
        let reference = self.push_to_tail(text.as_bytes());
        self.push_record(action_code::INSTANCE_FAILED, instance, &[&reference]);
    }

    /// Encodes the complete frame.
    pub fn to_bytes(&self) -> Vec<u8> {
        let record_count = self.records.len() / ACTION_BYTES;
        let body_length = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + body_length);
        frame.extend_from_slice(&(record_count as u32).to_le_bytes());
        frame.extend_from_slice(&(body_length as u32).to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }

    fn push_record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let record_end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(record_end, 0);
    }

    /// Appends data to the tail and returns the reference to it.
    fn push_to_tail(&mut self, bytes: &[u8]) -> [u8; TAIL_REFERENCE_BYTES] {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        let mut reference = [0; TAIL_REFERENCE_BYTES];
        reference[..4].copy_from_slice(&offset.to_le_bytes());
        reference[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        reference
    }
}

fn seconds(delta: TimeDelta) -> [u8; 8] {
    delta.as_secs_f64().to_le_bytes()
}

fn optional_time(time: Option<Timestamp>) -> [u8; 8] {
    time.map_or([0; 8], |time| time.as_secs_f64().to_le_bytes())
}

fn endpoint_bytes(endpoint: EndpointId) -> [u8; ENDPOINT_BYTES] {
    let mut bytes = [0; ENDPOINT_BYTES];
    bytes[..4].copy_from_slice(&endpoint.ip);
    bytes[4..].copy_from_slice(&endpoint.port.to_le_bytes());
    bytes
}
