//! Why a client's request is no operation that can be routed. The texts reach clients.

use super::headers::{CLASS, GROUP, POSITION};
use crate::net::http::error::FormError;
use crate::net::http::status;
use thiserror::Error;

/// A request that is answered with an error by the front itself; nothing was executed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperationError {
    /// The parameters of the URL or of a form cannot be decoded.
    #[error(transparent)]
    InvalidParameters(#[from] FormError),
    /// `query` or `update` in the URL of a request whose body is the operation.
    #[error("an operation in the URL and one in the body")]
    OperationInUrlAndBody,
    /// The body is an operation but not UTF-8.
    #[error("the operation is not UTF-8")]
    OperationNotUtf8,
    /// The body should be an operation but is empty.
    #[error("the operation is empty")]
    EmptyOperation,
    /// The body is a form but not UTF-8.
    #[error("the form is not UTF-8")]
    FormNotUtf8,
    /// A GET with `update`: it would change data by a method that is safe.
    #[error("an update is not sent by GET")]
    UpdateByGet,
    /// A GET without `query`, or with more than one.
    #[error("a GET has one parameter named query")]
    GetWithoutQuery,
    /// A form without exactly one of `query` and `update`.
    #[error("a form has one parameter, query or update")]
    FormWithoutOperation,
    /// A POST of a media type that holds no operation.
    #[error("{0:?} is no form of a SPARQL operation")]
    UnsupportedMediaType(String),
    /// A method other than GET and POST.
    #[error("{0} is not used here")]
    MethodNotAllowed(String),
    /// A header that holds a number is out of form or out of range.
    #[error("{header}: {value:?} is no such value")]
    InvalidNumber {
        /// The header.
        header: &'static str,
        /// Its value as it was sent.
        value: String,
    },
    /// A header that holds a name is empty or too long.
    #[error("{0}: no such value")]
    InvalidName(&'static str),
    /// The settings have no such class.
    #[error("{CLASS}: no class {0:?}")]
    UnknownClass(String),
    /// An update of a class for reads, which would be sent to a replica.
    #[error("{CLASS}: {0:?} is no class for updates")]
    ClassNotForUpdates(String),
    /// A position with a class that does not look at it: the client would take an older answer for a newer one.
    #[error("{POSITION}: {0:?} is no class that looks at positions")]
    ClassIgnoresPositions(String),
    /// No group in the request, and no default.
    #[error("{GROUP} names no group, and there is no default")]
    MissingGroup,
}

impl OperationError {
    /// The status to answer with.
    pub fn status(&self) -> u16 {
        match self {
            OperationError::UnsupportedMediaType(_) => status::UNSUPPORTED_MEDIA_TYPE,
            OperationError::MethodNotAllowed(_) => status::METHOD_NOT_ALLOWED,
            _ => status::BAD_REQUEST,
        }
    }
}
