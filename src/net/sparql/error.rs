//! Reasons for rejecting a client's operation. Their texts are sent to clients in the body of the error response.

use super::headers::{CLASS, GROUP, POSITION};
use crate::net::http::error::FormError;
use crate::net::http::status;
use thiserror::Error;

/// Errors for which the front rejects an operation before it is routed; nothing was executed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperationError {
    /// The parameters of the URL or of a form cannot be decoded.
    #[error(transparent)]
    InvalidParameters(#[from] FormError),
    /// The URL has a parameter `query` or `update`, although the operation is in the body.
    #[error("an operation in the URL and one in the body")]
    OperationInUrlAndBody,
    /// By its media type the body is an operation, but it is not valid UTF-8.
    #[error("the operation is not UTF-8")]
    OperationNotUtf8,
    /// By its media type the body is an operation, but it is empty.
    #[error("the operation is empty")]
    EmptyOperation,
    /// By its media type the body is a form, but it is not valid UTF-8.
    #[error("the form is not UTF-8")]
    FormNotUtf8,
    /// A GET with a parameter `update`. GET is a safe method and must not change data.
    #[error("an update is not sent by GET")]
    UpdateByGet,
    /// A GET without exactly one parameter `query`.
    #[error("a GET has one parameter named query")]
    GetWithoutQuery,
    /// A form without exactly one parameter `query` or `update`.
    #[error("a form has one parameter, query or update")]
    FormWithoutOperation,
    /// A POST whose media type, of which this is an excerpt, is not one of the protocol's.
    #[error("{0:?} is no form of a SPARQL operation")]
    UnsupportedMediaType(String),
    /// A method other than GET and POST; holds an excerpt of it.
    #[error("{0} is not used here")]
    MethodNotAllowed(String),
    /// The value of a numeric header is not a number, or is out of range.
    #[error("{header}: {value:?} is no such value")]
    InvalidNumber {
        /// The header's name.
        header: &'static str,
        /// An excerpt of its value as it was sent.
        value: String,
    },
    /// The value of the class, session or key header is empty or too long. Holds the header's name.
    #[error("{0}: no such value")]
    InvalidName(&'static str),
    /// The settings define no class of this name.
    #[error("{CLASS}: no class {0:?}")]
    UnknownClass(String),
    /// An update whose class is for reads: it could be sent to a replica.
    #[error("{CLASS}: {0:?} is no class for updates")]
    ClassNotForUpdates(String),
    /// A request with a log position whose class ignores positions: the client would assume that the answer includes
    /// the position.
    #[error("{POSITION}: {0:?} is no class that looks at positions")]
    ClassIgnoresPositions(String),
    /// The request names no group, and no default is configured.
    #[error("{GROUP} names no group, and there is no default")]
    MissingGroup,
}

impl OperationError {
    /// The status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            OperationError::UnsupportedMediaType(_) => status::UNSUPPORTED_MEDIA_TYPE,
            OperationError::MethodNotAllowed(_) => status::METHOD_NOT_ALLOWED,
            _ => status::BAD_REQUEST,
        }
    }
}
