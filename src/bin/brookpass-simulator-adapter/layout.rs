//! Sizes, codes and offsets of the simulator's protocol. All numbers are little-endian.
//!
//! An input frame consists of a header, event records of fixed size, and a tail with data of variable size. A reply
//! consists of a shorter header, action records, and a tail. A reference to the tail is an offset and a number of
//! items, four bytes each.

/// Size of an input frame's header.
pub const HEADER_BYTES: usize = 16;
/// Size of an event record.
pub const EVENT_BYTES: usize = 56;
/// Size of an action record.
pub const ACTION_BYTES: usize = 32;
/// Size of an endpoint list's entry in the tail.
pub const ENTRY_BYTES: usize = 28;
/// Size of a reply's header, which holds the number of records and the length of the body.
pub const REPLY_HEADER_BYTES: usize = 8;
/// Size of an endpoint, which is an IPv4 address and a port.
pub const ENDPOINT_BYTES: usize = 6;
/// Size of a reference to the tail.
pub const TAIL_REFERENCE_BYTES: usize = 8;

/// Offsets in an input frame's header.
pub mod header {
    pub const RECORD_COUNT: usize = 0;
    pub const BODY_LENGTH: usize = 4;
    pub const CLOCK: usize = 8;
}

/// Event codes, in the first byte of a record.
pub mod event_code {
    pub const START: u8 = 1;
    pub const LIST_UPDATE: u8 = 2;
    pub const REQUEST: u8 = 3;
    pub const RESPONSE_STARTED: u8 = 4;
    pub const ATTEMPT_FINISHED: u8 = 5;
    pub const REQUEST_CANCELLED: u8 = 6;
    pub const TIMER_FIRED: u8 = 7;
    pub const PROBE_FINISHED: u8 = 8;
    pub const PEER_MESSAGE: u8 = 9;
    pub const STOP: u8 = 10;
    pub const DEFINE_LIST: u8 = 11;
}

/// Offsets that most event records share.
pub mod event {
    pub const CODE: usize = 0;
    pub const INSTANCE: usize = 1;
    /// The request id, the timer number or the instance's seed, depending on the event.
    pub const NUMBER: usize = 5;
}

/// An instance starts.
pub mod start {
    pub const SETTINGS_REFERENCE: usize = 13;
}

/// Defines an endpoint list, independent of any instance.
pub mod define_list {
    pub const SLOT: usize = 1;
    pub const ENTRIES_REFERENCE: usize = 2;
}

/// An instance receives an endpoint list.
pub mod list_update {
    pub const KIND: usize = 5;
    pub const SLOT: usize = 10;
}

/// A client sends a request.
pub mod request {
    pub const CLASS: usize = 13;
    pub const WORK_HINT: usize = 15;
    pub const GROUP: usize = 23;
    pub const TENANT: usize = 27;
    /// Age of the session's last commit in milliseconds; 0 if there is none.
    pub const COMMIT_AGE: usize = 29;
    pub const FLAGS: usize = 33;
    pub const CLIENT_TIMEOUT: usize = 34;
    pub const SESSION: usize = 42;

    pub const FLAG_HAS_WORK_HINT: u8 = 1;
    pub const FLAG_REPEATED: u8 = 2;
}

/// A response starts.
pub mod response_started {
    pub const ATTEMPT: usize = 13;
    pub const ENDPOINT: usize = 14;
}

/// An attempt ends.
pub mod attempt_finished {
    pub const ENDPOINT: usize = 13;
    pub const TOOK: usize = 19;
    pub const REQUEST_FINISHED: usize = 27;
    pub const REPLICA_STATUS: usize = 28;
    pub const OUTCOME: usize = 32;
    pub const ATTEMPT: usize = 33;
    pub const REPORT: usize = 34;
}

/// The status that an endpoint reported: its role in the lowest two bits, and above them its log position in
/// milliseconds. Any other role means that it reported none.
pub mod replica_status {
    pub const ROLE_MASK: u32 = 3;
    pub const ROLE_BITS: u32 = 2;
    pub const PRIMARY: u32 = 1;
    pub const REPLICA: u32 = 2;
}

/// A load report: the number of values, then the values.
pub mod load_report {
    pub const COUNT: usize = 0;
    pub const VALUES: usize = 1;
    pub const VALUE_BYTES: usize = 4;
}

/// A probe ends.
pub mod probe_finished {
    pub const ENDPOINT: usize = 5;
    /// 0 if the endpoint responded.
    pub const STATUS: usize = 11;
    pub const TOOK: usize = 12;
    pub const REPORT: usize = 20;
}

/// A message from another pooler arrives.
pub mod peer_message {
    pub const FROM: usize = 5;
    pub const BYTES_REFERENCE: usize = 7;
}

/// An entry of an endpoint list.
pub mod entry {
    pub const ENDPOINT: usize = 0;
    pub const ZONE: usize = 6;
    pub const GROUP: usize = 9;
    pub const AVAILABILITY: usize = 11;
    /// A fraction; the endpoint is the primary if it is at least one half.
    pub const PRIMARY: usize = 12;
    pub const UNITS: usize = 16;
    /// 0, infinite or NaN if the endpoint started long ago.
    pub const STARTED_AT: usize = 20;
}

/// Action codes, in the first byte of a record.
pub mod action_code {
    pub const SEND: u8 = 1;
    pub const REJECT: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CANCEL: u8 = 4;
    pub const SET_TIMER: u8 = 5;
    pub const PROBE: u8 = 6;
    pub const CLOSE_IDLE: u8 = 7;
    pub const SEND_TO_PEERS: u8 = 8;
    pub const LOG: u8 = 9;
    pub const INSTANCE_FAILED: u8 = 10;
    pub const SUBSCRIBE: u8 = 11;
    pub const FETCH_LIST: u8 = 12;
}
