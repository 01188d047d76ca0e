//! Messages of the protocol, from bytes and to bytes. No I/O.

/// What begins a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// A startup message, version 3.
    Plain,
    /// The client asks for encryption.
    Encryption,
    /// The client wants another connection's request cancelled.
    Cancel,
}

/// Out of form, with the reason in words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

fn u32_at(b: &[u8], at: usize) -> Option<u32> {
    b.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes)
}

/// Reads the first message of a connection once it is whole: what it is and its length.
pub fn startup(bytes: &[u8], most: usize) -> Result<Option<(Startup, usize)>, Malformed> {
    let (Some(length), version) = (u32_at(bytes, 0), u32_at(bytes, 4)) else { return Ok(None) };
    let length = length as usize;
    if !(8..=most).contains(&length) {
        return Err(Malformed("the startup message has an impossible length"));
    }
    let Some(body) = bytes.get(8..length) else { return Ok(None) };
    let kind = match version {
        Some(80_877_102) => Startup::Cancel,
        Some(80_877_103 | 80_877_104) => Startup::Encryption,
        Some(v) if v >> 16 == 3 && body.last() == Some(&0) => Startup::Plain,
        Some(v) if v >> 16 == 3 => return Err(Malformed("the startup message does not end")),
        _ => return Err(Malformed("only version 3 of the protocol is spoken")),
    };
    Ok(Some((kind, length)))
}

/// A message: its kind, its body, and how many bytes it took.
pub type Message<'a> = (u8, &'a [u8], usize);

/// Reads a message once it is whole.
pub fn message(bytes: &[u8], most: usize) -> Result<Option<Message<'_>>, Malformed> {
    let (Some(&kind), Some(length)) = (bytes.first(), u32_at(bytes, 1)) else { return Ok(None) };
    let length = length as usize;
    if length < 4 {
        return Err(Malformed("a message has an impossible length"));
    }
    if length > most {
        return Err(Malformed("a message is too long"));
    }
    Ok(bytes.get(5..=length).map(|body| (kind, body, length + 1)))
}

/// Appends a message.
pub fn put(out: &mut Vec<u8>, kind: u8, body: &[&[u8]]) {
    let length: usize = body.iter().map(|b| b.len()).sum();
    out.push(kind);
    out.extend_from_slice(&(length as u32 + 4).to_be_bytes());
    body.iter().for_each(|b| out.extend_from_slice(b));
}

/// ReadyForQuery, idle.
pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// What a server says after a startup message.
pub fn welcome(out: &mut Vec<u8>) {
    put(out, b'R', &[&[0; 4]]);
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        parameter(out, name, value);
    }
    ready(out);
}

/// ParameterStatus.
pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
}

/// ErrorResponse.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<&str>) {
    let severity: &[u8] = if fatal { b"FATAL\0" } else { b"ERROR\0" };
    let mut body = Vec::new();
    for (field, value) in [(b'S', severity), (b'V', severity)] {
        body.push(field);
        body.extend_from_slice(value);
    }
    for (field, value) in [(b'C', Some(code)), (b'M', Some(text)), (b'D', detail)] {
        if let Some(value) = value {
            body.push(field);
            body.extend(value.bytes().filter(|b| *b != 0));
            body.push(0);
        }
    }
    put(out, b'E', &[&body, b"\0"]);
}

/// A field of an ErrorResponse.
pub fn field(body: &[u8], name: u8) -> Option<&str> {
    let mut fields = body.split(|b| *b == 0);
    let found = fields.find(|f| f.first() == Some(&name))?;
    std::str::from_utf8(&found[1..]).ok()
}

/// Name and value of a ParameterStatus.
pub fn status(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = body.split(|b| *b == 0);
    let mut part = || parts.next().and_then(|p| std::str::from_utf8(p).ok());
    Some((part()?, part()?))
}

/// A startup message.
pub fn hello(user: &str, database: &str) -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    for word in ["user", user, "database", database, ""] {
        body.extend_from_slice(word.as_bytes());
        body.push(0);
    }
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put(&mut out, b'Q', &[text.as_bytes(), b"\0"]);
    out
}

/// The text of a simple query's body.
pub fn query_text(body: &[u8]) -> Result<&str, Malformed> {
    let Some((0, text)) = body.split_last() else { return Err(Malformed("a query does not end")) };
    if text.contains(&0) {
        return Err(Malformed("a query has a zero byte inside"));
    }
    std::str::from_utf8(text).map_err(|_| Malformed("a query is not UTF-8"))
}
