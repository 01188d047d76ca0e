//! Bodies that arrive in pieces, are truncated, or are malformed.

use super::*;
use crate::config::Limits;

/// Decodes the body of a response that arrives in pieces of `piece_bytes`. Returns its data, and whether it is
/// complete.
fn decode(text: &str, piece_bytes: usize) -> Result<(Vec<u8>, bool), MessageError> {
    let received = Head::decode(text.as_bytes(), &Limits::for_sockets(64))?.expect("the head is complete");
    let mut body = BodyDecoder::for_response(&received.head)?;
    let mut data = Vec::new();
    let mut buffer = Vec::new();
    for bytes in text.as_bytes()[received.length..].chunks(piece_bytes) {
        buffer.extend_from_slice(bytes);
        let used = body.decode(&buffer, &mut data, 4096)?;
        buffer.drain(..used);
    }
    Ok((data, body.is_complete()))
}

#[test]
fn a_chunked_body_decodes_the_same_in_pieces_of_any_size() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nA: b\r\n\r\n";
    for piece_bytes in 1..text.len() {
        assert_eq!(
            decode(text, piece_bytes),
            Ok((b"hello world".to_vec(), true)),
            "in pieces of {piece_bytes}"
        );
    }
}

/// Guards against forwarding a response that the server truncated as if it were complete.
#[test]
fn a_truncated_body_is_not_complete() {
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello";
    assert_eq!(decode(cut, 100), Ok((b"hello".to_vec(), false)));
    let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    assert_eq!(decode(cut, 100), Ok((b"hello".to_vec(), false)));
}

/// Guards against request smuggling, which relies on two programs reading contradictory framings differently.
#[test]
fn contradictory_framings_are_rejected() {
    for headers in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Transfer-Encoding: gzip, chunked",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\nabc");
        assert!(decode(&text, 100).is_err(), "{headers}");
    }
}

/// Guards against a trailer section that never ends: neither a length nor a deadline bounds a response that is being
/// streamed.
#[test]
fn endless_trailer_sections_are_rejected() {
    let trailers = |lines: usize| {
        let prefix = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
        decode(&format!("{prefix}{}\r\n", "A: bcdefgh\r\n".repeat(lines)), 4096)
    };
    assert_eq!(trailers(100), Ok((b"x".to_vec(), true)));
    assert_eq!(trailers(2_000), Err(MessageError::TooLarge));
}
