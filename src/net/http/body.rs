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
pub enum BodyDecoder {
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

impl BodyDecoder {
    /// The framing of a request's body: without any it has none.
    ///
    /// # Errors
    /// The head states contradictory framings, or one that is unknown.
    pub fn for_request(head: &Head) -> Result<BodyDecoder, MessageError> {
        Ok(BodyDecoder::stated_framing(head)?.unwrap_or(BodyDecoder::Complete))
    }

    /// The framing of a response's body: without any it lasts until the stream ends.
    ///
    /// # Errors
    /// The head states contradictory framings, or one that is unknown.
    pub fn for_response(head: &Head) -> Result<BodyDecoder, MessageError> {
        if let Some(body) = BodyDecoder::stated_framing(head)? {
            return Ok(body);
        }
        let without_body = [status::NO_CONTENT, status::NOT_MODIFIED];
        let has_body = !without_body.iter().any(|code| head.status() == Ok(*code));
        Ok(if has_body { BodyDecoder::UntilClose } else { BodyDecoder::Complete })
    }

    /// The framing that a head states. Two of them in one message are how requests are smuggled past each other, so
    /// contradictions are errors and nothing is guessed.
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

    /// Whether only the end of the stream ends the body.
    pub fn is_close_delimited(&self) -> bool {
        *self == BodyDecoder::UntilClose
    }

    /// Bytes that are stated but have not come: of the body, or of its present chunk.
    pub fn stated_bytes_remaining(&self) -> usize {
        match self {
            BodyDecoder::ContentLength { remaining } | BodyDecoder::ChunkData { remaining } => *remaining,
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

    /// What follows a line outside of a chunk's data.
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
