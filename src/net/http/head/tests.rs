//! Heads that are out of form.

use super::*;

/// Guards against headers that a client smuggles into the request that is forwarded to a host.
#[test]
fn a_request_target_with_a_line_feed_is_rejected() {
    for text in ["GET /a\nX: y HTTP/1.1\r\n\r\n", "GET /a\rX: y HTTP/1.1\r\n\r\n", "GET  HTTP/1.1\r\n\r\n"] {
        assert!(Head::decode(text.as_bytes(), &Limits::for_sockets(64)).is_err(), "{text:?}");
    }
}
