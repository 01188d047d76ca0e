//! Runs the decision module for the simulator: reads frames with batches of events from standard input and writes a
//! reply with actions for each to standard output.
//!
//! `layout` defines the protocol's codes and offsets, `records` decodes the input, `instance_host` runs one [`Router`]
//! for each pooler in the simulation, and `reply` encodes the output.
//!
//! [`Router`]: brookpass::Router

mod error;
mod instance_host;
mod layout;
mod records;
mod reply;

use brookpass::routing::Timestamp;
use error::{AdapterError, FrameError};
use instance_host::InstanceHost;
use layout::HEADER_BYTES;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brookpass-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processes frames until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = InstanceHost::default();
    for frame in 0u64.. {
        let has_frame = serve_frame(&mut host, input, output);
        if !has_frame.map_err(|cause| AdapterError { frame, cause })? {
            break;
        }
    }
    Ok(())
}

/// Processes one frame. Returns false if the input ended before it.
fn serve_frame(
    host: &mut InstanceHost,
    input: &mut impl Read,
    output: &mut impl Write,
) -> Result<bool, FrameError> {
    let mut header = [0; HEADER_BYTES];
    if !read_header(input, &mut header)? {
        return Ok(false);
    }
    let header = records::decode_header(&header);
    if !header.clock_seconds.is_finite() {
        return Err(FrameError::ClockNotFinite);
    }
    let body = read_body(input, header.body_length)?;
    let records = records::decode_body(header.record_count, &body)?;
    let reply = host.run_batch(Timestamp::from_secs_f64(header.clock_seconds), records)?;
    output.write_all(&reply.to_bytes()).map_err(FrameError::Io)?;
    output.flush().map_err(FrameError::Io)?;
    Ok(true)
}

/// Reads a frame's header. Returns false if the input ended before its first byte.
fn read_header(input: &mut impl Read, header: &mut [u8]) -> Result<bool, FrameError> {
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                return Err(FrameError::Truncated { part: "header", read: filled, expected: header.len() });
            }
            Ok(length) => filled += length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(FrameError::ReadHeader(error)),
        }
    }
    Ok(true)
}

/// Reads a body of `length` bytes. The buffer grows with the data, so that a wrong length does not allocate memory that
/// the input never fills.
fn read_body(input: &mut impl Read, length: usize) -> Result<Vec<u8>, FrameError> {
    let mut body = Vec::new();
    let read = input.take(length as u64).read_to_end(&mut body).map_err(FrameError::Io)?;
    if read < length {
        return Err(FrameError::Truncated { part: "body", read, expected: length });
    }
    Ok(body)
}

#[cfg(test)]
mod tests;
