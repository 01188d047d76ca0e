//! Bytes of values: a check sum, then serde form.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of a value, a check sum before them.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Our own types have nothing that this form cannot hold.
    let body = postcard::to_allocvec(value).unwrap_or_default();
    let mut out = crc32fast::hash(&body).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// The body of what was written, if it is whole.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let (sum, body) = bytes.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*sum) == crc32fast::hash(body)).then_some(body)
}

/// The value that all of a body makes.
fn value<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

/// A value from its bytes; `None` where they are not whole, changed or of another form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    value(body(bytes)?)
}

/// A value from bytes that an earlier version wrote, whose form ended before `missing`.
pub fn decode_earlier<T: DeserializeOwned>(bytes: &[u8], missing: &[u8]) -> Option<T> {
    value(&[body(bytes)?, missing].concat())
}

#[cfg(test)]
mod tests;
