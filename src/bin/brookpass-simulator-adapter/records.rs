//! Decodes input frames into records.

use crate::error::{FrameError, RecordError};
use crate::layout::{
    self, ENTRY_BYTES, EVENT_BYTES, HEADER_BYTES, attempt_finished, define_list, entry, event, event_code,
    header, list_update, load_report, peer_message, probe_finished, request, response_started, start,
};
use brookpass::routing::*;

/// The header of an input frame.
pub struct FrameHeader {
    pub record_count: usize,
    pub body_length: usize,
    /// The simulator's clock in seconds, as sent. It may be infinite or NaN.
    pub clock_seconds: f64,
}

/// One record of a batch.
pub enum Record {
    /// Start an instance of the router.
    Start { instance: u32, seed: u64, settings: Box<Settings> },
    /// Stop an instance.
    Stop { instance: u32 },
    /// Define the endpoint list in a slot, for later updates.
    DefineList { slot: u8, entries: Vec<EndpointEntry> },
    /// Pass the endpoint list in a slot to an instance.
    ListUpdate { instance: u32, kind: ListKind, slot: u8 },
    /// Pass any other event to an instance.
    Event { instance: u32, event: Event },
}

pub fn decode_header(bytes: &[u8; HEADER_BYTES]) -> FrameHeader {
    FrameHeader {
        record_count: u32_at(bytes, header::RECORD_COUNT) as usize,
        body_length: u32_at(bytes, header::BODY_LENGTH) as usize,
        clock_seconds: f64_at(bytes, header::CLOCK),
    }
}

/// Decodes a frame's body, which starts with `record_count` records.
pub fn decode_body(record_count: usize, body: &[u8]) -> Result<Vec<Record>, FrameError> {
    let records_end = record_count.checked_mul(EVENT_BYTES).filter(|&end| end <= body.len());
    let Some(records_end) = records_end else {
        return Err(FrameError::TooManyRecords { count: record_count, body_bytes: body.len() });
    };
    let (records, tail) = body.split_at(records_end);
    let mut decoded = Vec::with_capacity(record_count);
    for (number, record) in records.chunks_exact(EVENT_BYTES).enumerate() {
        let record = decode_record(record, tail).map_err(|cause| FrameError::Record { number, cause })?;
        decoded.push(record);
    }
    Ok(decoded)
}

fn decode_record(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    let instance = u32_at(record, event::INSTANCE);
    match record[event::CODE] {
        event_code::START => decode_start(record, tail, instance),
        event_code::STOP => Ok(Record::Stop { instance }),
        event_code::DEFINE_LIST => decode_define_list(record, tail),
        event_code::LIST_UPDATE => Ok(Record::ListUpdate {
            instance,
            kind: list_kind(record[list_update::KIND])?,
            slot: record[list_update::SLOT],
        }),
        _ => Ok(Record::Event { instance, event: decode_event(record, tail)? }),
    }
}

fn decode_start(record: &[u8], tail: &[u8], instance: u32) -> Result<Record, RecordError> {
    let bytes = tail_items(record, start::SETTINGS_REFERENCE, tail, 1)?;
    let text = std::str::from_utf8(bytes).map_err(|_| RecordError::SettingsNotUtf8)?;
    let settings = Box::new(settings_parser::parse(text)?);
    Ok(Record::Start { instance, seed: u64_at(record, event::NUMBER), settings })
}

fn decode_define_list(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    let bytes = tail_items(record, define_list::ENTRIES_REFERENCE, tail, ENTRY_BYTES)?;
    let mut entries = Vec::with_capacity(bytes.len() / ENTRY_BYTES);
    for entry in bytes.chunks_exact(ENTRY_BYTES) {
        entries.push(decode_entry(entry)?);
    }
    Ok(Record::DefineList { slot: record[define_list::SLOT], entries })
}

fn decode_entry(bytes: &[u8]) -> Result<EndpointEntry, RecordError> {
    let started_at = f64_at(bytes, entry::STARTED_AT);
    let has_start = started_at.is_finite() && started_at != 0.0;
    Ok(EndpointEntry {
        endpoint: endpoint_at(bytes, entry::ENDPOINT),
        zone: ZoneId(bytes[entry::ZONE]),
        group: GroupId(u32::from(u16_at(bytes, entry::GROUP))),
        availability: availability(bytes[entry::AVAILABILITY])?,
        primary: f32_at(bytes, entry::PRIMARY) >= 0.5,
        capacity_units: f32_at(bytes, entry::UNITS),
        started_at: has_start.then(|| Timestamp::from_secs_f64(started_at)),
    })
}

fn decode_event(record: &[u8], tail: &[u8]) -> Result<Event, RecordError> {
    let number = u64_at(record, event::NUMBER);
    let id = RequestId(number);
    match record[event::CODE] {
        event_code::REQUEST => Ok(Event::Request(decode_request(record))),
        event_code::RESPONSE_STARTED => Ok(Event::ResponseStarted {
            id,
            attempt: record[response_started::ATTEMPT],
            endpoint: endpoint_at(record, response_started::ENDPOINT),
        }),
        event_code::ATTEMPT_FINISHED => Ok(Event::AttemptFinished(decode_attempt_finished(record)?)),
        event_code::REQUEST_CANCELLED => Ok(Event::RequestCancelled { id }),
        event_code::TIMER_FIRED => Ok(Event::TimerFired { timer: number }),
        event_code::PROBE_FINISHED => Ok(Event::ProbeFinished {
            endpoint: endpoint_at(record, probe_finished::ENDPOINT),
            ok: record[probe_finished::STATUS] == 0,
            took: TimeDelta::from_secs_f64(f64_at(record, probe_finished::TOOK)),
            report: load_report_at(record, probe_finished::REPORT),
        }),
        event_code::PEER_MESSAGE => Ok(Event::PeerMessage {
            from: u16_at(record, peer_message::FROM),
            bytes: tail_items(record, peer_message::BYTES_REFERENCE, tail, 1)?.to_vec(),
        }),
        unknown => Err(RecordError::UnknownEventCode(unknown)),
    }
}

fn decode_request(record: &[u8]) -> IncomingRequest {
    let flags = record[request::FLAGS];
    let has_work_hint = flags & request::FLAG_HAS_WORK_HINT != 0;
    let commit_age_ms = f32_at(record, request::COMMIT_AGE);
    IncomingRequest {
        id: RequestId(u64_at(record, event::NUMBER)),
        class: usize::from(u16_at(record, request::CLASS)),
        group: GroupId(f32_at(record, request::GROUP) as u32),
        tenant: usize::from(u16_at(record, request::TENANT)),
        work_hint: has_work_hint.then(|| TimeDelta::from_secs_f64(f64_at(record, request::WORK_HINT))),
        last_commit_age: (commit_age_ms > 0.0).then(|| TimeDelta::from_secs_f64(commit_age_ms / 1000.0)),
        session: u64_at(record, request::SESSION),
        is_client_retry: flags & request::FLAG_REPEATED != 0,
        client_timeout: TimeDelta::from_secs_f64(f64_at(record, request::CLIENT_TIMEOUT)),
    }
}

fn decode_attempt_finished(record: &[u8]) -> Result<AttemptFinished, RecordError> {
    Ok(AttemptFinished {
        id: RequestId(u64_at(record, event::NUMBER)),
        attempt: record[attempt_finished::ATTEMPT],
        endpoint: endpoint_at(record, attempt_finished::ENDPOINT),
        took: TimeDelta::from_secs_f64(f64_at(record, attempt_finished::TOOK)),
        outcome: attempt_outcome(record[attempt_finished::OUTCOME])?,
        request_answered: record[attempt_finished::REQUEST_FINISHED] != 0,
        replica_status: replica_status(u32_at(record, attempt_finished::REPLICA_STATUS)),
        report: load_report_at(record, attempt_finished::REPORT),
    })
}

fn list_kind(code: u8) -> Result<ListKind, RecordError> {
    match code {
        0 => Ok(ListKind::Failed),
        1 => Ok(ListKind::Cached),
        2 => Ok(ListKind::Full),
        3 => Ok(ListKind::Delta),
        unknown => Err(RecordError::UnknownListKind(unknown)),
    }
}

fn availability(code: u8) -> Result<Availability, RecordError> {
    match code {
        0 => Ok(Availability::Ready),
        1 => Ok(Availability::Draining),
        2 => Ok(Availability::Gone),
        unknown => Err(RecordError::UnknownAvailability(unknown)),
    }
}

fn attempt_outcome(code: u8) -> Result<AttemptOutcome, RecordError> {
    match code {
        0 => Ok(AttemptOutcome::Served),
        2 => Ok(AttemptOutcome::Misdirected),
        5 => Ok(AttemptOutcome::Error),
        11 => Ok(AttemptOutcome::Overloaded),
        104 => Ok(AttemptOutcome::Reset),
        110 => Ok(AttemptOutcome::TimedOut),
        111 => Ok(AttemptOutcome::ConnectFailed),
        114 => Ok(AttemptOutcome::NotSent),
        125 => Ok(AttemptOutcome::Cancelled),
        unknown => Err(RecordError::UnknownOutcome(unknown)),
    }
}

fn replica_status(bits: u32) -> Option<ReplicaStatus> {
    let primary = match bits & layout::replica_status::ROLE_MASK {
        layout::replica_status::PRIMARY => true,
        layout::replica_status::REPLICA => false,
        _ => return None,
    };
    let position_ms = bits >> layout::replica_status::ROLE_BITS;
    Some(ReplicaStatus { primary, position: LogPosition::from_millis(i64::from(position_ms)) })
}

fn load_report_at(bytes: &[u8], offset: usize) -> LoadReport {
    let mut values = [0.0; LoadReport::MAX_VALUES];
    for (index, value) in values.iter_mut().enumerate() {
        *value = f32_at(bytes, offset + load_report::VALUES + load_report::VALUE_BYTES * index);
    }
    let count = bytes[offset + load_report::COUNT].min(LoadReport::MAX_VALUES as u8);
    LoadReport { count, values }
}

/// The part of the tail that the reference at `offset` in `record` names, with items of `item_bytes` each.
fn tail_items<'a>(
    record: &[u8],
    offset: usize,
    tail: &'a [u8],
    item_bytes: usize,
) -> Result<&'a [u8], RecordError> {
    let start = u32_at(record, offset) as usize;
    let items = u32_at(record, offset + 4) as usize;
    let end = items.checked_mul(item_bytes).and_then(|length| length.checked_add(start));
    let bytes = end.and_then(|end| tail.get(start..end));
    bytes.ok_or(RecordError::OutsideTail { offset: start, items, tail_bytes: tail.len() })
}

fn endpoint_at(bytes: &[u8], offset: usize) -> EndpointId {
    EndpointId { ip: array_at(bytes, offset), port: u16_at(bytes, offset + 4) }
}

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[offset..offset + N]);
    array
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes(array_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(array_at(bytes, offset))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(array_at(bytes, offset))
}

fn f32_at(bytes: &[u8], offset: usize) -> f64 {
    f64::from(f32::from_le_bytes(array_at(bytes, offset)))
}

fn f64_at(bytes: &[u8], offset: usize) -> f64 {
    f64::from_le_bytes(array_at(bytes, offset))
}
