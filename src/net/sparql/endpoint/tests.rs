//! The `Via` header of requests to endpoints.

use super::*;

/// Guards against header injection by a line break in the pooler's name, which comes from the operator's file.
#[test]
fn the_pooler_name_is_a_single_token_in_the_via_header() {
    assert_eq!(via_header("b-1.z"), "1.1 b-1.z");
    assert_eq!(via_header("b 1\r\nHost: x"), "1.1 b1Hostx");
    assert_eq!(via_header("\u{e9}"), "1.1 brookpass");
}
