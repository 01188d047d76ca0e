//! Limits of the program, filled once at start and handed down.

use crate::routing::Class;
use crate::time::TimeDelta;
use std::time::Duration;

/// Every size, count and time that bounds what the program does.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections held at once.
    pub clients: usize,
    /// Connections to hosts held at once, idle ones included.
    pub hosts: usize,
    /// Connections that are only told that there are too many.
    pub turned_away: usize,
    /// Connections of operators.
    pub door: usize,
    /// Requests open at once.
    pub requests: usize,
    /// Inputs that wait for the module's owner.
    pub queue: usize,
    /// Connections of clients that have asked something, beyond which those that asked once make room.
    pub crowded: usize,
    /// A client's connection that stood idle for so long ends.
    pub client_idle: Duration,
    /// Time between two looks for such connections.
    pub relief: Duration,
    /// Bytes of its message that a client may have held without asking for room.
    pub small: usize,
    /// Bytes that the longer messages of all clients may hold together.
    pub held: usize,
    /// Bytes that are read of what a client sends behind requests that are still open, and the length of these
    /// from which on no further one is taken.
    pub ahead: usize,
    /// Requests of one connection that may be open at once.
    pub pipeline: usize,
    /// The longest startup message of a client.
    pub startup_message: usize,
    /// The longest message of a client.
    pub message: usize,
    /// Answers of an HTTP host up to this are held until they are whole.
    pub answer: usize,
    /// Rows of a PostgreSQL host up to this are held until they are whole, and asked for again if they are not.
    pub whole: usize,
    /// The longest row of a PostgreSQL host.
    pub row: usize,
    /// The longest head of an HTTP message.
    pub head: usize,
    /// Headers of an HTTP message.
    pub headers: usize,
    /// The longest list of discovery.
    pub list: usize,
    /// The longest datagram to a peer.
    pub datagram: usize,
    /// Time for a connection to a host to be ready.
    pub connect: Duration,
    /// An idle connection to a host is closed after this, before the host would.
    pub host_idle: Duration,
    /// Time for a client to send its first request whole from its connection, any other from its first byte.
    pub startup: Duration,
    /// A client that has sent no whole request for so long makes room before one that has.
    pub grace: Duration,
    /// A request that has waited for so long in the buffer is sent on only if its client is still there; whether
    /// one that is not read is still there is looked at as often.
    pub depart: Duration,
    /// Time for a client to take its answer.
    pub write: Duration,
    /// How long discovery may hold a watch.
    pub watch: Duration,
    /// How long discovery may take beyond that.
    pub discovery: Duration,
    /// How long discovery may hold the call after one that failed.
    pub recheck: Duration,
    /// How long discovery may take at the longest, after calls that failed: it may have those of others to answer
    /// first.
    pub first_list: Duration,
    /// A process that has a list from before uses it when discovery has said nothing for so long.
    pub stale_list: Duration,
    /// Calls that discovery had no room for are spread over so long.
    pub overbooked: Duration,
    /// First and longest pause after a failed call to discovery.
    pub pause: (Duration, Duration),
    /// The answer goes out this long before the client stops waiting.
    pub margin: Duration,
    /// A connection that is closed is read for so long, or its last answer may be lost with a reset, and for no
    /// more bytes than these.
    pub linger: (Duration, usize),
    /// A host that sends nothing for so long in the midst of an answer has broken off.
    pub stall: Duration,
    /// A host that sends nothing for so long in the midst of an answer that is held back has spoilt it.
    pub answer_stall: Duration,
    /// What belongs to no answer comes right behind one: a connection rests for so long before it is used
    /// again, so that it is seen.
    pub settle: Duration,
    /// How long a client waits that does not say so.
    pub patience: Duration,
    /// Parts of a long answer that wait for the client.
    pub parts: usize,
    /// The longest file that is read.
    pub file: u64,
    /// Parts of a YAML file, its aliases followed, and levels in it.
    pub yaml: (usize, usize),
    /// Refusals of a front itself ask to come back after this.
    pub again: Duration,
    /// The module answers at a deadline; a request that it has not answered so long after fails without it.
    pub overdue: Duration,
    /// Time between two looks for idle connections.
    pub tidy: Duration,
    /// A listener's address that another process still has is waited for so long.
    pub port: Duration,
    /// Pause after a connection could not be taken.
    pub accept: Duration,
    /// Time between two looks at files, and between two exchanges with a peer of the store.
    pub period: Duration,
    /// Between two looks at how far service has returned, until it has.
    pub turn: Duration,
    /// Between two looks at zones, while hosts are asked.
    pub look: Duration,
    /// After SIGTERM connections are taken, and those that stand idle kept, for this long.
    pub lame: Duration,
    /// Longer deadlines of clients are not waited for after SIGTERM.
    pub drain: Duration,
    /// So long before that what is still open gets its final answer all the same.
    pub last_answers: Duration,
    /// Between two ticks of the agreement. An election comes after 10 to 20 without a word of a leader.
    pub tick: Duration,
    /// Between two words that a daemon has for each other one, also where there is nothing new.
    pub beat: Duration,
    /// A call that changes what is agreed waits for a majority for so long.
    pub agree: Duration,
    /// What was not agreed is said again after this.
    pub insist: Duration,
    /// What was learned of the hosts is written to the disk no more often than this.
    pub keep: Duration,
    /// A daemon that said nothing for so long counts as gone where another of its name has come.
    pub gone: Duration,
    /// Bytes and entries of the agreed log, beyond which its older half goes.
    pub log_bytes: usize,
    /// See `log_bytes`.
    pub log_entries: usize,
    /// Daemons of a fleet, and changes that wait for a majority.
    pub members: usize,
    /// The longest frame between daemons.
    pub frame: usize,
    /// Frames that wait for one daemon, and their bytes; what comes then is dropped.
    pub frames: (usize, usize),
    /// Drains that wait for a majority.
    pub marks: usize,
    /// Facts about hosts that go into one frame.
    pub facts: usize,
    /// An answer to the readiness query waits at most this long for the first list.
    pub ready: Duration,
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
        let (clients, turned_away) = (free / 2, free / 16);
        let eighth = (memory_mb * 1024.0 * 1024.0 / 8.0) as usize;
        Limits {
            clients,
            turned_away,
            hosts: free - clients - turned_away,
            door: if door { DOOR } else { 0 },
            requests: 4096,
            crowded: clients,
            client_idle: Duration::from_secs(60),
            relief: Duration::from_millis(50),
            // A long statement is held up to five times on its way: read, taken, numbered, written out.
            small: 16 * 1024,
            held: eighth,
            ahead: (eighth / clients).clamp(8 * 1024, 64 * 1024),
            pipeline: 64,
            queue: 1024,
            startup_message: 10_000,
            // Values hold 64 KiB at the most; in a statement each byte takes two digits.
            message: 2 * VALUE + 4 * 1024,
            answer: 1024 * 1024,
            whole: VALUE,
            // Values run to 4 MiB.
            row: 4 * 1024 * 1024 + 1024,
            head: 16 * 1024,
            headers: 100,
            list: 4 * 1024 * 1024,
            datagram: 256,
            connect: Duration::from_millis(250),
            host_idle: Duration::from_secs(14),
            startup: Duration::from_millis(2_500),
            grace: Duration::from_millis(100),
            depart: Duration::from_millis(25),
            write: Duration::from_secs(5),
            // A watch that fell silent must be noticed before what it has to tell counts as told all the same.
            watch: Duration::from_secs(2),
            discovery: Duration::from_secs(1),
            recheck: Duration::from_millis(100),
            first_list: Duration::from_millis(2_500),
            stale_list: Duration::from_millis(100),
            overbooked: CALL,
            pause: (Duration::from_millis(50), Duration::from_secs(1)),
            margin: Duration::from_millis(4),
            linger: (Duration::from_millis(500), 1024 * 1024),
            stall: Duration::from_secs(10),
            answer_stall: Duration::from_millis(120),
            settle: Duration::from_millis(1),
            patience: Duration::from_secs(30),
            parts: 4,
            file: 4 * 1024 * 1024,
            yaml: (200_000, 64),
            again: Duration::from_millis(200),
            overdue: Duration::from_millis(10),
            tidy: Duration::from_millis(500),
            accept: Duration::from_millis(5),
            port: Duration::from_secs(20),
            period: Duration::from_millis(500),
            turn: Duration::from_millis(20),
            look: Duration::from_millis(100),
            lame: Duration::from_millis(450),
            drain: Duration::from_secs(3),
            last_answers: Duration::from_millis(100),
            tick: Duration::from_millis(50),
            beat: Duration::from_millis(500),
            agree: Duration::from_secs(2),
            insist: Duration::from_millis(250),
            keep: Duration::from_secs(5),
            gone: Duration::from_secs(2),
            // Ten thousand changes of one host each are caught up by differences.
            log_bytes: 4 * 1024 * 1024,
            log_entries: 16 * 1024,
            members: 32,
            frame: 8 * 1024 * 1024,
            frames: (512, 16 * 1024 * 1024),
            marks: 10_000,
            facts: 512,
            ready: Duration::from_millis(500),
        }
    }
    /// Limits of the operators' door: calls are few and short, and share nothing with clients.
    pub fn for_door(&self) -> Limits {
        Limits {
            clients: self.door,
            turned_away: self.door / 4,
            crowded: self.door,
            client_idle: self.startup,
            relief: self.period,
            message: 4 * 1024,
            head: 4 * 1024,
            ..self.clone()
        }
    }
    /// All clients together hold at most so many connections for requests: those that lie idle are taken from
    /// those that ask, and end soon.
    pub fn clients_hold(&mut self, most: usize) {
        self.crowded = (most * 5 / 8).clamp(1, self.clients);
        self.client_idle = Duration::from_secs(2);
    }
    /// So many poolers share discovery.
    pub fn tier(&mut self, poolers: Option<u32>) {
        self.overbooked = (CALL * poolers.unwrap_or(1).clamp(1, 10_000)).min(ASK_AGAIN);
    }
    /// How long after SIGTERM connections are taken and idle ones kept, and when the program ends, where no
    /// client has given a request longer than `patience`. One that is `alone` has nobody to leave its clients
    /// to: it serves those that it has for as long as what they ask can still be answered.
    pub fn ending(&self, patience: Option<TimeDelta>, alone: bool) -> (Duration, Duration) {
        let patience = patience.unwrap_or(TimeDelta::ZERO).to_duration().min(self.drain);
        // Killed no sooner than the longest deadline and 0.7 s more after SIGTERM.
        let end = patience.max(self.lame) + Duration::from_millis(550);
        (if alone { self.lame.max(end.saturating_sub(LAST_CALL)) } else { self.lame }, end)
    }
    /// The longest deadline of these classes is waited for after SIGTERM, whatever a client claims: the platform's
    /// SIGKILL follows that.
    pub fn deadlines_at_most(&mut self, classes: &[Class]) {
        let longest = classes.iter().map(|c| c.deadline).reduce(|a, b| Some(a?.max(b?))).flatten();
        if let Some(longest) = longest {
            self.drain = self.drain.min(longest.to_duration());
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
