//! Names of the headers that carry what the pooler needs; see `docs/sparql.md`.

/// The class of a request.
pub const CLASS: &str = "Brookpass-Class";
/// The session of a request.
pub const SESSION: &str = "Brookpass-Session";
/// The group that a request is for.
pub const GROUP: &str = "Brookpass-Group";
/// The idempotency key of an update: a group executes one key once.
pub const KEY: &str = "Brookpass-Key";
/// How long the sender waits, in milliseconds.
pub const TIME_LEFT: &str = "Brookpass-Time-Left-Ms";
/// A log position, in Unix milliseconds. From a client: what its read has to include. To a host: what its data must
/// have reached. From a host: how far it has applied the log, or the commit of an update.
pub const POSITION: &str = "Brookpass-Position";
/// Role of a host, in its response: `primary` or `replica`.
pub const ROLE: &str = "Brookpass-Role";
/// Load report of a host, in its response: its load and for how many seconds it has run, as `util=0.61, up=12.5`.
pub const LOAD: &str = "Brookpass-Load";
/// Retry-after hint of a rejection, in milliseconds.
pub const RETRY_AFTER_MS: &str = "Brookpass-Retry-After-Ms";
