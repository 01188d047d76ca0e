//! The datagram by which a pooler notifies the other poolers of its tier of a primary. This module only encodes and
//! decodes it; `routing::learning` decides how far a hint is trusted.
//!
//! Format, in network byte order: the kind (1 byte), the endpoint's address (4) and port (2), and the time (8, signed
//! microseconds). Poolers of two versions share a tier during an upgrade, so a format never changes; a new one gets its
//! own kind.

use crate::ids::EndpointId;
use crate::time::Timestamp;

/// Kind of a datagram that names a primary.
const KIND_PRIMARY_SEEN: u8 = 1;

/// An endpoint responded that it is the primary of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryHint {
    /// The endpoint that responded.
    pub endpoint: EndpointId,
    /// When its response arrived, in Unix time.
    pub at: Timestamp,
}

impl PrimaryHint {
    /// Encodes the hint as a datagram.
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = vec![KIND_PRIMARY_SEEN];
        bytes.extend(self.endpoint.ip);
        bytes.extend(self.endpoint.port.to_be_bytes());
        bytes.extend(self.at.as_micros().to_be_bytes());
        bytes
    }

    /// Decodes a datagram; `None` if it is truncated, too long or of another kind.
    pub fn decode(bytes: &[u8]) -> Option<PrimaryHint> {
        let [KIND_PRIMARY_SEEN, rest @ ..] = bytes else { return None };
        let (ip, rest) = rest.split_first_chunk::<4>()?;
        let (port, time) = rest.split_first_chunk::<2>()?;
        let endpoint = EndpointId { ip: *ip, port: u16::from_be_bytes(*port) };
        let at = Timestamp::from_micros(i64::from_be_bytes(time.try_into().ok()?));
        Some(PrimaryHint { endpoint, at })
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests;
