//! Reasons for rejecting an HTTP message. Their texts are sent to clients in the body of the error response.

use super::status;
use std::io;
use thiserror::Error;

/// Errors in the head or the body of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head is not valid UTF-8.
    #[error("the head is not UTF-8")]
    HeadNotUtf8,
    /// One of the first two parts of the start line is missing, or holds a character other than visible ASCII.
    #[error("the start line is out of form")]
    InvalidStartLine,
    /// The version of a response is not HTTP/1.x, or its status code does not have three digits.
    #[error("the status line is out of form")]
    InvalidStatusLine,
    /// A line of the header section has no colon.
    #[error("a header has no colon")]
    HeaderWithoutColon,
    /// The name of a header is not a token, or its value holds control characters.
    #[error("a header is out of form")]
    InvalidHeader,
    /// There are several Content-Length headers with different values.
    #[error("two lengths")]
    ConflictingContentLengths,
    /// There is both a Content-Length and a Transfer-Encoding.
    #[error("a length and a transfer coding")]
    LengthAndTransferCoding,
    /// The transfer coding is not `chunked`.
    #[error("unknown transfer coding")]
    UnknownTransferCoding,
    /// Content-Length holds a character other than a digit.
    #[error("the length is no number")]
    InvalidContentLength,
    /// A line between chunks or in the trailer section is not valid UTF-8.
    #[error("a chunk line")]
    ChunkLineNotUtf8,
    /// The data of a chunk is not followed by a CRLF.
    #[error("a chunk is longer than its size")]
    ChunkLongerThanSize,
    /// The size of a chunk is not a hexadecimal number, or is too large to represent.
    #[error("a chunk's size is no number")]
    InvalidChunkSize,
    /// The message exceeds the limit on its head, its body, a line between chunks, or its trailer section.
    #[error("the message is too large")]
    TooLarge,
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Errors in URL-encoded parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FormError {
    /// A percent sign is not followed by two hexadecimal digits.
    #[error("a broken percent escape")]
    InvalidPercentEncoding,
    /// A decoded name or value is not valid UTF-8.
    #[error("a parameter is not UTF-8")]
    NotUtf8,
}

/// Errors for which a request is rejected before it was read completely. The connection is closed after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The head cannot be decoded.
    #[error(transparent)]
    InvalidHead(MessageError),
    /// The body cannot be decoded.
    #[error(transparent)]
    InvalidBody(MessageError),
    /// The request line does not name HTTP/1.x.
    #[error("only HTTP/1.1 is spoken")]
    UnsupportedVersion,
    /// The request was not complete in time.
    #[error("no whole request came in time")]
    Timeout,
    /// The memory budget that all connections share for long messages is exhausted.
    #[error("no room for a message of this length")]
    MessageBudgetExhausted,
    /// The connection was evicted in the middle of a request, because its file descriptor is needed elsewhere.
    #[error("no room for a request that is not whole")]
    Evicted,
}

impl RequestError {
    /// The status code of the response.
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
