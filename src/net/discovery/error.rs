//! Errors of calls to discovery. The last list stays in use after each of them.

use crate::endpoint_list_json::EndpointListError;
use std::io;
use thiserror::Error;

/// Reasons why a call to discovery returned no usable list.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// Discovery cannot be reached, the connection was lost, or the response is not valid HTTP.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The response was not complete in time.
    #[error("no complete response within the timeout")]
    TimedOut,
    /// Discovery has no capacity for this call: status 429 or 503.
    #[error("overloaded: status {status}")]
    Overloaded {
        /// Status code of the response.
        status: String,
    },
    /// The status is not 200, 429 or 503.
    #[error("unexpected status {status}")]
    Status {
        /// Status code of the response.
        status: String,
    },
    /// The body of the response is not valid UTF-8.
    #[error("the body of the response is not UTF-8")]
    NotUtf8,
    /// The body of the response is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// The index of the response is lower than that of the known list: discovery has restarted, and the whole list must
    /// be fetched.
    #[error("the index went back from {known} to {received}")]
    IndexWentBack {
        /// The index of the known list.
        known: u64,
        /// The index of the response.
        received: u64,
    },
    /// The response to a call for the whole list contains only changes.
    #[error("received changes in response to a call for the whole list")]
    ChangesWithoutList,
}
