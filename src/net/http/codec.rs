//! Heads and bodies of HTTP/1.1 messages, from bytes and to bytes. No I/O.

use crate::config::Limits;
use std::fmt;

/// The longest line between chunks: a size and what we pass over.
const CHUNK_LINE: usize = 1024;

/// Bytes of all trailer lines of a message.
const TRAILER: usize = 16 * 1024;

/// Why a message was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Out of form.
    Form(&'static str),
    /// Larger than allowed.
    TooLarge,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Form(what) => f.write_str(what),
            Malformed::TooLarge => f.write_str("the message is too large"),
        }
    }
}

/// A start line with its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the start line.
    pub line: [String; 3],
    /// Names and values in order.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header, by name without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a header's list of words holds `word`.
    pub fn has(&self, name: &str, word: &str) -> bool {
        let named = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.flat_map(|(_, v)| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection stays open after this message.
    pub fn keeps_open(&self, version: &str) -> bool {
        !self.has("connection", "close") && (version == "HTTP/1.1" || self.has("connection", "keep-alive"))
    }
}

fn token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// Reads a head once it is whole: the head and the bytes that it took.
pub fn head(bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, Malformed> {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() > limits.http_head { Err(Malformed::TooLarge) } else { Ok(None) };
    };
    if end > limits.http_head {
        return Err(Malformed::TooLarge);
    }
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed::Form("the head is not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or("").splitn(3, ' ');
    let mut part = || parts.next().unwrap_or("").to_string();
    let line = [part(), part(), part()];
    // A target passes on to hosts as it is: a bare line feed in it would begin a header of the client's own.
    if line[..2].iter().any(|part| part.is_empty() || !part.bytes().all(|b| b.is_ascii_graphic())) {
        return Err(Malformed::Form("the start line is out of form"));
    }
    let mut headers = Vec::new();
    for l in lines {
        let (name, value) = l.split_once(':').ok_or(Malformed::Form("a header has no colon"))?;
        if !token(name) || value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
            return Err(Malformed::Form("a header is out of form"));
        }
        headers.push((name.to_string(), value.trim().to_string()));
        if headers.len() > limits.http_headers {
            return Err(Malformed::TooLarge);
        }
    }
    Ok(Some((Head { line, headers }, end + 4)))
}

/// Reads a body piece by piece as its head frames it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes are still to come.
    Length(usize),
    /// Chunks, of which so many bytes of the present one are still to come.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// A chunk's size is next.
    ChunkSize,
    /// Trailer lines are next, of so many bytes at the most.
    Trailer(usize),
    /// All until the stream ends.
    UntilEnd,
    /// Whole.
    Done,
}

impl Body {
    /// The framing that a head states; `answer`: without one, the body lasts until the stream ends.
    pub fn of(head: &Head, answer: bool) -> Result<Body, Malformed> {
        let mut lengths = head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
        let length = lengths.next().map(|(_, v)| v.as_str());
        // Two framings in one message are how requests are smuggled past each other.
        if lengths.any(|(_, v)| Some(v.as_str()) != length) {
            return Err(Malformed::Form("two lengths"));
        }
        match (head.get("transfer-encoding"), length) {
            (Some(_), Some(_)) => Err(Malformed::Form("a length and a transfer coding")),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Body::ChunkSize),
            (Some(_), None) => Err(Malformed::Form("unknown transfer coding")),
            (None, Some(v)) if v.bytes().all(|b| b.is_ascii_digit()) => match v.parse() {
                Ok(0) => Ok(Body::Done),
                Ok(n) => Ok(Body::Length(n)),
                Err(_) => Err(Malformed::TooLarge),
            },
            (None, Some(_)) => Err(Malformed::Form("the length is no number")),
            (None, None) if answer && !matches!(head.line[1].as_str(), "204" | "304") => Ok(Body::UntilEnd),
            (None, None) => Ok(Body::Done),
        }
    }

    /// Takes bytes that came in, appends what belongs to the body, tells how many it used.
    pub fn take(&mut self, bytes: &[u8], into: &mut Vec<u8>, most: usize) -> Result<usize, Malformed> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self {
                Body::Done => return Ok(used),
                Body::UntilEnd => {
                    into.extend_from_slice(rest);
                    used = bytes.len();
                }
                Body::Length(left) | Body::Chunk(left) => {
                    let n = rest.len().min(*left);
                    into.extend_from_slice(&rest[..n]);
                    used += n;
                    *left -= n;
                    if *left == 0 {
                        *self = if matches!(self, Body::Chunk(_)) { Body::ChunkEnd } else { Body::Done };
                        continue;
                    }
                }
                Body::ChunkEnd | Body::ChunkSize | Body::Trailer(_) => {
                    let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                        return if rest.len() > CHUNK_LINE { Err(Malformed::TooLarge) } else { Ok(used) };
                    };
                    let line =
                        std::str::from_utf8(&rest[..end]).map_err(|_| Malformed::Form("a chunk line"))?;
                    used += end + 2;
                    *self = match self {
                        Body::ChunkEnd if line.is_empty() => Body::ChunkSize,
                        Body::ChunkEnd => return Err(Malformed::Form("a chunk is longer than its size")),
                        Body::Trailer(_) if line.is_empty() => Body::Done,
                        Body::Trailer(left) => {
                            Body::Trailer(left.checked_sub(line.len() + 2).ok_or(Malformed::TooLarge)?)
                        }
                        _ => {
                            let size = line.split(';').next().unwrap_or("").trim();
                            let form = size.bytes().all(|b| b.is_ascii_hexdigit()) && !size.is_empty();
                            let size = usize::from_str_radix(size, 16).ok().filter(|_| form);
                            match size.ok_or(Malformed::Form("a chunk's size is no number"))? {
                                0 => Body::Trailer(TRAILER),
                                n => Body::Chunk(n),
                            }
                        }
                    };
                    continue;
                }
            }
            if into.len() > most {
                return Err(Malformed::TooLarge);
            }
            return Ok(used);
        }
    }
}

#[cfg(test)]
mod tests;
