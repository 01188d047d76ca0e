//! Query strings and urlencoded forms.

use super::codec::Malformed;

/// Decodes one name or value.
fn decode(text: &str) -> Result<String, Malformed> {
    let (mut out, mut bytes) = (Vec::with_capacity(text.len()), text.bytes());
    while let Some(b) = bytes.next() {
        out.push(match b {
            b'+' => b' ',
            b'%' => {
                let mut digit = || bytes.next().and_then(|d| char::from(d).to_digit(16));
                let pair = digit().zip(digit()).ok_or(Malformed::Form("a broken percent escape"))?;
                (pair.0 * 16 + pair.1) as u8
            }
            b => b,
        });
    }
    String::from_utf8(out).map_err(|_| Malformed::Form("a parameter is not UTF-8"))
}

/// The pairs of a query string or form.
pub fn pairs(text: &str) -> Result<Vec<(String, String)>, Malformed> {
    let part = |p: &str| {
        let (name, value) = p.split_once('=').unwrap_or((p, ""));
        Ok((decode(name)?, decode(value)?))
    };
    text.split('&').filter(|p| !p.is_empty()).map(part).collect()
}
