//! Why a call to discovery gave no list. The last list stays in use in every case.

use crate::endpoint_list_json::EndpointListError;
use std::io;
use thiserror::Error;

/// Why a call to discovery gave no list.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// Discovery cannot be reached, the connection broke, or the answer is not HTTP.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No complete answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// Discovery has no capacity for this call.
    #[error("overloaded: status {status}")]
    Overloaded {
        /// The status code.
        status: String,
    },
    /// Another status than 200.
    #[error("status {status}")]
    Status {
        /// The status code.
        status: String,
    },
    /// The answer is not text.
    #[error("the list is not UTF-8")]
    NotUtf8,
    /// The answer is not a list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// Changes to an older list than the one that is held: discovery has restarted, and the whole list must be fetched.
    #[error("the index went back from {held} to {received}")]
    IndexWentBack {
        /// The index of the list that is held.
        held: u64,
        /// The index of the answer.
        received: u64,
    },
    /// Changes came in answer to a call for the whole list.
    #[error("changes where the whole list was asked for")]
    ChangesWithoutList,
}
