//! Limits of the program, filled once at start and handed down.

use crate::routing::Class;
use crate::time::TimeDelta;
use std::time::Duration;

/// Every size, count and time that bounds what the program does.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections held at once.
    pub client_connections: usize,
    /// Connections to hosts held at once, idle ones included.
    pub backend_connections: usize,
    /// Connections that are only told that there are too many.
    pub rejected_connections: usize,
    /// Connections of operators.
    pub admin_connections: usize,
    /// Requests open at once.
    pub open_requests: usize,
    /// Inputs that wait for the module's owner.
    pub input_queue: usize,
    /// Connections of clients that have asked something, beyond which those that asked once make room.
    pub crowded_clients: usize,
    /// A client's connection that stood idle for so long ends.
    pub client_idle: Duration,
    /// Time between two looks for such connections.
    pub idle_check_interval: Duration,
    /// Bytes of its message that a client may have held without asking for room.
    pub unbudgeted_message: usize,
    /// Bytes that the longer messages of all clients may hold together.
    pub message_budget: usize,
    /// Bytes that are read of what a client sends behind requests that are still open, and the length of these
    /// from which on no further one is taken.
    pub read_ahead: usize,
    /// Requests of one connection that may be open at once.
    pub pipelined_requests: usize,
    /// The longest startup message of a client.
    pub startup_message_bytes: usize,
    /// The longest message of a client.
    pub client_message: usize,
    /// Answers of an HTTP host up to this are held until they are whole.
    pub http_answer_buffer: usize,
    /// Rows of a PostgreSQL host up to this are held until they are whole, and asked for again if they are not.
    pub postgres_row_buffer: usize,
    /// The longest row of a PostgreSQL host.
    pub postgres_row: usize,
    /// The longest head of an HTTP message.
    pub http_head: usize,
    /// Headers of an HTTP message.
    pub http_headers: usize,
    /// The longest list of discovery.
    pub discovery_answer: usize,
    /// The longest datagram to a peer.
    pub datagram_bytes: usize,
    /// Time for a connection to a host to be ready.
    pub connect_timeout: Duration,
    /// An idle connection to a host is closed after this, before the host would.
    pub host_idle: Duration,
    /// Time for a client to send its first request whole from its connection, any other from its first byte.
    pub first_request_timeout: Duration,
    /// A client that has sent no whole request for so long makes room before one that has.
    pub silent_client_grace: Duration,
    /// A request that has waited for so long in the buffer is sent on only if its client is still there; whether
    /// one that is not read is still there is looked at as often.
    pub departure_check_interval: Duration,
    /// Time for a client to take its answer.
    pub client_write_timeout: Duration,
    /// How long discovery may hold a watch.
    pub discovery_watch: Duration,
    /// How long discovery may take beyond that.
    pub discovery_timeout: Duration,
    /// How long discovery may hold the call after one that failed.
    pub discovery_recheck: Duration,
    /// How long discovery may take at the longest, after calls that failed: it may have those of others to answer
    /// first.
    pub discovery_timeout_after_failure: Duration,
    /// A process that has a list from before uses it when discovery has said nothing for so long.
    pub cached_list_delay: Duration,
    /// Calls that discovery had no room for are spread over so long.
    pub discovery_spread: Duration,
    /// First and longest pause after a failed call to discovery.
    pub discovery_backoff: (Duration, Duration),
    /// The answer goes out this long before the client stops waiting.
    pub answer_margin: Duration,
    /// A connection that is closed is read for so long, or its last answer may be lost with a reset, and for no
    /// more bytes than these.
    pub close_linger: (Duration, usize),
    /// A host that sends nothing for so long in the midst of an answer has broken off.
    pub backend_stall_timeout: Duration,
    /// A host that sends nothing for so long in the midst of an answer that is held back has spoilt it.
    pub buffered_answer_stall_timeout: Duration,
    /// What belongs to no answer comes right behind one: a connection rests for so long before it is used
    /// again, so that it is seen.
    pub connection_settle_time: Duration,
    /// How long a client waits that does not say so.
    pub default_client_timeout: Duration,
    /// Parts of a long answer that wait for the client.
    pub answer_chunks: usize,
    /// The longest file that is read.
    pub file_bytes: u64,
    /// Parts of a YAML file, its aliases followed, and levels in it.
    pub yaml_limits: (usize, usize),
    /// Refusals of a front itself ask to come back after this.
    pub front_retry_after: Duration,
    /// The module answers at a deadline; a request that it has not answered so long after fails without it.
    pub deadline_grace: Duration,
    /// Time between two looks for idle connections.
    pub pool_sweep_interval: Duration,
    /// A listener's address that another process still has is waited for so long.
    pub bind_timeout: Duration,
    /// Pause after a connection could not be taken.
    pub accept_retry_delay: Duration,
    /// Time between two looks at files, and between two exchanges with a peer of the store.
    pub file_check_interval: Duration,
    /// Between two looks at how far service has returned, until it has.
    pub recovery_check_interval: Duration,
    /// Between two looks at zones, while hosts are asked.
    pub zone_check_interval: Duration,
    /// After SIGTERM connections are taken, and those that stand idle kept, for this long.
    pub shutdown_accept_period: Duration,
    /// Longer deadlines of clients are not waited for after SIGTERM.
    pub shutdown_deadline: Duration,
    /// So long before that what is still open gets its final answer all the same.
    pub final_answer_margin: Duration,
    /// Between two ticks of the agreement. An election comes after 10 to 20 without a word of a leader.
    pub raft_tick: Duration,
    /// Between two words that a daemon has for each other one, also where there is nothing new.
    pub heartbeat_interval: Duration,
    /// A call that changes what is agreed waits for a majority for so long.
    pub agreement_timeout: Duration,
    /// What was not agreed is said again after this.
    pub proposal_retry_interval: Duration,
    /// What was learned of the hosts is written to the disk no more often than this.
    pub gossip_save_interval: Duration,
    /// A daemon that said nothing for so long counts as gone where another of its name has come.
    pub peer_gone_timeout: Duration,
    /// Bytes and entries of the agreed log, beyond which its older half goes.
    pub log_bytes: usize,
    /// See `log_bytes`.
    pub log_entries: usize,
    /// Daemons of a fleet, and changes that wait for a majority.
    pub fleet_nodes: usize,
    /// The longest frame between daemons.
    pub peer_message_bytes: usize,
    /// Frames that wait for one daemon, and their bytes; what comes then is dropped.
    pub peer_queue: (usize, usize),
    /// Drains that wait for a majority.
    pub pending_drains: usize,
    /// Facts about hosts that go into one frame.
    pub observations_per_message: usize,
    /// An answer to the readiness query waits at most this long for the first list.
    pub readiness_timeout: Duration,
}

/// What the program may use of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Descriptors out of them for all that is no connection of a client or to a host.
    pub reserved: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: f64,
    /// Operators have a door of their own.
    pub door: bool,
}

impl Machine {
    /// On the platform: standard streams, the reactor's three, signals, the listener, two calls to discovery,
    /// peers, and a file that is read.
    pub fn platform(sockets: Option<usize>, memory_mb: Option<f64>) -> Machine {
        let memory_mb = memory_mb.filter(|mb| *mb >= 1.0).unwrap_or(MEMORY_MB);
        Machine { sockets: sockets.unwrap_or(1024), reserved: 20, memory_mb, door: false }
    }

    /// The same with a door for operators: its connections are nobody else's.
    pub fn with_door(self) -> Machine {
        Machine { reserved: self.reserved + DOOR + DOOR / 4 + 1, door: true, ..self }
    }

    /// Half of it, where a process runs beside the one that it replaces: the two count as one.
    pub fn half(self) -> Machine {
        Machine { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2.0, ..self }
    }

    /// With an operator's file: the same, and the store with its clients and peers.
    pub fn operator(sockets: usize) -> Machine {
        Machine { sockets, reserved: 40, memory_mb: MEMORY_MB, door: false }
    }
}

/// Memory where nothing is said of it.
const MEMORY_MB: f64 = 192.0;
/// Connections of operators at once: some say nothing for seconds.
const DOOR: usize = 16;
/// What an overbooked discovery was seen to take for a call.
const CALL: Duration = Duration::from_millis(200);
/// A change counts as told 6 s after discovery had it and could be reached, whatever became of a call before. From
/// the moment at which it had no room, a pause passes and another call is answered.
const ASK_AGAIN: Duration = Duration::from_secs(5);
/// A pooler that is alone takes nothing new for so long before its end.
const LAST_CALL: Duration = Duration::from_millis(250);
/// The longest value.
const VALUE: usize = 64 * 1024;

impl Limits {
    /// Limits for an operator's daemon that may hold `sockets` descriptors.
    pub fn for_sockets(sockets: usize) -> Limits {
        Limits::on(Machine::operator(sockets))
    }
    /// Limits for a process on such a machine.
    pub fn on(machine: Machine) -> Limits {
        let Machine { sockets, reserved, memory_mb, door } = machine;
        let free = sockets.saturating_sub(reserved).max(16);
        // An open request needs one connection on each side; idle and silent ones pile up on the clients'.
        let (clients, rejected) = (free / 2, free / 16);
        let eighth = (memory_mb * 1024.0 * 1024.0 / 8.0) as usize;
        Limits {
            client_connections: clients,
            rejected_connections: rejected,
            backend_connections: free - clients - rejected,
            admin_connections: if door { DOOR } else { 0 },
            open_requests: 4096,
            crowded_clients: clients,
            client_idle: Duration::from_secs(60),
            idle_check_interval: Duration::from_millis(50),
            // A long statement is held up to five times on its way: read, taken, numbered, written out.
            unbudgeted_message: 16 * 1024,
            message_budget: eighth,
            read_ahead: (eighth / clients).clamp(8 * 1024, 64 * 1024),
            pipelined_requests: 64,
            input_queue: 1024,
            startup_message_bytes: 10_000,
            // Values hold 64 KiB at the most; in a statement each byte takes two digits.
            client_message: 2 * VALUE + 4 * 1024,
            http_answer_buffer: 1024 * 1024,
            postgres_row_buffer: VALUE,
            // Values run to 4 MiB.
            postgres_row: 4 * 1024 * 1024 + 1024,
            http_head: 16 * 1024,
            http_headers: 100,
            discovery_answer: 4 * 1024 * 1024,
            datagram_bytes: 256,
            connect_timeout: Duration::from_millis(250),
            host_idle: Duration::from_secs(14),
            first_request_timeout: Duration::from_millis(2_500),
            silent_client_grace: Duration::from_millis(100),
            departure_check_interval: Duration::from_millis(25),
            client_write_timeout: Duration::from_secs(5),
            // A watch that fell silent must be noticed before what it has to tell counts as told all the same.
            discovery_watch: Duration::from_secs(2),
            discovery_timeout: Duration::from_secs(1),
            discovery_recheck: Duration::from_millis(100),
            discovery_timeout_after_failure: Duration::from_millis(2_500),
            cached_list_delay: Duration::from_millis(100),
            discovery_spread: CALL,
            discovery_backoff: (Duration::from_millis(50), Duration::from_secs(1)),
            answer_margin: Duration::from_millis(4),
            close_linger: (Duration::from_millis(500), 1024 * 1024),
            backend_stall_timeout: Duration::from_secs(10),
            buffered_answer_stall_timeout: Duration::from_millis(120),
            connection_settle_time: Duration::from_millis(1),
            default_client_timeout: Duration::from_secs(30),
            answer_chunks: 4,
            file_bytes: 4 * 1024 * 1024,
            yaml_limits: (200_000, 64),
            front_retry_after: Duration::from_millis(200),
            deadline_grace: Duration::from_millis(10),
            pool_sweep_interval: Duration::from_millis(500),
            accept_retry_delay: Duration::from_millis(5),
            bind_timeout: Duration::from_secs(20),
            file_check_interval: Duration::from_millis(500),
            recovery_check_interval: Duration::from_millis(20),
            zone_check_interval: Duration::from_millis(100),
            shutdown_accept_period: Duration::from_millis(450),
            shutdown_deadline: Duration::from_secs(3),
            final_answer_margin: Duration::from_millis(100),
            raft_tick: Duration::from_millis(50),
            heartbeat_interval: Duration::from_millis(500),
            agreement_timeout: Duration::from_secs(2),
            proposal_retry_interval: Duration::from_millis(250),
            gossip_save_interval: Duration::from_secs(5),
            peer_gone_timeout: Duration::from_secs(2),
            // Ten thousand changes of one host each are caught up by differences.
            log_bytes: 4 * 1024 * 1024,
            log_entries: 16 * 1024,
            fleet_nodes: 32,
            peer_message_bytes: 8 * 1024 * 1024,
            peer_queue: (512, 16 * 1024 * 1024),
            pending_drains: 10_000,
            observations_per_message: 512,
            readiness_timeout: Duration::from_millis(500),
        }
    }
    /// Limits of the operators' door: calls are few and short, and share nothing with clients.
    pub fn for_door(&self) -> Limits {
        Limits {
            client_connections: self.admin_connections,
            rejected_connections: self.admin_connections / 4,
            crowded_clients: self.admin_connections,
            client_idle: self.first_request_timeout,
            idle_check_interval: self.file_check_interval,
            client_message: 4 * 1024,
            http_head: 4 * 1024,
            ..self.clone()
        }
    }
    /// All clients together hold at most so many connections for requests: those that lie idle are taken from
    /// those that ask, and end soon.
    pub fn clients_hold(&mut self, most: usize) {
        self.crowded_clients = (most * 5 / 8).clamp(1, self.client_connections);
        self.client_idle = Duration::from_secs(2);
    }
    /// So many poolers share discovery.
    pub fn tier(&mut self, poolers: Option<u32>) {
        self.discovery_spread = (CALL * poolers.unwrap_or(1).clamp(1, 10_000)).min(ASK_AGAIN);
    }
    /// How long after SIGTERM connections are taken and idle ones kept, and when the program ends, where no
    /// client has given a request longer than `client_timeout`. One that is `alone` has nobody to leave its clients
    /// to: it serves those that it has for as long as what they ask can still be answered.
    pub fn ending(&self, client_timeout: Option<TimeDelta>, alone: bool) -> (Duration, Duration) {
        let client_timeout =
            client_timeout.unwrap_or(TimeDelta::ZERO).to_duration().min(self.shutdown_deadline);
        // Killed no sooner than the longest deadline and 0.7 s more after SIGTERM.
        let end = client_timeout.max(self.shutdown_accept_period) + Duration::from_millis(550);
        (
            if alone {
                self.shutdown_accept_period.max(end.saturating_sub(LAST_CALL))
            } else {
                self.shutdown_accept_period
            },
            end,
        )
    }
    /// The longest deadline of these classes is waited for after SIGTERM, whatever a client claims: the platform's
    /// SIGKILL follows that.
    pub fn deadlines_at_most(&mut self, classes: &[Class]) {
        let longest = classes.iter().map(|c| c.deadline).reduce(|a, b| Some(a?.max(b?))).flatten();
        if let Some(longest) = longest {
            self.shutdown_deadline = self.shutdown_deadline.min(longest.to_duration());
        }
    }
    /// Hosts close connections that stood idle for so many seconds; ours go well before: a request that
    /// crosses such a close may have run.
    pub fn hosts_idle_for(&mut self, seconds: Option<f64>) {
        if let Some(s) = seconds.filter(|s| *s > 0.0 && *s < 86_400.0) {
            self.host_idle = Duration::from_secs_f64((s - 1.0).max(s / 2.0));
        }
    }
}

#[cfg(test)]
mod tests;
