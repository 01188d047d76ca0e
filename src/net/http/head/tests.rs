//! Malformed heads.

use super::*;

/// Guards against a client that injects a header into the request that is forwarded to an endpoint, by a line feed in
/// the request target.
#[test]
fn invalid_request_targets_are_rejected() {
    for text in ["GET /a\nX: y HTTP/1.1\r\n\r\n", "GET /a\rX: y HTTP/1.1\r\n\r\n", "GET  HTTP/1.1\r\n\r\n"] {
        assert!(Head::decode(text.as_bytes(), &Limits::for_sockets(64)).is_err(), "{text:?}");
    }
}
