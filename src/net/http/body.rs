//! Message bodies (RFC 9112, sections 6 and 7), framed by Content-Length, by the chunked transfer coding, or by the
//! close of the connection. No I/O.

use super::error::MessageError;
use super::head::Head;
use super::status;

/// Limits an incomplete line: one that holds the size and the extensions of a chunk, or one of the trailer section.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Limits the trailer section. Nothing else bounds it in a response that is being streamed: the length is unknown, and
/// the deadline of the request no longer applies.
const MAX_TRAILER_SECTION_BYTES: usize = 16 * 1024;

/// Incremental decoder of a body. Each variant is a state, named after the input that it expects.
///
/// ```text
/// ContentLength ──► Complete
/// ChunkSize ──► ChunkData ──► ChunkDataEnd ──► ChunkSize
///     └─ size 0 ──► TrailerSection ──► Complete
/// UntilClose: the body ends when the server closes the connection
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyDecoder {
    /// The data of a body with a Content-Length.
    ContentLength {
        /// Bytes that have not been decoded yet; more than 0.
        remaining: usize,
    },
    /// The line that holds the size of the next chunk.
    ChunkSize,
    /// The data of a chunk.
    ChunkData {
        /// Bytes of the chunk that have not been decoded yet; more than 0.
        remaining: usize,
    },
    /// The CRLF after the data of a chunk.
    ChunkDataEnd,
    /// Lines of the trailer section, which are discarded.
    TrailerSection {
        /// How many more bytes the section may have.
        remaining: usize,
    },
    /// Data until the server closes the connection. Only responses are framed in this way.
    UntilClose,
    /// Nothing: the body is complete, or the message has none.
    Complete,
}

impl BodyDecoder {
    /// The decoder for the body of a request. A request that states no framing has no body.
    ///
    /// # Errors
    /// The head states contradictory framings, an unknown transfer coding, or an invalid length.
    pub fn for_request(head: &Head) -> Result<BodyDecoder, MessageError> {
        Ok(BodyDecoder::stated_framing(head)?.unwrap_or(BodyDecoder::Complete))
    }

    /// The decoder for the body of a response. A response that states no framing ends when the server closes the
    /// connection, unless its status rules out a body.
    ///
    /// # Errors
    /// The head states contradictory framings, an unknown transfer coding, or an invalid length.
    pub fn for_response(head: &Head) -> Result<BodyDecoder, MessageError> {
        if let Some(body) = BodyDecoder::stated_framing(head)? {
            return Ok(body);
        }
        let statuses_without_body = [status::NO_CONTENT, status::NOT_MODIFIED];
        let has_body = !statuses_without_body.iter().any(|code| head.status() == Ok(*code));
        Ok(if has_body { BodyDecoder::UntilClose } else { BodyDecoder::Complete })
    }

    /// The framing that the headers state; `None` if they state none. Contradictory framings are errors: if two
    /// programs choose differently between them, a request can be smuggled inside another one.
    fn stated_framing(head: &Head) -> Result<Option<BodyDecoder>, MessageError> {
        let mut lengths = head.header_values("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return Err(MessageError::ConflictingContentLengths);
        }
        match (head.header("transfer-encoding"), length) {
            (Some(_), Some(_)) => Err(MessageError::LengthAndTransferCoding),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(BodyDecoder::ChunkSize))
            }
            (Some(_), None) => Err(MessageError::UnknownTransferCoding),
            (None, Some(length)) => Ok(Some(BodyDecoder::with_length(length)?)),
            (None, None) => Ok(None),
        }
    }

    fn with_length(length: &str) -> Result<BodyDecoder, MessageError> {
        if !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MessageError::InvalidContentLength);
        }
        match length.parse() {
            Ok(0) => Ok(BodyDecoder::Complete),
            Ok(remaining) => Ok(BodyDecoder::ContentLength { remaining }),
            Err(_) => Err(MessageError::TooLarge),
        }
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        *self == BodyDecoder::Complete
    }

    /// Whether the body ends when the server closes the connection.
    pub fn is_close_delimited(&self) -> bool {
        *self == BodyDecoder::UntilClose
    }

    /// Bytes of the body, or of its current chunk, that were stated but not decoded yet; 0 if no length is known.
    pub fn stated_bytes_remaining(&self) -> usize {
        match self {
            BodyDecoder::ContentLength { remaining } | BodyDecoder::ChunkData { remaining } => *remaining,
            _ => 0,
        }
    }

    /// Decodes as much of `bytes` as it can, appends the data to `into`, and returns the number of bytes it consumed.
    /// The caller passes the rest again, followed by further input.
    ///
    /// # Errors
    /// The framing is malformed, or `into` has grown beyond `max_bytes`.
    pub fn decode(
        &mut self,
        bytes: &[u8],
        into: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<usize, MessageError> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self {
                BodyDecoder::Complete => return Ok(used),
                BodyDecoder::UntilClose => {
                    into.extend_from_slice(rest);
                    used = bytes.len();
                    break;
                }
                BodyDecoder::ContentLength { remaining } | BodyDecoder::ChunkData { remaining } => {
                    let count = rest.len().min(*remaining);
                    into.extend_from_slice(&rest[..count]);
                    used += count;
                    *remaining -= count;
                    if *remaining > 0 {
                        break;
                    }
                    *self = self.state_after_data();
                }
                BodyDecoder::ChunkSize | BodyDecoder::ChunkDataEnd | BodyDecoder::TrailerSection { .. } => {
                    let Some(line) = next_line(rest)? else { return Ok(used) };
                    used += line.len() + 2;
                    *self = self.state_after_line(line)?;
                }
            }
        }
        if into.len() > max_bytes { Err(MessageError::TooLarge) } else { Ok(used) }
    }

    fn state_after_data(&self) -> BodyDecoder {
        if matches!(self, BodyDecoder::ChunkData { .. }) {
            BodyDecoder::ChunkDataEnd
        } else {
            BodyDecoder::Complete
        }
    }

    /// The state after a line outside of chunk data.
    fn state_after_line(&self, line: &str) -> Result<BodyDecoder, MessageError> {
        match self {
            BodyDecoder::ChunkDataEnd if line.is_empty() => Ok(BodyDecoder::ChunkSize),
            BodyDecoder::ChunkDataEnd => Err(MessageError::ChunkLongerThanSize),
            BodyDecoder::TrailerSection { .. } if line.is_empty() => Ok(BodyDecoder::Complete),
            BodyDecoder::TrailerSection { remaining } => {
                let remaining = remaining.checked_sub(line.len() + 2).ok_or(MessageError::TooLarge)?;
                Ok(BodyDecoder::TrailerSection { remaining })
            }
            _ => match parse_chunk_size(line)? {
                0 => Ok(BodyDecoder::TrailerSection { remaining: MAX_TRAILER_SECTION_BYTES }),
                remaining => Ok(BodyDecoder::ChunkData { remaining }),
            },
        }
    }
}

/// The next line, without its CRLF; `None` while it is incomplete.
fn next_line(bytes: &[u8]) -> Result<Option<&str>, MessageError> {
    let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") else {
        return if bytes.len() > MAX_CHUNK_LINE_BYTES { Err(MessageError::TooLarge) } else { Ok(None) };
    };
    std::str::from_utf8(&bytes[..end]).map(Some).map_err(|_| MessageError::ChunkLineNotUtf8)
}

/// Parses the line in front of a chunk: its size in hexadecimal digits. Chunk extensions are ignored.
fn parse_chunk_size(line: &str) -> Result<usize, MessageError> {
    let size = line.split(';').next().unwrap_or("").trim();
    if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(MessageError::InvalidChunkSize);
    }
    usize::from_str_radix(size, 16).map_err(|_| MessageError::InvalidChunkSize)
}

#[cfg(test)]
mod tests;
