//! The encoding of records in storage and between peers: the CRC-32 of the body as four big-endian bytes, followed by
//! the body in postcard format.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value, with its checksum in front.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Postcard only fails on sequences of unknown length, and no type of this program has one.
    let body = postcard::to_allocvec(value).unwrap_or_default();
    let mut encoded = crc32fast::hash(&body).to_be_bytes().to_vec();
    encoded.extend(body);
    encoded
}

/// Decodes a value. Returns `None` if the bytes are corrupted or truncated, or encode a value of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode_body(checked_body(bytes)?)
}

/// Decodes a value that an earlier version encoded before fields were added at the end of the type. `default_fields`
/// is the encoded body of the added fields, with their default values.
pub fn decode_with_defaults<T: DeserializeOwned>(bytes: &[u8], default_fields: &[u8]) -> Option<T> {
    let completed_body = [checked_body(bytes)?, default_fields].concat();
    decode_body(&completed_body)
}

/// Returns the body if it matches its checksum.
fn checked_body(bytes: &[u8]) -> Option<&[u8]> {
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    let is_intact = u32::from_be_bytes(*checksum) == crc32fast::hash(body);
    is_intact.then_some(body)
}

/// Decodes a body. Returns `None` if bytes are left over after the value.
fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

#[cfg(test)]
mod tests;
