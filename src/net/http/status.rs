//! Status codes (RFC 9110, section 15) and their reason phrases.

/// 101: the server accepts the upgrade of the connection to another protocol.
pub const SWITCHING_PROTOCOLS: u16 = 101;
/// 200: success.
pub const OK: u16 = 200;
/// 204: success; the response has no body.
pub const NO_CONTENT: u16 = 204;
/// 304: a conditional request found nothing new; the response has no body.
pub const NOT_MODIFIED: u16 = 304;
/// 400: the request is malformed.
pub const BAD_REQUEST: u16 = 400;
/// 403: the sender may not make this request.
pub const FORBIDDEN: u16 = 403;
/// 404: the path or the group is unknown.
pub const NOT_FOUND: u16 = 404;
/// 405: the path does not support the method; the response has an `Allow` header.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// 408: the request was not complete in time.
pub const REQUEST_TIMEOUT: u16 = 408;
/// 409: the state of the server rules out the request.
pub const CONFLICT: u16 = 409;
/// 412: the data does not reach the required log position, or a commit of the session was lost.
pub const PRECONDITION_FAILED: u16 = 412;
/// 413: the body exceeds the limit.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// 415: the media type of the body is not supported.
pub const UNSUPPORTED_MEDIA_TYPE: u16 = 415;
/// 421: the request was sent to an endpoint that does not serve it.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// 429 (RFC 6585): the server limits the rate of requests.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// 431 (RFC 6585): the head exceeds the limit.
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// 500: the server failed.
pub const INTERNAL_SERVER_ERROR: u16 = 500;
/// 501: the server does not support what the request requires.
pub const NOT_IMPLEMENTED: u16 = 501;
/// 502: no usable response from an endpoint.
pub const BAD_GATEWAY: u16 = 502;
/// 503: overloaded, or not serving at the moment.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// 504: no response from an endpoint in time.
pub const GATEWAY_TIMEOUT: u16 = 504;
/// 505: the major version of HTTP is not supported.
pub const HTTP_VERSION_NOT_SUPPORTED: u16 = 505;

/// The reason phrase of a status code that the pooler sends itself; `Other` for all others, which are only forwarded.
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
