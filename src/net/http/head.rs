//! The head of a message: start line and header section (RFC 9112, sections 2 to 5). No I/O.

use super::error::MessageError;
use crate::config::Limits;

/// Ends the header section: the CRLF of its last line, and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The head of a request or of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the start line: method, request target and version of a request; version, status code and
    /// reason phrase of a response.
    start_line: [String; 3],
    /// Names and values of the headers, in the order in which they were received.
    pub headers: Vec<(String, String)>,
}

/// A head that was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedHead {
    /// The decoded head.
    pub head: Head,
    /// Its length in bytes, including the empty line after the header section.
    pub length: usize,
}

impl Head {
    /// Decodes a head; `None` while it is incomplete.
    ///
    /// # Errors
    /// The head is malformed, or exceeds the limit on its bytes or on its number of headers.
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

    /// The method of a request, for example `GET`.
    pub fn method(&self) -> &str {
        &self.start_line[0]
    }

    /// The target of a request as it was sent, still percent-encoded.
    pub fn request_target(&self) -> &str {
        &self.start_line[1]
    }

    /// The HTTP version of a request, for example `HTTP/1.1`; empty if the request line ends after the target.
    pub fn request_version(&self) -> &str {
        &self.start_line[2]
    }

    /// The HTTP version of a response, for example `HTTP/1.1`.
    fn response_version(&self) -> &str {
        &self.start_line[0]
    }

    /// The status code of a response as it was sent. [`Head::status`] validates it.
    pub fn status_text(&self) -> &str {
        &self.start_line[1]
    }

    /// The status code of a response, as a number.
    ///
    /// # Errors
    /// The version is not HTTP/1.x, or the code does not have three digits.
    pub fn status(&self) -> Result<u16, MessageError> {
        let code = self.status_text();
        let has_three_digits = code.len() == 3 && code.bytes().all(|byte| byte.is_ascii_digit());
        if !self.response_version().starts_with("HTTP/1.") || !has_three_digits {
            return Err(MessageError::InvalidStatusLine);
        }
        code.parse().map_err(|_| MessageError::InvalidStatusLine)
    }

    /// The value of a header, the first one if there are several; `None` if there is none. `name` is
    /// case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_values(name).next()
    }

    /// All values of a header, in the order in which they were received. `name` is case-insensitive.
    pub fn header_values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        let matching = self.headers.iter().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        matching.map(|(_, value)| value.as_str())
    }

    /// Whether the comma-separated list in a header contains an element; `name` and `element` are case-insensitive.
    pub fn list_contains(&self, name: &str, element: &str) -> bool {
        let mut elements = self.header_values(name).flat_map(|value| value.split(','));
        elements.any(|candidate| candidate.trim().eq_ignore_ascii_case(element))
    }

    /// Whether the connection persists after this request (RFC 9112, section 9.3).
    pub fn request_keeps_connection_open(&self) -> bool {
        self.keeps_connection_open(self.request_version())
    }

    /// Whether the connection persists after this response (RFC 9112, section 9.3).
    pub fn response_keeps_connection_open(&self) -> bool {
        self.keeps_connection_open(self.response_version())
    }

    fn keeps_connection_open(&self, version: &str) -> bool {
        if self.list_contains("connection", "close") {
            return false;
        }
        version == "HTTP/1.1" || self.list_contains("connection", "keep-alive")
    }
}

/// Splits a start line into its three parts. The query string of a request target is forwarded to endpoints as it is,
/// so a bare line feed in it would let the client inject a header. Only visible ASCII is accepted.
fn parse_start_line(line: &str) -> Result<[String; 3], MessageError> {
    let mut parts = line.splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or("").to_string();
    let start_line = [next_part(), next_part(), next_part()];
    for part in &start_line[..2] {
        if part.is_empty() || !part.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(MessageError::InvalidStartLine);
        }
    }
    Ok(start_line)
}

fn parse_header(line: &str) -> Result<(String, String), MessageError> {
    let (name, value) = line.split_once(':').ok_or(MessageError::HeaderWithoutColon)?;
    if !is_token(name) || value.bytes().any(|byte| byte.is_ascii_control() && byte != b'\t') {
        return Err(MessageError::InvalidHeader);
    }
    Ok((name.to_string(), value.trim().to_string()))
}

/// Whether `text` is a token (RFC 9110, section 5.6.2), as the name of a header must be.
fn is_token(text: &str) -> bool {
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

#[cfg(test)]
mod tests;
