//! How the daemon names itself to hosts.

use super::*;

/// Guards against a daemon's name in the operator's file that would add headers of its own.
#[test]
fn a_daemon_name_is_one_token_in_the_via_header() {
    assert_eq!(via_header("b-1.z"), "1.1 b-1.z");
    assert_eq!(via_header("b 1\r\nHost: x"), "1.1 b1Hostx");
    assert_eq!(via_header("\u{e9}"), "1.1 brookpass");
}
