//! The limits that do not depend on the resources of the process, with the reasons for their values.
//!
//! Those that do (connections, `message_budget_bytes`, `read_ahead_bytes`) are zero here and set by
//! [`Limits::for_resources`].

use super::{BackoffLimits, CloseLinger, DISCOVERY_CALL_COST, Limits, QueueLimits, YamlLimits};
use std::time::Duration;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Maximum length of a value that a client writes.
const MAX_VALUE_BYTES: usize = 64 * KIB;
/// Maximum length of a value that a backend returns.
const MAX_STORED_VALUE_BYTES: usize = 4 * MIB;

/// The default limits; see the module documentation for those that are zero.
pub const DEFAULTS: Limits = Limits {
    client_connections: 0,
    rejected_connections: 0,
    eviction_threshold: 0,
    client_idle_timeout: Duration::from_secs(60),
    idle_check_interval: Duration::from_millis(50),
    first_request_timeout: Duration::from_millis(2_500),
    silent_client_grace: Duration::from_millis(100),
    departure_check_interval: Duration::from_millis(25),
    client_write_timeout: Duration::from_secs(5),
    close_linger: CloseLinger { timeout: Duration::from_millis(500), bytes: MIB },
    accept_retry_delay: Duration::from_millis(5),
    bind_timeout: Duration::from_secs(20),

    startup_message_bytes: 10_000,
    // A statement contains two digits for each byte of a value.
    client_message_bytes: 2 * MAX_VALUE_BYTES + 4 * KIB,
    unreserved_message_bytes: 16 * KIB,
    message_budget_bytes: 0,
    read_ahead_bytes: 0,
    pipelined_requests: 64,
    http_head_bytes: 16 * KIB,
    http_headers: 100,

    open_requests: 4096,
    input_queue: 1024,
    deadline_grace: Duration::from_millis(10),
    default_client_timeout: Duration::from_secs(30),
    answer_margin: Duration::from_millis(4),
    front_retry_after: Duration::from_millis(200),

    backend_connections: 0,
    connect_timeout: Duration::from_millis(250),
    // The result of `set_backend_idle_timeout` for 15 s, the value in the deployed settings.
    backend_idle_timeout: Duration::from_secs(14),
    pool_sweep_interval: Duration::from_millis(500),
    connection_settle_time: Duration::from_millis(1),
    backend_stall_timeout: Duration::from_secs(10),
    buffered_answer_stall_timeout: Duration::from_millis(120),
    answer_chunks: 4,
    http_answer_buffer_bytes: MIB,
    postgres_row_buffer_bytes: MAX_VALUE_BYTES,
    postgres_row_bytes: MAX_STORED_VALUE_BYTES + KIB,

    discovery_answer_bytes: 4 * MIB,
    // A silent watch must be detected within the 6 s in which a change must be applied, counted from its receipt by
    // discovery. Detection takes one watch, its timeout, the first backoff and another timeout.
    discovery_watch_timeout: Duration::from_secs(2),
    // Together with one probe interval, the time until a silent discovery is probed. A drain must be in use 0.3 s after
    // discovery is back, however short its outage was.
    discovery_short_watch_timeout: Duration::from_millis(100),
    discovery_probe_interval: Duration::from_millis(100),
    discovery_timeout: Duration::from_secs(1),
    // Short, because the 6 s for applying a change also pass while no watch is open.
    discovery_recheck_timeout: Duration::from_millis(100),
    // Together with the longest backoff and another timeout, this stays within the 6 s.
    discovery_timeout_after_failure: Duration::from_millis(2_500),
    discovery_spread: DISCOVERY_CALL_COST,
    discovery_overload_pause: Duration::from_millis(250),
    discovery_backoff: BackoffLimits { min: Duration::from_millis(50), max: Duration::from_secs(1) },
    cached_list_delay: Duration::from_millis(100),
    readiness_timeout: Duration::from_millis(500),
    datagram_bytes: 256,

    file_bytes: 4 * MIB as u64,
    yaml_limits: YamlLimits { nodes: 200_000, depth: 64 },
    file_check_interval: Duration::from_millis(500),

    admin_connections: 0,

    shutdown_accept_period: Duration::from_millis(450),
    shutdown_deadline: Duration::from_secs(3),
    final_answer_margin: Duration::from_millis(100),

    raft_tick: Duration::from_millis(50),
    heartbeat_interval: Duration::from_millis(500),
    agreement_timeout: Duration::from_secs(2),
    proposal_retry_interval: Duration::from_millis(250),
    gossip_save_interval: Duration::from_secs(5),
    peer_connect_timeout: Duration::from_secs(1),
    // A drain of a peer must be in use 0.3 s after the links to it are back.
    peer_connect_interval: Duration::from_millis(150),
    peer_backoff: BackoffLimits { min: Duration::from_millis(50), max: Duration::from_secs(1) },
    pending_drains_interval: Duration::from_millis(100),
    peer_gone_timeout: Duration::from_secs(2),
    // Large enough that a peer that missed ten thousand changes of one endpoint each catches up from the log without a
    // snapshot.
    log_bytes: 4 * MIB,
    log_entries: 16 * 1024,
    fleet_nodes: 32,
    peer_message_bytes: 8 * MIB,
    peer_queue: QueueLimits { messages: 512, bytes: 16 * MIB },
    pending_drains: 10_000,
    observations_per_message: 512,
    recovery_check_interval: Duration::from_millis(20),
    zone_check_interval: Duration::from_millis(100),
};
