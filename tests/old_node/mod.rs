//! A stand-in for a daemon of commit 029518c in a fleet: it meets others, follows their log and votes, with the messages
//! of that commit only. It never stands for election, so that whatever is agreed was led by the program under test.

pub mod wire;

use brookpass_testkit::eventually;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use wire::*;

/// Between two rounds in which the stand-in sends what it has to say.
const ROUND: Duration = Duration::from_millis(20);
/// Rounds between two heartbeats.
const HEARTBEAT_ROUNDS: u32 = 10;

/// What the stand-in keeps, and what it has been told.
#[derive(Default)]
struct State {
    fleet: u128,
    term: u64,
    leader: u64,
    committed: u64,
    /// The last entry of the snapshot that the log begins after: its index and term.
    snapshot: (u64, u64),
    log: BTreeMap<u64, LogEntry>,
    /// Drains that were said and not agreed, as others sent them.
    drains: Vec<(String, DrainMark)>,
    votes: u32,
    /// Messages that wait for each peer.
    outgoing: BTreeMap<u64, Vec<Vec<u8>>>,
}

impl State {
    fn last(&self) -> (u64, u64) {
        self.log.last_key_value().map_or(self.snapshot, |(index, entry)| (*index, entry.term))
    }
}

/// The stand-in. It runs until the test's process ends.
#[derive(Clone)]
pub struct OldNode {
    pub id: u64,
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl OldNode {
    /// Listens at a free port.
    pub fn start(id: u64, name: &str) -> OldNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = OldNode { id, name: name.into(), address, state: Arc::default() };
        let own = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        node
    }

    /// Opens a link to a daemon, again whenever it breaks.
    pub fn link_to(&self, peer: SocketAddr) {
        let own = self.clone();
        thread::spawn(move || {
            loop {
                let _ = own.send_to(peer);
                thread::sleep(ROUND);
            }
        });
    }

    /// Says that a host is drained, as an operator's call at this daemon did.
    pub fn drain(&self, host: &str, number: u64) -> DrainMark {
        let mark = DrainMark { by: self.id, number };
        self.state().drains.push((host.into(), mark));
        mark
    }

    /// Votes that it has given to candidates.
    pub fn votes(&self) -> u32 {
        self.state().votes
    }

    /// Waits until it has taken in what was agreed up to now: what comes later reaches it as entries of the log.
    pub fn wait_until_it_follows(&self) {
        eventually("an old daemon follows the log", || self.state().committed > 0);
    }

    /// Waits until the log that is agreed has a drain of this host; the drain's mark.
    pub fn agreed_drain(&self, host: &str) -> DrainMark {
        let mut found = None;
        eventually("an old daemon's log has the drain as agreed", || {
            let state = self.state();
            let agreed = state.log.range(..=state.committed).map(|(_, entry)| entry);
            found = agreed.filter_map(proposal).find_map(|proposal| match proposal.change {
                Change::Drain { host: drained, mark } if drained == host => Some(mark),
                _ => None,
            });
            found.is_some()
        });
        found.unwrap()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn hello(&self) -> Hello {
        let state = self.state();
        let (index, term) = state.last();
        let witness = (1, state.term, (term, index));
        Hello { fleet: state.fleet, id: self.id, name: self.name.clone(), address: self.address, witness }
    }

    /// What a daemon of that commit says now and then.
    fn heartbeat(&self, peer: u64) -> Vec<u8> {
        let state = self.state();
        let (index, term) = state.last();
        let heartbeat = Heartbeat {
            leader: state.leader,
            term: state.term,
            last: (term, index),
            participates: true,
            committed: state.committed,
            applied: (state.committed, 0),
            hears: vec![peer],
            ..Heartbeat::default()
        };
        message(HEARTBEAT, &heartbeat)
    }

    /// Meets a daemon and sends it what there is to say, until the link breaks.
    fn send_to(&self, peer: SocketAddr) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(peer)?;
        let head = format!(
            "POST /fleet/link HTTP/1.1\r\nHost: {peer}\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let answer = read_head(&mut stream)?;
        assert!(answer.starts_with("HTTP/1.1 101 "), "{answer}");
        stream.write_all(&message(HELLO, &self.hello()))?;
        let (variant, body) = read_message(&mut stream)?;
        assert_eq!(variant, VERDICT);
        let (verdict, other): (Verdict, Hello) = fields(&body);
        assert!(matches!(verdict, Verdict::Welcome | Verdict::Candidate(_)), "{verdict:?}");
        for round in 0.. {
            let mut due = self.state().outgoing.remove(&other.id).unwrap_or_default();
            if round % HEARTBEAT_ROUNDS == 0 {
                due.push(self.heartbeat(other.id));
                let drains = self.state().drains.clone();
                if !drains.is_empty() {
                    due.push(message(DRAINS, &drains));
                }
            }
            stream.write_all(&due.concat())?;
            thread::sleep(ROUND);
        }
        Ok(())
    }

    /// Serves the link of another daemon until it breaks.
    fn serve(&self, mut stream: TcpStream) {
        let _ = self.receive(&mut stream);
    }

    fn receive(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let head = read_head(stream)?;
        assert!(head.starts_with("POST /fleet/link HTTP/1.1\r\n"), "{head}");
        assert!(head.to_ascii_lowercase().contains("\r\nupgrade: brookpass-fleet/1\r\n"), "{head}");
        stream
            .write_all(b"HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\n\r\n")?;
        let (variant, body) = read_message(stream)?;
        assert_eq!(variant, HELLO);
        let other: Hello = fields(&body);
        stream.write_all(&message(VERDICT, &(Verdict::Welcome, self.hello())))?;
        loop {
            let (variant, body) = read_message(stream)?;
            match variant {
                RAFT => {
                    for raft_message in fields::<Vec<RaftMessage>>(&body) {
                        self.handle(other.fleet, raft_message);
                    }
                }
                HEARTBEAT => {
                    let heartbeat: Heartbeat = fields(&body);
                    assert!(heartbeat.committed >= heartbeat.applied.0, "{heartbeat:?}");
                }
                DRAINS => {
                    fields::<Vec<(String, DrainMark)>>(&body);
                }
                _ => {}
            }
        }
    }

    /// Takes part in the consensus as a follower that holds no doubts: its log is always what the leader says.
    fn handle(&self, fleet: u128, received: RaftMessage) {
        let mut state = self.state();
        if received.term < state.term {
            return;
        }
        state.fleet = fleet;
        let mut answer = RaftMessage { to: received.from, from: self.id, ..RaftMessage::default() };
        match received.kind {
            PRE_VOTE => (answer.kind, answer.term) = (PRE_VOTE_RESPONSE, received.term),
            VOTE => {
                (answer.kind, answer.term) = (VOTE_RESPONSE, received.term);
                (state.term, state.leader) = (received.term, 0);
                state.votes += 1;
            }
            APPEND | SNAPSHOT | RAFT_HEARTBEAT => {
                (state.term, state.leader) = (received.term, received.from);
                answer.term = received.term;
                self.follow(&mut state, received, &mut answer);
            }
            _ => return,
        }
        let bytes = message(RAFT, &vec![answer.clone()]);
        state.outgoing.entry(answer.to).or_default().push(bytes);
    }

    fn follow(&self, state: &mut State, received: RaftMessage, answer: &mut RaftMessage) {
        match received.kind {
            RAFT_HEARTBEAT => {
                answer.kind = RAFT_HEARTBEAT_RESPONSE;
                answer.context = received.context;
            }
            SNAPSHOT => {
                let snapshot = received.snapshot.expect("a snapshot has its state");
                state.log.clear();
                state.snapshot = (snapshot.index, snapshot.term);
                state.committed = snapshot.index;
                (answer.kind, answer.index) = (APPEND_RESPONSE, snapshot.index);
            }
            _ => {
                answer.kind = APPEND_RESPONSE;
                let last = state.last().0;
                if received.index > last {
                    (answer.reject, answer.index, answer.reject_hint) = (true, received.index, last);
                    return;
                }
                answer.index = received.entries.last().map_or(received.index, |entry| entry.index);
                for entry in received.entries {
                    state.log.split_off(&entry.index);
                    state.log.insert(entry.index, entry);
                }
            }
        }
        state.committed = state.committed.max(received.commit.min(state.last().0));
        answer.commit = state.committed;
    }
}

/// Reads the head of an HTTP message, its empty line included, and nothing behind it.
fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8(head).expect("a head is text"))
}

/// Reads one message: its variant and the bytes of its fields.
fn read_message(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let mut bytes = vec![0; 4];
    stream.read_exact(&mut bytes)?;
    let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    bytes.resize(4 + length, 0);
    stream.read_exact(&mut bytes[4..])?;
    let (variant, body, used) = split(&bytes).expect("a whole message");
    assert_eq!(used, bytes.len());
    Ok((variant, body))
}
