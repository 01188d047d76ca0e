//! Headers that the pooler defines, for requests and responses; see `docs/sparql.md`.

/// From a client, forwarded to endpoints: the class of a request.
pub const CLASS: &str = "Brookpass-Class";
/// From a client, forwarded to endpoints: the name of the session that the request belongs to.
pub const SESSION: &str = "Brookpass-Session";
/// From a client, forwarded to endpoints: the number of the group that the request is for.
pub const GROUP: &str = "Brookpass-Group";
/// From a client, forwarded to endpoints: the idempotency key of an update. A group executes each key at most once.
pub const KEY: &str = "Brookpass-Key";
/// In requests from clients and to endpoints: how long the sender waits for the response, in milliseconds.
pub const TIME_LEFT: &str = "Brookpass-Time-Left-Ms";
/// A log position, in milliseconds of Unix time. From a client: the position that the answer must include. To an
/// endpoint: the position that its data must have reached. From an endpoint: the position up to which it has applied
/// the log, or the position of the commit of an update.
pub const POSITION: &str = "Brookpass-Position";
/// In responses of endpoints: the endpoint's role, `primary` or `replica`.
pub const ROLE: &str = "Brookpass-Role";
/// In responses of endpoints: the endpoint's load and its uptime in seconds, for example `util=0.61, up=12.5`.
pub const LOAD: &str = "Brookpass-Load";
/// In error responses to clients: how long to wait before a retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "Brookpass-Retry-After-Ms";
