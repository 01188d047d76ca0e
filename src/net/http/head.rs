//! The head of a message: start line and header section (RFC 9112, sections 2 to 5). No I/O.

use super::error::MessageError;
use crate::config::Limits;

/// The end of the header section: the end of its last line and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The head of a request or of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the start line. Request line: method, request target and version; status line: version,
    /// status code and reason phrase.
    pub start_line: [String; 3],
    /// Names and values of the header section, in order.
    pub headers: Vec<(String, String)>,
}

/// A head that has arrived completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedHead {
    /// The head.
    pub head: Head,
    /// Its bytes, with the empty line behind the header section.
    pub length: usize,
}

impl Head {
    /// Decodes a head; `None` while it is incomplete.
    ///
    /// # Errors
    /// The head is out of form, or exceeds the limits of its bytes or of its header lines.
    pub fn decode(bytes: &[u8], limits: &Limits) -> Result<Option<ReceivedHead>, MessageError> {
        let Some(end) = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
            return if bytes.len() > limits.http_head_bytes { Err(MessageError::TooLarge) } else { Ok(None) };
        };
        if end > limits.http_head_bytes {
            return Err(MessageError::TooLarge);
        }
        let text = std::str::from_utf8(&bytes[..end]).map_err(|_| MessageError::HeadNotUtf8)?;
        let mut lines = text.split("\r\n");
        let start_line = parse_start_line(lines.next().unwrap_or(""))?;
        let mut headers = Vec::new();
        for header_line in lines {
            headers.push(parse_header(header_line)?);
            if headers.len() > limits.http_headers {
                return Err(MessageError::TooLarge);
            }
        }
        Ok(Some(ReceivedHead { head: Head { start_line, headers }, length: end + HEAD_END.len() }))
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        &self.start_line[0]
    }

    /// The target of a request, as it was sent.
    pub fn request_target(&self) -> &str {
        &self.start_line[1]
    }

    /// The HTTP version of a request.
    pub fn request_version(&self) -> &str {
        &self.start_line[2]
    }

    /// The status code of a response, as it was sent.
    pub fn status_text(&self) -> &str {
        &self.start_line[1]
    }

    /// The status code of a response.
    ///
    /// # Errors
    /// The version is none of HTTP/1, or the code has not three digits.
    pub fn status(&self) -> Result<u16, MessageError> {
        let code = self.status_text();
        let has_three_digits = code.len() == 3 && code.bytes().all(|byte| byte.is_ascii_digit());
        if !self.start_line[0].starts_with("HTTP/1.") || !has_three_digits {
            return Err(MessageError::InvalidStatusLine);
        }
        code.parse().map_err(|_| MessageError::InvalidStatusLine)
    }

    /// The first value of a header; names are case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_values(name).next()
    }

    /// All values of a header, in order.
    pub fn header_values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        let named = self.headers.iter().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Whether a header's comma-separated list has an element; both are case-insensitive.
    pub fn list_contains(&self, name: &str, element: &str) -> bool {
        let mut elements = self.header_values(name).flat_map(|value| value.split(','));
        elements.any(|candidate| candidate.trim().eq_ignore_ascii_case(element))
    }

    /// Whether the connection persists after this request (RFC 9112, section 9.3).
    pub fn request_keeps_connection_open(&self) -> bool {
        self.keeps_connection_open(self.request_version())
    }

    /// Whether the connection persists after this response.
    pub fn response_keeps_connection_open(&self) -> bool {
        self.keeps_connection_open(&self.start_line[0])
    }

    fn keeps_connection_open(&self, version: &str) -> bool {
        if self.list_contains("connection", "close") {
            return false;
        }
        version == "HTTP/1.1" || self.list_contains("connection", "keep-alive")
    }
}

/// Splits a start line. A request target is forwarded to hosts as it is: a bare line feed in it would begin a header of
/// the client's own.
fn parse_start_line(line: &str) -> Result<[String; 3], MessageError> {
    let mut parts = line.splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or("").to_string();
    let line = [next_part(), next_part(), next_part()];
    for part in &line[..2] {
        if part.is_empty() || !part.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(MessageError::InvalidStartLine);
        }
    }
    Ok(line)
}

fn parse_header(line: &str) -> Result<(String, String), MessageError> {
    let (name, value) = line.split_once(':').ok_or(MessageError::HeaderWithoutColon)?;
    if !is_token(name) || value.bytes().any(|byte| byte.is_ascii_control() && byte != b'\t') {
        return Err(MessageError::InvalidHeader);
    }
    Ok((name.to_string(), value.trim().to_string()))
}

/// Whether a text is a token (RFC 9110, section 5.6.2).
fn is_token(text: &str) -> bool {
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

#[cfg(test)]
mod tests;
