//! Errors in the simulator's input. Each ends the program, since the two sides no longer agree on the protocol.

use brookpass::routing::settings_parser::SettingsError;
use std::io;

/// An error in a frame, with the frame's number.
#[derive(Debug, thiserror::Error)]
#[error("frame {frame}: {cause}")]
pub struct AdapterError {
    /// The frame's number, counted from 0.
    pub frame: u64,
    /// What is wrong with the frame.
    pub cause: FrameError,
}

/// What is wrong with a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input ended within the frame.
    #[error("{part} truncated after {read} of {expected} bytes")]
    Truncated { part: &'static str, read: usize, expected: usize },
    /// The header could not be read.
    #[error("header: {0}")]
    ReadHeader(io::Error),
    /// The body could not be read, or the reply could not be written.
    #[error("{0}")]
    Io(io::Error),
    /// The header's clock is infinite or NaN.
    #[error("the clock is not a finite number")]
    ClockNotFinite,
    /// The body is too short for the number of records in the header.
    #[error("{count} records do not fit in {body_bytes} bytes")]
    TooManyRecords { count: usize, body_bytes: usize },
    /// A record cannot be decoded.
    #[error("record {number}: {cause}")]
    Record { number: usize, cause: RecordError },
    /// A record is for an instance that was not started or has been stopped.
    #[error("instance {0} is not running")]
    UnknownInstance(u32),
    /// A record refers to an endpoint list that no record has defined.
    #[error("endpoint list {0} is not defined")]
    UnknownEndpointList(u8),
}

/// What is wrong with a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It refers to data beyond the end of the tail.
    #[error("offset {offset} with {items} items is outside the tail of {tail_bytes}")]
    OutsideTail { offset: usize, items: usize, tail_bytes: usize },
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    #[error("unknown availability {0}")]
    UnknownAvailability(u8),
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    #[error("settings are not UTF-8")]
    SettingsNotUtf8,
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
