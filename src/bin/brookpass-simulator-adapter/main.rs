//! Runs the decision module behind the simulator's protocol: frames with batches of events on standard input, a reply
//! with actions to each on standard output.
//!
//! `layout` holds the protocol's codes and offsets, `records` decodes input, `instance_host` runs one [`Router`] for
//! each pooler of the simulation, and `reply` encodes output.
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

/// Answers frames until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = InstanceHost::default();
    for frame in 0u64.. {
        let answered = serve_frame(&mut host, input, output);
        if !answered.map_err(|cause| AdapterError { frame, cause })? {
            break;
        }
    }
    Ok(())
}

/// Answers one frame; false where the input has ended before it.
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

/// Fills `header`; false where the input ended before its first byte.
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

/// Reads a body of `length` bytes as it comes: a false length must not reserve memory that no frame fills.
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
