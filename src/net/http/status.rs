//! Status codes (RFC 9110, section 15) and their reason phrases.

/// 101.
pub const SWITCHING_PROTOCOLS: u16 = 101;
/// 200.
pub const OK: u16 = 200;
/// 204: a response without a body.
pub const NO_CONTENT: u16 = 204;
/// 304: a response without a body.
pub const NOT_MODIFIED: u16 = 304;
/// 400.
pub const BAD_REQUEST: u16 = 400;
/// 403.
pub const FORBIDDEN: u16 = 403;
/// 404.
pub const NOT_FOUND: u16 = 404;
/// 405.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// 408.
pub const REQUEST_TIMEOUT: u16 = 408;
/// 409.
pub const CONFLICT: u16 = 409;
/// 412.
pub const PRECONDITION_FAILED: u16 = 412;
/// 413.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// 415.
pub const UNSUPPORTED_MEDIA_TYPE: u16 = 415;
/// 421.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// 429 (RFC 6585).
pub const TOO_MANY_REQUESTS: u16 = 429;
/// 431 (RFC 6585).
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// 501.
pub const NOT_IMPLEMENTED: u16 = 501;
/// 502.
pub const BAD_GATEWAY: u16 = 502;
/// 503.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// 504.
pub const GATEWAY_TIMEOUT: u16 = 504;
/// 505.
pub const HTTP_VERSION_NOT_SUPPORTED: u16 = 505;

/// The reason phrase of a status that this program sends; `Other` for the rest, which it only forwards.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        OK => "OK",
        NO_CONTENT => "No Content",
        BAD_REQUEST => "Bad Request",
        FORBIDDEN => "Forbidden",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONFLICT => "Conflict",
        CONTENT_TOO_LARGE => "Content Too Large",
        UNSUPPORTED_MEDIA_TYPE => "Unsupported Media Type",
        REQUEST_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        NOT_IMPLEMENTED => "Not Implemented",
        BAD_GATEWAY => "Bad Gateway",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        GATEWAY_TIMEOUT => "Gateway Timeout",
        HTTP_VERSION_NOT_SUPPORTED => "HTTP Version Not Supported",
        _ => "Other",
    }
}
