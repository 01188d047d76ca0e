//! What drivers of a tier tell one another: the form of the message, and nothing of what it is worth.

use crate::ids::EndpointId;
use crate::time::Timestamp;

/// First byte of the message, or of its next form.
const SEEN_PRIMARY: u8 = 1;

/// A member said of itself that it is the primary of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryHint {
    /// The member.
    pub endpoint: EndpointId,
    /// When its answer came, on the clock that all machines share.
    pub at: Timestamp,
}

impl PrimaryHint {
    /// As it goes out.
    pub fn write(self) -> Vec<u8> {
        let mut bytes = vec![SEEN_PRIMARY];
        bytes.extend(self.endpoint.ip);
        bytes.extend(self.endpoint.port.to_be_bytes());
        bytes.extend(self.at.as_micros().to_be_bytes());
        bytes
    }

    /// As it came in; `None` where it is cut off, too long or of another form.
    pub fn read(bytes: &[u8]) -> Option<PrimaryHint> {
        let [SEEN_PRIMARY, rest @ ..] = bytes else { return None };
        let (ip, rest) = rest.split_first_chunk::<4>()?;
        let (port, at) = rest.split_first_chunk::<2>()?;
        let endpoint = EndpointId { ip: *ip, port: u16::from_be_bytes(*port) };
        let at = Timestamp::from_micros(i64::from_be_bytes(at.try_into().ok()?));
        Some(PrimaryHint { endpoint, at })
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests;
