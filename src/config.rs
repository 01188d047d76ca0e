//! The program's limits: all sizes, counts and durations that bound its work.
//!
//! [`Limits`] are computed once at the start from the resources of the process ([`ProcessResources`]) and passed down.
//! The values that do not depend on these resources are in `defaults`, with their reasons.

mod defaults;

use crate::time::TimeDelta;
use defaults::DEFAULTS;
use std::time::Duration;

/// Default number of file descriptors that a process may use.
pub const DEFAULT_SOCKETS: usize = 1024;
/// Default memory that a process may use, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Maximum concurrent connections to the administration server. Some of them are silent for seconds.
const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Further connections to the administration server, which only receive an error.
const MAX_REJECTED_ADMIN_CONNECTIONS: usize = MAX_ADMIN_CONNECTIONS / 4;
/// File descriptors of a platform daemon that serve neither client nor backend connections: standard streams, three of
/// the reactor, signals, the listener, two calls to discovery, the peer socket, and one file being read.
const PLATFORM_RESERVED_SOCKETS: usize = 20;
/// The same for an operator's daemon, which also needs them for the store with its clients and peers.
const OPERATOR_RESERVED_SOCKETS: usize = 40;
/// Minimum number of client and backend connections, even if all descriptors are reserved.
const MIN_FREE_SOCKETS: usize = 16;
/// Time that an overloaded discovery takes for one call. Repeated calls are spread over this time multiplied by the
/// number of poolers.
const DISCOVERY_CALL_COST: Duration = Duration::from_millis(200);
/// Mean time between two calls of a tier to the one discovery that its poolers share, while it responds or is probed.
const SHARED_DISCOVERY_CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of poolers in a tier above which the spread of their calls no longer grows.
const MAX_SPREAD_POOLERS: u32 = 10_000;
/// Maximum spread of the calls that are repeated after discovery rejected them. A change must take effect within 6 s
/// after discovery becomes reachable: a rejection is followed by this pause and one call of up to `discovery_timeout`.
const MAX_DISCOVERY_SPREAD: Duration = Duration::from_secs(5);
/// A pooler without peers stops accepting connections this long before it exits, so that it can answer open requests.
const LAST_ACCEPT_MARGIN: Duration = Duration::from_millis(250);
/// Time from the last deadline of a client to the exit of the process. SIGKILL follows the longest deadline by 0.7 s.
const EXIT_MARGIN: Duration = Duration::from_millis(550);
/// Idle timeout of clients that share connection slots with others, see [`Limits::share_client_connections`].
const SHARED_CLIENT_IDLE: Duration = Duration::from_secs(2);
/// Backend idle timeouts of this length or more are treated as a mistake in the settings, and the default is used.
const MAX_BACKEND_IDLE_SECS: f64 = 86_400.0;

/// The program's limits.
#[derive(Clone, Debug)]
pub struct Limits {
    // Client connections.
    /// Maximum concurrent client connections that are served.
    pub client_connections: usize,
    /// Maximum concurrent client connections beyond these, which only receive an error.
    pub rejected_connections: usize,
    /// Number of client connections with at least one request above which connections with only one are evicted first.
    pub eviction_threshold: usize,
    /// A client connection that is idle for this long is closed.
    pub client_idle_timeout: Duration,
    /// Interval between checks for idle client connections.
    pub idle_check_interval: Duration,
    /// Timeout for receiving a complete request: the first one counts from the accepted connection, any further one
    /// from its first byte.
    pub first_request_timeout: Duration,
    /// A client that sends no complete request for this long may be evicted in favor of one that does.
    pub silent_client_grace: Duration,
    /// A request that was buffered for this long is forwarded only if its client is still connected. Also the interval
    /// of that check while a client's input is not read.
    pub departure_check_interval: Duration,
    /// Timeout for writing an answer to a client.
    pub client_write_timeout: Duration,
    /// Limits for reading from a connection that is being closed.
    pub close_linger: CloseLinger,
    /// Delay after a failure to accept a connection.
    pub accept_retry_delay: Duration,
    /// How long to wait for a listening address that another process still uses.
    pub bind_timeout: Duration,

    // Messages from clients.
    /// Maximum length of a client's startup message.
    pub startup_message_bytes: usize,
    /// Maximum length of any other message from a client.
    pub client_message_bytes: usize,
    /// Bytes of a message that may be buffered for a client without a reservation from `message_budget_bytes`.
    pub unreserved_message_bytes: usize,
    /// Total bytes that may be buffered for the longer messages of all clients.
    pub message_budget_bytes: usize,
    /// Maximum bytes read ahead while a client has open requests. Also the total length of these requests at which no
    /// further one is accepted.
    pub read_ahead_bytes: usize,
    /// Maximum open requests of one connection.
    pub pipelined_requests: usize,
    /// Maximum length of an HTTP message head.
    pub http_head_bytes: usize,
    /// Maximum number of headers of an HTTP message.
    pub http_headers: usize,

    // The engine.
    /// Maximum concurrent open requests.
    pub open_requests: usize,
    /// Capacity of the engine thread's input queue.
    pub input_queue: usize,
    /// The router answers a request by its deadline. If a request is still unanswered this long after its deadline, the
    /// engine fails it without the router.
    pub deadline_grace: Duration,
    /// Timeout of a request whose client sends none.
    pub default_client_timeout: Duration,
    /// The answer is sent this long before the client's timeout.
    pub answer_margin: Duration,
    /// Retry-after hint of a rejection by a front, without the engine.
    pub front_retry_after: Duration,

    // Backend connections.
    /// Maximum concurrent connections to backends, including idle ones.
    pub backend_connections: usize,
    /// Timeout for establishing a backend connection.
    pub connect_timeout: Duration,
    /// Idle time after which a backend connection is closed, shorter than the backend's own idle timeout.
    pub backend_idle_timeout: Duration,
    /// Interval between checks for idle backend connections.
    pub pool_sweep_interval: Duration,
    /// Delay before a backend connection is reused after an answer: unexpected bytes arrive right after an answer and
    /// must be detected.
    pub connection_settle_time: Duration,
    /// A backend that sends nothing for this long during a streamed answer is considered failed.
    pub backend_stall_timeout: Duration,
    /// A backend that sends nothing for this long during a buffered answer is considered failed.
    pub buffered_answer_stall_timeout: Duration,
    /// Maximum chunks of a streamed answer queued for the client.
    pub answer_chunks: usize,
    /// Answers of an HTTP backend up to this length are buffered until they are complete.
    pub http_answer_buffer_bytes: usize,
    /// Rows of a PostgreSQL backend up to this length are buffered until they are complete, and requested again if the
    /// backend fails before that.
    pub postgres_row_buffer_bytes: usize,
    /// Maximum length of a row from a PostgreSQL backend.
    pub postgres_row_bytes: usize,

    // Discovery and peers on the platform.
    /// Maximum length of an answer of discovery.
    pub discovery_answer_bytes: usize,
    /// How long discovery may hold a watch open while the list does not change.
    pub discovery_watch_timeout: Duration,
    /// The same while discovery responds promptly: an outage that begins during a watch is noticed only at its end.
    pub discovery_short_watch_timeout: Duration,
    /// A call that is unanswered for this long is overdue; from then on discovery is probed at this interval.
    pub discovery_probe_interval: Duration,
    /// How much longer than `discovery_watch_timeout` discovery may take to answer.
    pub discovery_timeout: Duration,
    /// How long discovery may hold the first call after a failed one.
    pub discovery_recheck_timeout: Duration,
    /// Upper bound to which `discovery_timeout` grows after failed calls, since discovery may have to answer other
    /// poolers first.
    pub discovery_timeout_after_failure: Duration,
    /// Calls that discovery rejected for lack of capacity are repeated after a random delay up to this.
    pub discovery_spread: Duration,
    /// The longest pause after a rejected call where `discovery_spread` is shorter.
    pub discovery_overload_pause: Duration,
    /// Backoff after a failed call to discovery.
    pub discovery_backoff: BackoffLimits,
    /// A process that starts with a cached list uses it if discovery sends none for this long.
    pub cached_list_delay: Duration,
    /// Maximum time that a readiness query waits for the first list.
    pub readiness_timeout: Duration,
    /// Maximum length of a datagram between peers.
    pub datagram_bytes: usize,

    // Files.
    /// Maximum length of a file that is read.
    pub file_bytes: u64,
    /// Limits of a YAML file.
    pub yaml_limits: YamlLimits,
    /// Interval between checks of a file for changes.
    pub file_check_interval: Duration,

    // The administration server.
    /// Maximum concurrent connections to the administration server.
    pub admin_connections: usize,

    // Shutdown.
    /// How long connections are still accepted, and idle ones kept open, after SIGTERM.
    pub shutdown_accept_period: Duration,
    /// Upper bound of the client deadlines that the process waits for after SIGTERM.
    pub shutdown_deadline: Duration,
    /// Requests still open this long before the process exits get their final answer then.
    pub final_answer_margin: Duration,

    // The store and the fleet.
    /// Length of a Raft tick. An election starts after 10 to 20 ticks without a heartbeat from a leader.
    pub raft_tick: Duration,
    /// Interval between heartbeats to each peer, which are sent even if nothing has changed.
    pub heartbeat_interval: Duration,
    /// How long a call that changes replicated state waits for a majority to commit it.
    pub agreement_timeout: Duration,
    /// Delay before a proposal that was not committed is repeated.
    pub proposal_retry_interval: Duration,
    /// Minimum interval between writes of gossiped observations to disk.
    pub gossip_save_interval: Duration,
    /// How long connecting to a peer may take.
    pub peer_connect_timeout: Duration,
    /// While a connection to a peer is not established, another attempt is made this often.
    pub peer_connect_interval: Duration,
    /// Pauses after failed attempts to connect to a peer. The longest one follows an attempt that the peer rejected; the
    /// others are at most `peer_connect_interval`.
    pub peer_backoff: BackoffLimits,
    /// While a peer lacks pending drains of this node, they are sent again this often.
    pub pending_drains_interval: Duration,
    /// A peer that is silent for this long counts as gone; a node of the same name may then replace it.
    pub peer_gone_timeout: Duration,
    /// Size of the replicated log in bytes above which its older half is compacted.
    pub log_bytes: usize,
    /// Number of entries in the replicated log above which its older half is compacted.
    pub log_entries: usize,
    /// Maximum number of nodes in a fleet, and of changes that wait for a majority.
    pub fleet_nodes: usize,
    /// Maximum length of a message between fleet peers.
    pub peer_message_bytes: usize,
    /// Limits on the messages queued for one peer; further ones are dropped.
    pub peer_queue: QueueLimits,
    /// Maximum number of pending drains up to which a node adds those of peers. Drains requested at the node itself
    /// are not limited.
    pub pending_drains: usize,
    /// Maximum number of endpoint observations in one message.
    pub observations_per_message: usize,
    /// Interval between steps of the recovery until it is complete.
    pub recovery_check_interval: Duration,
    /// Interval between runs of the zone failure detector while there are requests.
    pub zone_check_interval: Duration,
}

/// Limits for reading from a connection after its last answer. It is read until the client closes it too, since closing
/// it with unread input would send a reset, with which the client may lose the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseLinger {
    /// Maximum time for which input is read and discarded.
    pub timeout: Duration,
    /// Maximum number of bytes that are read and discarded.
    pub bytes: usize,
}

/// Range of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffLimits {
    /// Backoff after the first failure, before jitter.
    pub min: Duration,
    /// Upper bound of the backoff, before jitter.
    pub max: Duration,
}

/// Limits of a message queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of messages.
    pub messages: usize,
    /// Maximum total length of the messages in bytes.
    pub bytes: usize,
}

/// Limits of a YAML file after its aliases are expanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct YamlLimits {
    /// Maximum total number of nodes.
    pub nodes: usize,
    /// Maximum nesting depth.
    pub depth: usize,
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessResources {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// How many of them are reserved for other uses than client and backend connections.
    pub reserved: usize,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Whether the process runs an administration server.
    pub has_admin_server: bool,
}

impl ProcessResources {
    /// Resources of a platform daemon; `None` selects the default.
    pub fn platform(sockets: Option<usize>, memory_mb: Option<f64>) -> ProcessResources {
        ProcessResources {
            sockets: sockets.unwrap_or(DEFAULT_SOCKETS),
            reserved: PLATFORM_RESERVED_SOCKETS,
            memory_mb: memory_mb.filter(|mb| *mb >= 1.0).unwrap_or(DEFAULT_MEMORY_MB),
            has_admin_server: false,
        }
    }

    /// Resources of an operator's daemon that may use `sockets` file descriptors.
    pub fn operator(sockets: usize) -> ProcessResources {
        ProcessResources {
            sockets,
            reserved: OPERATOR_RESERVED_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
            has_admin_server: false,
        }
    }

    /// Adds an administration server, whose listener and connections are reserved.
    pub fn with_admin_server(self) -> ProcessResources {
        let reserved = self.reserved + MAX_ADMIN_CONNECTIONS + MAX_REJECTED_ADMIN_CONNECTIONS + 1;
        ProcessResources { reserved, has_admin_server: true, ..self }
    }

    /// Half of the resources, for a process that runs beside the one it replaces: the two share the whole.
    pub fn half(self) -> ProcessResources {
        ProcessResources { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2.0, ..self }
    }
}

/// The times of a process's shutdown, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// How long connections are still accepted, and idle ones kept open.
    pub accept_period: Duration,
    /// When the process exits.
    pub total: Duration,
}

impl Limits {
    /// Limits of an operator's daemon that may use `sockets` file descriptors, with the default intervals.
    pub fn for_sockets(sockets: usize) -> Limits {
        Limits::for_resources(ProcessResources::operator(sockets))
    }

    /// Limits of a process with these resources.
    pub fn for_resources(resources: ProcessResources) -> Limits {
        let free_sockets = resources.sockets.saturating_sub(resources.reserved).max(MIN_FREE_SOCKETS);
        // An open request needs a connection on each side, and clients hold idle or silent ones in addition.
        let clients = free_sockets / 2;
        let rejected = free_sockets / 16;
        // Up to five copies of a long statement exist while it is read, parsed, numbered and written.
        let message_budget_bytes = (resources.memory_mb * 1024.0 * 1024.0 / 8.0) as usize;
        Limits {
            client_connections: clients,
            rejected_connections: rejected,
            eviction_threshold: clients,
            backend_connections: free_sockets - clients - rejected,
            admin_connections: if resources.has_admin_server { MAX_ADMIN_CONNECTIONS } else { 0 },
            message_budget_bytes,
            read_ahead_bytes: (message_budget_bytes / clients).clamp(8 * 1024, 64 * 1024),
            ..DEFAULTS
        }
    }

    /// Limits of an operator's daemon. It has many client connections but need not evict any quickly, so the checks for
    /// idle ones are less frequent.
    pub fn for_operator_daemon(resources: ProcessResources) -> Limits {
        let limits = Limits::for_resources(resources);
        Limits {
            idle_check_interval: limits.file_check_interval,
            pool_sweep_interval: limits.file_check_interval * 4,
            ..limits
        }
    }

    /// Limits of the administration server's connections. Its calls are few and short and are independent of clients.
    pub fn for_admin_server(&self) -> Limits {
        Limits {
            client_connections: self.admin_connections,
            rejected_connections: self.admin_connections / 4,
            eviction_threshold: self.admin_connections,
            client_idle_timeout: self.first_request_timeout,
            idle_check_interval: self.file_check_interval,
            client_message_bytes: 4 * 1024,
            http_head_bytes: 4 * 1024,
            ..self.clone()
        }
    }

    /// Adapts the limits to clients that use at most `connections` connections for requests but open more: idle
    /// connections take slots from active ones, so they are closed early.
    pub fn share_client_connections(&mut self, connections: usize) {
        self.eviction_threshold = (connections * 5 / 8).clamp(1, self.client_connections);
        self.client_idle_timeout = SHARED_CLIENT_IDLE;
    }

    /// Sets the spread of repeated calls to discovery from the number of poolers that share it.
    pub fn spread_discovery_calls(&mut self, pooler_count: Option<u32>) {
        let poolers = pooler_count.unwrap_or(1).clamp(1, MAX_SPREAD_POOLERS);
        self.discovery_spread = (DISCOVERY_CALL_COST * poolers).min(MAX_DISCOVERY_SPREAD);
    }

    /// Sets how often each of the poolers that call the same discovery calls it.
    pub fn share_discovery(&mut self, pooler_count: Option<u32>) {
        let poolers = pooler_count.unwrap_or(1).clamp(1, MAX_SPREAD_POOLERS);
        let interval = (SHARED_DISCOVERY_CALL_INTERVAL * poolers)
            .clamp(DEFAULTS.discovery_probe_interval, DEFAULTS.discovery_watch_timeout);
        self.discovery_short_watch_timeout = interval;
        self.discovery_probe_interval = interval;
    }

    /// Sets the idle timeout of backend connections for backends that close idle ones after `seconds`. This process
    /// closes its connections well before that, since a request sent while the backend closes may or may not be
    /// executed.
    pub fn set_backend_idle_timeout(&mut self, seconds: Option<f64>) {
        if let Some(seconds) = seconds.filter(|seconds| *seconds > 0.0 && *seconds < MAX_BACKEND_IDLE_SECS) {
            self.backend_idle_timeout = Duration::from_secs_f64((seconds - 1.0).max(seconds / 2.0));
        }
    }

    /// Limits the wait for open requests after SIGTERM to the longest deadline of the classes if every class has one,
    /// regardless of the clients' timeouts: SIGKILL follows that deadline.
    pub fn bound_shutdown_by_deadlines(&mut self, deadlines: impl IntoIterator<Item = Option<TimeDelta>>) {
        let mut longest = None;
        for deadline in deadlines {
            let Some(deadline) = deadline else { return };
            longest = longest.max(Some(deadline));
        }
        if let Some(longest) = longest {
            self.shutdown_deadline = self.shutdown_deadline.min(longest.to_duration());
        }
    }

    /// Shutdown times of a process whose clients can use other poolers. `client_timeout` is the longest timeout that
    /// any client has set for a request.
    pub fn shutdown_times(&self, client_timeout: Option<TimeDelta>) -> ShutdownTimes {
        let client_timeout = client_timeout.unwrap_or(TimeDelta::ZERO).to_duration();
        let longest_request = client_timeout.min(self.shutdown_deadline).max(self.shutdown_accept_period);
        ShutdownTimes { accept_period: self.shutdown_accept_period, total: longest_request + EXIT_MARGIN }
    }

    /// Shutdown times of a pooler without peers, which accepts requests for as long as it can still answer them.
    pub fn shutdown_times_without_peers(&self, client_timeout: Option<TimeDelta>) -> ShutdownTimes {
        let times = self.shutdown_times(client_timeout);
        let until_last_accept = times.total.saturating_sub(LAST_ACCEPT_MARGIN);
        ShutdownTimes { accept_period: times.accept_period.max(until_last_accept), ..times }
    }
}

#[cfg(test)]
mod tests;
