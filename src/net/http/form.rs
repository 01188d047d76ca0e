//! URL-encoded parameters, in query strings and in bodies of type `application/x-www-form-urlencoded`.

use super::error::FormError;

/// Decodes the parameters of a query string or a form into names and values, in order. A parameter without `=` has an
/// empty value.
///
/// # Errors
/// A percent sign is not followed by two hexadecimal digits, or a name or value is not valid UTF-8.
pub fn decode_parameters(text: &str) -> Result<Vec<(String, String)>, FormError> {
    let mut parameters = Vec::new();
    for parameter in text.split('&') {
        if parameter.is_empty() {
            continue;
        }
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        parameters.push((percent_decode(name)?, percent_decode(value)?));
    }
    Ok(parameters)
}

/// Decodes a name or a value: `+` is a space, `%XX` a byte.
fn percent_decode(text: &str) -> Result<String, FormError> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'+' => decoded.push(b' '),
            b'%' => {
                let high = hex_digit(bytes.next())?;
                let low = hex_digit(bytes.next())?;
                decoded.push(high * 16 + low);
            }
            other => decoded.push(other),
        }
    }
    String::from_utf8(decoded).map_err(|_| FormError::NotUtf8)
}

fn hex_digit(byte: Option<u8>) -> Result<u8, FormError> {
    let digit = byte.and_then(|byte| char::from(byte).to_digit(16));
    let digit = digit.and_then(|digit| u8::try_from(digit).ok());
    digit.ok_or(FormError::InvalidPercentEncoding)
}
