//! Message bodies (RFC 9112, sections 6 and 7): framing by length, by the chunked transfer coding, or by the end of the
//! stream. No I/O.

use super::error::MessageError;
use super::head::Head;
use super::status;

/// The longest line between chunks: a size with extensions, which are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Bytes of a trailer section. A response that has begun has neither a length nor a deadline to bound it.
const MAX_TRAILER_SECTION_BYTES: usize = 16 * 1024;

/// Decoder of a body: what is expected next.
///
/// ```text
/// ContentLength ──► Complete
/// ChunkSize ──► ChunkData ──► ChunkDataEnd ──► ChunkSize
///     └─ size 0 ──► TrailerSection ──► Complete
/// UntilClose: the end of the stream is the end of the body
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A body of a stated length.
    ContentLength {
        /// Bytes that are still to come.
        remaining: usize,
    },
    /// The line with the size of the next chunk.
    ChunkSize,
    /// The data of a chunk.
    ChunkData {
        /// Bytes that are still to come.
        remaining: usize,
    },
    /// The line end after the data of a chunk.
    ChunkDataEnd,
    /// Lines of the trailer section, which are discarded.
    TrailerSection {
        /// Bytes that the rest of the section may have.
        remaining: usize,
    },
    /// Everything until the stream ends.
    UntilClose,
    /// The body is complete.
    Complete,
}

impl Body {
    /// The framing of a request's body: without any it has none.
    ///
    /// # Errors
    /// The head states contradictory framings, or one that is unknown.
    pub fn of_request(head: &Head) -> Result<Body, MessageError> {
        Ok(Body::stated(head)?.unwrap_or(Body::Complete))
    }

    /// The framing of a response's body: without any it lasts until the stream ends.
    ///
    /// # Errors
    /// The head states contradictory framings, or one that is unknown.
    pub fn of_response(head: &Head) -> Result<Body, MessageError> {
        if let Some(body) = Body::stated(head)? {
            return Ok(body);
        }
        let without_body = [status::NO_CONTENT, status::NOT_MODIFIED];
        let has_body = !without_body.iter().any(|code| head.status() == Ok(*code));
        Ok(if has_body { Body::UntilClose } else { Body::Complete })
    }

    /// The framing that a head states. Two of them in one message are how requests are smuggled past each other, so
    /// contradictions are errors and nothing is guessed.
    fn stated(head: &Head) -> Result<Option<Body>, MessageError> {
        let mut lengths = head.get_all("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return Err(MessageError::ConflictingContentLengths);
        }
        match (head.get("transfer-encoding"), length) {
            (Some(_), Some(_)) => Err(MessageError::LengthAndTransferCoding),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Body::ChunkSize)),
            (Some(_), None) => Err(MessageError::UnknownTransferCoding),
            (None, Some(length)) => Ok(Some(Body::of_length(length)?)),
            (None, None) => Ok(None),
        }
    }

    fn of_length(length: &str) -> Result<Body, MessageError> {
        if !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MessageError::InvalidContentLength);
        }
        match length.parse() {
            Ok(0) => Ok(Body::Complete),
            Ok(remaining) => Ok(Body::ContentLength { remaining }),
            Err(_) => Err(MessageError::TooLarge),
        }
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        *self == Body::Complete
    }

    /// Whether only the end of the stream ends the body.
    pub fn ends_with_stream(&self) -> bool {
        *self == Body::UntilClose
    }

    /// Bytes that are stated but have not come: of the body, or of its present chunk.
    pub fn announced_bytes(&self) -> usize {
        match self {
            Body::ContentLength { remaining } | Body::ChunkData { remaining } => *remaining,
            _ => 0,
        }
    }

    /// Decodes received bytes, appends the data to `into` and says how many bytes it used.
    ///
    /// # Errors
    /// The framing is out of form, or `into` has grown beyond `max_bytes`.
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
                Body::Complete => return Ok(used),
                Body::UntilClose => {
                    into.extend_from_slice(rest);
                    used = bytes.len();
                    break;
                }
                Body::ContentLength { remaining } | Body::ChunkData { remaining } => {
                    let count = rest.len().min(*remaining);
                    into.extend_from_slice(&rest[..count]);
                    used += count;
                    *remaining -= count;
                    if *remaining > 0 {
                        break;
                    }
                    *self = self.after_data();
                }
                Body::ChunkSize | Body::ChunkDataEnd | Body::TrailerSection { .. } => {
                    let Some(line) = next_line(rest)? else { return Ok(used) };
                    used += line.len() + 2;
                    *self = self.after_line(line)?;
                }
            }
        }
        if into.len() > max_bytes { Err(MessageError::TooLarge) } else { Ok(used) }
    }

    fn after_data(&self) -> Body {
        if matches!(self, Body::ChunkData { .. }) { Body::ChunkDataEnd } else { Body::Complete }
    }

    /// What follows a line outside of a chunk's data.
    fn after_line(&self, line: &str) -> Result<Body, MessageError> {
        match self {
            Body::ChunkDataEnd if line.is_empty() => Ok(Body::ChunkSize),
            Body::ChunkDataEnd => Err(MessageError::ChunkLongerThanSize),
            Body::TrailerSection { .. } if line.is_empty() => Ok(Body::Complete),
            Body::TrailerSection { remaining } => {
                let remaining = remaining.checked_sub(line.len() + 2).ok_or(MessageError::TooLarge)?;
                Ok(Body::TrailerSection { remaining })
            }
            _ => match parse_chunk_size(line)? {
                0 => Ok(Body::TrailerSection { remaining: MAX_TRAILER_SECTION_BYTES }),
                remaining => Ok(Body::ChunkData { remaining }),
            },
        }
    }
}

/// The next line without its end; `None` while it is incomplete.
fn next_line(bytes: &[u8]) -> Result<Option<&str>, MessageError> {
    let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") else {
        return if bytes.len() > MAX_CHUNK_LINE_BYTES { Err(MessageError::TooLarge) } else { Ok(None) };
    };
    std::str::from_utf8(&bytes[..end]).map(Some).map_err(|_| MessageError::ChunkLineNotUtf8)
}

/// The size in front of a chunk, in hexadecimal digits; extensions behind it are ignored.
fn parse_chunk_size(line: &str) -> Result<usize, MessageError> {
    let size = line.split(';').next().unwrap_or("").trim();
    if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(MessageError::InvalidChunkSize);
    }
    usize::from_str_radix(size, 16).map_err(|_| MessageError::InvalidChunkSize)
}

#[cfg(test)]
mod tests;
