//! PostgreSQL's protocol 3: its messages, stand-in endpoints and a client.

mod client;
mod endpoint;
mod manual_endpoint;

pub use client::*;
pub use endpoint::*;
pub use manual_endpoint::*;

use std::io::Read;

pub fn pg_message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn pg_startup() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0web\0database\0orders\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

pub fn pg_query(text: &str) -> Vec<u8> {
    pg_message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn pg_read(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// A row of one value, from its description to the end of the command.
pub fn pg_row(value: &[u8]) -> Vec<u8> {
    let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
    let described = pg_message(b'T', &[&1u16.to_be_bytes()[..], b"payload\0", &[0; 18]].concat());
    [described, pg_message(b'D', &data), pg_message(b'C', b"SELECT 1\0")].concat()
}

pub fn pg_field(body: &[u8], name: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&name))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}
