//! Why an HTTP message was rejected. The texts reach clients.

use super::status;
use std::io;
use thiserror::Error;

/// A message whose head or body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head holds bytes that are not UTF-8.
    #[error("the head is not UTF-8")]
    HeadNotUtf8,
    /// A part of the start line is missing or holds other characters than visible ASCII.
    #[error("the start line is out of form")]
    InvalidStartLine,
    /// A status line names no version of HTTP/1 or no status code of three digits.
    #[error("the status line is out of form")]
    InvalidStatusLine,
    /// A line of the header section has no colon.
    #[error("a header has no colon")]
    HeaderWithoutColon,
    /// The name of a header is no token, or its value holds control characters.
    #[error("a header is out of form")]
    InvalidHeader,
    /// Content-Length headers that differ.
    #[error("two lengths")]
    ConflictingContentLengths,
    /// Both Content-Length and Transfer-Encoding.
    #[error("a length and a transfer coding")]
    LengthAndTransferCoding,
    /// A transfer coding other than chunked.
    #[error("unknown transfer coding")]
    UnknownTransferCoding,
    /// Content-Length is not a number.
    #[error("the length is no number")]
    InvalidContentLength,
    /// A line between chunks, or of the trailer section, is not UTF-8.
    #[error("a chunk line")]
    ChunkLineNotUtf8,
    /// Data where a chunk should end.
    #[error("a chunk is longer than its size")]
    ChunkLongerThanSize,
    /// A chunk size is not a hexadecimal number.
    #[error("a chunk's size is no number")]
    InvalidChunkSize,
    /// The message exceeds a limit.
    #[error("the message is too large")]
    TooLarge,
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Parameters that are not URL-encoded as they should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FormError {
    /// A percent sign without two hexadecimal digits.
    #[error("a broken percent escape")]
    InvalidPercentEncoding,
    /// The decoded bytes are not UTF-8.
    #[error("a parameter is not UTF-8")]
    NotUtf8,
}

/// A client's request that is answered with an error before it is complete; the connection ends after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The head cannot be decoded.
    #[error(transparent)]
    InvalidHead(MessageError),
    /// The body cannot be decoded.
    #[error(transparent)]
    InvalidBody(MessageError),
    /// Another major version of HTTP.
    #[error("only HTTP/1.1 is spoken")]
    UnsupportedVersion,
    /// The request did not arrive completely in time.
    #[error("no whole request came in time")]
    Timeout,
    /// The memory budget for long messages is used up.
    #[error("no room for a message of this length")]
    MessageBudgetExhausted,
    /// The descriptor of a connection with an incomplete request is needed for others.
    #[error("no room for a request that is not whole")]
    Evicted,
}

impl RequestError {
    /// The status to answer with.
    pub fn status(self) -> u16 {
        match self {
            RequestError::InvalidHead(MessageError::TooLarge) => status::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RequestError::InvalidBody(MessageError::TooLarge) => status::CONTENT_TOO_LARGE,
            RequestError::InvalidHead(_) | RequestError::InvalidBody(_) => status::BAD_REQUEST,
            RequestError::UnsupportedVersion => status::HTTP_VERSION_NOT_SUPPORTED,
            RequestError::Timeout => status::REQUEST_TIMEOUT,
            RequestError::MessageBudgetExhausted | RequestError::Evicted => status::SERVICE_UNAVAILABLE,
        }
    }
}
