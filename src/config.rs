//! Limits of the program: every size, count and time that bounds what it does.
//!
//! [`Limits`] are computed once at the start from what the process may use ([`ProcessResources`]) and handed down; the values
//! that depend on no machine stand with their reasons in `defaults`.

mod defaults;

use crate::time::TimeDelta;
use defaults::DEFAULTS;
use std::time::Duration;

/// Descriptors that a process may hold where nothing else is stated.
pub const DEFAULT_SOCKETS: usize = 1024;
/// Memory that a process may use where nothing else is stated, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Concurrent connections to the administration server. Some of them send nothing for seconds.
const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Connections beyond these that are only told so.
const MAX_REJECTED_ADMIN_CONNECTIONS: usize = MAX_ADMIN_CONNECTIONS / 4;
/// Descriptors of a process on the platform that are neither a client's nor a backend's connection: standard streams,
/// the reactor's three, signals, the listener, two calls to discovery, the peers' socket, and a file that is read.
const PLATFORM_RESERVED_SOCKETS: usize = 20;
/// Descriptors of an operator's daemon for the same, and for the store with its clients and peers.
const OPERATOR_RESERVED_SOCKETS: usize = 40;
/// Connections that are left to a process whose descriptors are all reserved.
const MIN_FREE_SOCKETS: usize = 16;
/// Time that an overloaded discovery was measured to take for one call.
const DISCOVERY_CALL_COST: Duration = Duration::from_millis(200);
/// Poolers of a tier beyond which the spread of their calls no longer grows.
const MAX_SPREAD_POOLERS: u32 = 10_000;
/// Bounds the spread of calls that discovery rejected. A change must take effect within 6 s after discovery could be
/// reached: after the rejection come this pause and one more call of up to `discovery_timeout`.
const MAX_DISCOVERY_SPREAD: Duration = Duration::from_secs(5);
/// A pooler without peers accepts nothing new for this long before it ends, so that it can answer what it has.
const LAST_ACCEPT_MARGIN: Duration = Duration::from_millis(250);
/// Time from a client's last deadline to the end of the process. SIGKILL follows the longest deadline by 0.7 s.
const EXIT_MARGIN: Duration = Duration::from_millis(550);
/// Idle time of a client whose connection slots are shared with others, see [`Limits::share_client_connections`].
const SHARED_CLIENT_IDLE: Duration = Duration::from_secs(2);
/// Backend idle timeouts from this on are taken for a mistake in the settings, and the default holds.
const MAX_BACKEND_IDLE_SECS: f64 = 86_400.0;

/// Bounds of what the program does.
#[derive(Clone, Debug)]
pub struct Limits {
    // Connections of clients.
    /// Concurrent client connections that are served.
    pub client_connections: usize,
    /// Concurrent client connections beyond these, which are only told that there are too many.
    pub rejected_connections: usize,
    /// Client connections that have sent a request; beyond this number the ones that sent only one are evicted first.
    pub eviction_threshold: usize,
    /// A client connection that is idle for this long is closed.
    pub client_idle_timeout: Duration,
    /// Interval between two sweeps for idle client connections.
    pub idle_check_interval: Duration,
    /// Time for a client to send its first request completely, counted from its connection; for any further one,
    /// counted from the request's first byte.
    pub first_request_timeout: Duration,
    /// A client that has sent no complete request for this long may be evicted in favour of one that has.
    pub silent_client_grace: Duration,
    /// A request that waited in the buffer for this long is forwarded only if its client is still connected. Also the
    /// interval of that check for a client whose input is not read.
    pub departure_check_interval: Duration,
    /// Time for a client to accept its answer.
    pub client_write_timeout: Duration,
    /// Bounds of reading from a connection that is closed.
    pub close_linger: CloseLinger,
    /// Pause after a connection could not be accepted.
    pub accept_retry_delay: Duration,
    /// Time to wait for a listening address that another process still has.
    pub bind_timeout: Duration,

    // Messages of clients.
    /// Longest startup message of a client.
    pub startup_message_bytes: usize,
    /// Longest message of a client.
    pub client_message_bytes: usize,
    /// Bytes of its message that a client may have buffered without a reservation of `message_budget_bytes`.
    pub unreserved_message_bytes: usize,
    /// Bytes that the longer messages of all clients may have buffered together.
    pub message_budget_bytes: usize,
    /// Bytes that are read of what a client sends behind its open requests. Also the length of these requests from
    /// which on no further one is accepted.
    pub read_ahead_bytes: usize,
    /// Open requests of one connection.
    pub pipelined_requests: usize,
    /// Longest head of an HTTP message.
    pub http_head_bytes: usize,
    /// Headers of an HTTP message.
    pub http_headers: usize,

    // The engine.
    /// Concurrent open requests.
    pub open_requests: usize,
    /// Inputs queued for the engine's thread.
    pub input_queue: usize,
    /// The engine answers a request at its deadline; one that it has not answered this long after fails without it.
    pub deadline_grace: Duration,
    /// Timeout of a request whose client states none.
    pub default_client_timeout: Duration,
    /// The answer is sent this long before the client's timeout.
    pub answer_margin: Duration,
    /// Retry-after hint of a rejection that a front decides by itself.
    pub front_retry_after: Duration,

    // Connections to backends.
    /// Concurrent connections to backends, idle ones included.
    pub backend_connections: usize,
    /// Time for a backend connection to be established.
    pub connect_timeout: Duration,
    /// An idle backend connection is closed after this, before the backend would close it.
    pub backend_idle_timeout: Duration,
    /// Interval between two sweeps for idle backend connections.
    pub pool_sweep_interval: Duration,
    /// A backend connection rests for this long after an answer before it is used again: bytes that belong to no answer
    /// arrive right behind one and must be noticed.
    pub connection_settle_time: Duration,
    /// A backend that sends nothing for this long within a streamed answer has failed.
    pub backend_stall_timeout: Duration,
    /// A backend that sends nothing for this long within a buffered answer has failed.
    pub buffered_answer_stall_timeout: Duration,
    /// Chunks of a streamed answer that are queued for the client.
    pub answer_chunks: usize,
    /// Answers of an HTTP backend up to this length are buffered until they are complete.
    pub http_answer_buffer_bytes: usize,
    /// Rows of a PostgreSQL backend up to this length are buffered until they are complete, and requested again if the
    /// backend fails before.
    pub postgres_row_buffer_bytes: usize,
    /// Longest row of a PostgreSQL backend.
    pub postgres_row_bytes: usize,

    // Discovery and peers of the platform.
    /// Longest answer of discovery.
    pub discovery_answer_bytes: usize,
    /// How long discovery may hold a watch until the list changes.
    pub discovery_watch_timeout: Duration,
    /// How long discovery may take to answer beyond that.
    pub discovery_timeout: Duration,
    /// How long discovery may hold the call after one that failed.
    pub discovery_recheck_timeout: Duration,
    /// Bounds the growth of `discovery_timeout` after failed calls: discovery may have to answer other poolers first.
    pub discovery_timeout_after_failure: Duration,
    /// Calls that discovery rejected for lack of capacity are repeated within this time, at random.
    pub discovery_spread: Duration,
    /// Shortest and longest backoff after a failed call to discovery; also of connections to peers of a fleet.
    pub discovery_backoff: (Duration, Duration),
    /// A process that starts with a cached list uses it if discovery has sent none for this long.
    pub cached_list_delay: Duration,
    /// Longest time that an answer to the readiness query waits for the first list.
    pub readiness_timeout: Duration,
    /// Longest datagram to a peer.
    pub datagram_bytes: usize,

    // Files.
    /// Longest file that is read.
    pub file_bytes: u64,
    /// Bounds of a YAML file.
    pub yaml_limits: YamlLimits,
    /// Interval between two checks of a file for changes.
    pub file_check_interval: Duration,

    // The administration server.
    /// Concurrent connections to it.
    pub admin_connections: usize,

    // The end of the process.
    /// After SIGTERM connections are accepted, and idle ones kept open, for this long.
    pub shutdown_accept_period: Duration,
    /// Bounds the deadline of a client that is waited for after SIGTERM.
    pub shutdown_deadline: Duration,
    /// Requests that are open this long before the end get their final answer then.
    pub final_answer_margin: Duration,

    // The store and the fleet.
    /// Raft tick. An election starts after 10 to 20 ticks without a heartbeat of a leader.
    pub raft_tick: Duration,
    /// Interval between two heartbeats to each peer, also where there is nothing new.
    pub heartbeat_interval: Duration,
    /// Time that a call that changes agreed state waits for a majority.
    pub agreement_timeout: Duration,
    /// A proposal that was not agreed is repeated after this.
    pub proposal_retry_interval: Duration,
    /// Shortest interval between two writes of gossiped observations to the disk.
    pub gossip_save_interval: Duration,
    /// A peer that was silent for this long counts as gone where another one of its name has come.
    pub peer_gone_timeout: Duration,
    /// Bytes of the replicated log, beyond which its older half is compacted.
    pub log_bytes: usize,
    /// Entries of the replicated log, beyond which its older half is compacted.
    pub log_entries: usize,
    /// Nodes of a fleet; also changes that wait for a majority.
    pub fleet_nodes: usize,
    /// Longest message between peers.
    pub peer_message_bytes: usize,
    /// Messages queued for one peer, and their bytes; further ones are dropped.
    pub peer_queue: (usize, usize),
    /// Drains that wait for a majority.
    pub pending_drains: usize,
    /// Observations of endpoints in one message.
    pub observations_per_message: usize,
    /// Interval between two steps of recovery, until it is complete.
    pub recovery_check_interval: Duration,
    /// Interval between two runs of the zones' failure detector, while there are requests.
    pub zone_check_interval: Duration,
}

/// A closed connection is read until the client closes it too, or its last answer may be lost with a reset. Bounds of
/// that reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseLinger {
    /// Longest time.
    pub timeout: Duration,
    /// Most bytes.
    pub bytes: usize,
}

/// Bounds of a YAML file, with its aliases expanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct YamlLimits {
    /// Nodes in all.
    pub nodes: usize,
    /// Nested levels.
    pub depth: usize,
}

/// What the process may use of its machine.
#[derive(Clone, Copy, Debug)]
pub struct ProcessResources {
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Descriptors out of them that are neither a client's nor a backend's connection.
    pub reserved: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: f64,
    /// Whether there is an administration server.
    pub has_admin_server: bool,
}

impl ProcessResources {
    /// A process on the platform; `None` stands for the defaults.
    pub fn platform(sockets: Option<usize>, memory_mb: Option<f64>) -> ProcessResources {
        ProcessResources {
            sockets: sockets.unwrap_or(DEFAULT_SOCKETS),
            reserved: PLATFORM_RESERVED_SOCKETS,
            memory_mb: memory_mb.filter(|mb| *mb >= 1.0).unwrap_or(DEFAULT_MEMORY_MB),
            has_admin_server: false,
        }
    }

    /// A daemon with an operator's file.
    pub fn operator(sockets: usize) -> ProcessResources {
        ProcessResources {
            sockets,
            reserved: OPERATOR_RESERVED_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
            has_admin_server: false,
        }
    }

    /// The same with an administration server: its listener and its connections are reserved.
    pub fn with_admin_server(self) -> ProcessResources {
        let reserved = self.reserved + MAX_ADMIN_CONNECTIONS + MAX_REJECTED_ADMIN_CONNECTIONS + 1;
        ProcessResources { reserved, has_admin_server: true, ..self }
    }

    /// Half of it, where a process runs beside the one that it replaces: the two together may use the whole.
    pub fn half(self) -> ProcessResources {
        ProcessResources { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2.0, ..self }
    }
}

/// Times of the end of a process, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// Connections are accepted, and idle ones kept open, for this long.
    pub accept_period: Duration,
    /// The process ends after this.
    pub total: Duration,
}

impl Limits {
    /// Limits of an operator's daemon that may hold `sockets` descriptors.
    pub fn for_sockets(sockets: usize) -> Limits {
        Limits::for_resources(ProcessResources::operator(sockets))
    }

    /// Limits of a process on such a machine.
    pub fn for_resources(resources: ProcessResources) -> Limits {
        let free_sockets = resources.sockets.saturating_sub(resources.reserved).max(MIN_FREE_SOCKETS);
        // An open request needs a connection on each side, and clients hold further ones that are idle or silent.
        let clients = free_sockets / 2;
        let rejected = free_sockets / 16;
        // A long statement exists up to five times on its way: read, parsed, numbered, written.
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

    /// Limits of an operator's daemon. Its client connections are many, but none is evicted in haste: sweeps for idle
    /// ones may be rare.
    pub fn for_operator_daemon(resources: ProcessResources) -> Limits {
        let limits = Limits::for_resources(resources);
        Limits {
            idle_check_interval: limits.file_check_interval,
            pool_sweep_interval: limits.file_check_interval * 4,
            ..limits
        }
    }

    /// Limits of the administration server's connections: calls are few and short, and share nothing with clients.
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

    /// All clients together use at most `connections` for requests, and open more: connections that are idle are taken
    /// from those that send requests, and closed soon.
    pub fn share_client_connections(&mut self, connections: usize) {
        self.eviction_threshold = (connections * 5 / 8).clamp(1, self.client_connections);
        self.client_idle_timeout = SHARED_CLIENT_IDLE;
    }

    /// Spreads repeated calls to discovery by the number of poolers that share it.
    pub fn spread_discovery_calls(&mut self, pooler_count: Option<u32>) {
        let poolers = pooler_count.unwrap_or(1).clamp(1, MAX_SPREAD_POOLERS);
        self.discovery_spread = (DISCOVERY_CALL_COST * poolers).min(MAX_DISCOVERY_SPREAD);
    }

    /// Backends close connections that were idle for `seconds`; this process closes its own well before: a request that
    /// crosses the backend's close may have been executed.
    pub fn set_backend_idle_timeout(&mut self, seconds: Option<f64>) {
        if let Some(seconds) = seconds.filter(|seconds| *seconds > 0.0 && *seconds < MAX_BACKEND_IDLE_SECS) {
            self.backend_idle_timeout = Duration::from_secs_f64((seconds - 1.0).max(seconds / 2.0));
        }
    }

    /// Bounds the wait for open requests after SIGTERM by the longest of the classes' deadlines, if all classes state
    /// one, whatever timeouts clients claim: SIGKILL follows that deadline.
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

    /// Times of the end of a process whose clients find other poolers, where no client has given a request longer than
    /// `client_timeout`.
    pub fn drain_times(&self, client_timeout: Option<TimeDelta>) -> DrainTimes {
        let client_timeout = client_timeout.unwrap_or(TimeDelta::ZERO).to_duration();
        let longest_request = client_timeout.min(self.shutdown_deadline).max(self.shutdown_accept_period);
        DrainTimes { accept_period: self.shutdown_accept_period, total: longest_request + EXIT_MARGIN }
    }

    /// The same for a pooler without peers: it serves its clients for as long as their requests can be answered.
    pub fn drain_times_without_peers(&self, client_timeout: Option<TimeDelta>) -> DrainTimes {
        let times = self.drain_times(client_timeout);
        let until_last_accept = times.total.saturating_sub(LAST_ACCEPT_MARGIN);
        DrainTimes { accept_period: times.accept_period.max(until_last_accept), ..times }
    }
}

#[cfg(test)]
mod tests;
