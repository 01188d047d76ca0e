//! The encoding of records in storage and between peers: the CRC-32 of the body, four bytes with the highest first,
//! then the body in postcard's form.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The encoded form of a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Postcard cannot fail on this program's types: none of them is a sequence of unknown length.
    let body = postcard::to_allocvec(value).unwrap_or_default();
    let mut encoded = crc32fast::hash(&body).to_be_bytes().to_vec();
    encoded.extend(body);
    encoded
}

/// The value of an encoded form; `None`: the bytes were changed or cut short, or are the form of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode_body(checked_body(bytes)?)
}

/// The value of a form that an earlier version has encoded, before fields were added at the end of the type.
/// `missing_fields`: the body of these fields, as a value without any content has it.
pub fn decode_earlier<T: DeserializeOwned>(bytes: &[u8], missing_fields: &[u8]) -> Option<T> {
    let completed_body = [checked_body(bytes)?, missing_fields].concat();
    decode_body(&completed_body)
}

/// The body, if its checksum is right.
fn checked_body(bytes: &[u8]) -> Option<&[u8]> {
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    let is_intact = u32::from_be_bytes(*checksum) == crc32fast::hash(body);
    is_intact.then_some(body)
}

/// The value of a body, if it takes up the whole body.
fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

#[cfg(test)]
mod tests;
