//! A stand-in for a node of commit 029518c in a fleet: it connects to its peers, replicates their log and votes, using
//! only the messages of that commit. It never starts an election, so that the leader is always the program under test.

pub mod wire;

use brookpass_testkit::eventually;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use wire::*;

/// Time between two rounds of sending queued messages.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Number of send rounds from one heartbeat to the next.
const HEARTBEAT_INTERVAL_ROUNDS: u32 = 10;

/// The stand-in's Raft state and its pending drains and messages.
#[derive(Default)]
struct State {
    fleet: u128,
    term: u64,
    leader: u64,
    committed: u64,
    /// Index and term of the last entry in the snapshot; the log begins after it.
    snapshot: (u64, u64),
    log: BTreeMap<u64, LogEntry>,
    /// Drains accepted by this node, in the form in which they are sent to peers. They are kept after their commit.
    drains: Vec<(String, DrainId)>,
    votes: u32,
    /// Encoded messages that wait to be sent, by peer.
    outgoing: BTreeMap<u64, Vec<Vec<u8>>>,
}

impl State {
    fn last_entry(&self) -> (u64, u64) {
        self.log.last_key_value().map_or(self.snapshot, |(index, entry)| (*index, entry.term))
    }
}

/// Handle of a stand-in, which runs until the test process ends.
#[derive(Clone)]
pub struct OldNode {
    pub id: u64,
    pub name: String,
    /// Address at which peers reach it.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl OldNode {
    /// Starts a stand-in that listens on a free port.
    pub fn start(id: u64, name: &str) -> OldNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = OldNode { id, name: name.into(), address, state: Arc::default() };
        let node_clone = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let node_clone = node_clone.clone();
                thread::spawn(move || node_clone.serve(stream));
            }
        });
        node
    }

    /// Opens a link to a peer and reopens it whenever it breaks.
    pub fn link_to(&self, peer: SocketAddr) {
        let node_clone = self.clone();
        thread::spawn(move || {
            loop {
                let _ = node_clone.send_to(peer);
                thread::sleep(SEND_INTERVAL);
            }
        });
    }

    /// Drains an endpoint, as an operator's call to this node would.
    pub fn drain(&self, endpoint: &str, sequence: u64) -> DrainId {
        let drain = DrainId { node: self.id, sequence };
        self.state().drains.push((endpoint.into(), drain));
        drain
    }

    /// Number of votes that it has granted to candidates.
    pub fn votes(&self) -> u32 {
        self.state().votes
    }

    /// Waits until it has received committed entries or a snapshot; later changes reach it as log entries.
    pub fn wait_until_following(&self) {
        eventually("the old node follows the log", || self.state().committed > 0);
    }

    /// Waits until the committed log has a drain of this endpoint and returns the id of the drain.
    pub fn committed_drain(&self, endpoint: &str) -> DrainId {
        let mut found = None;
        eventually("the old node has committed the drain", || {
            let state = self.state();
            let committed = state.log.range(..=state.committed).map(|(_, entry)| entry);
            found = committed.filter_map(decode_proposal).find_map(|proposal| match proposal.change {
                Change::Drain { host: drained, drain } if drained == endpoint => Some(drain),
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
        let (index, term) = state.last_entry();
        let progress = (1, state.term, (term, index));
        Hello { fleet: state.fleet, id: self.id, name: self.name.clone(), address: self.address, progress }
    }

    /// The heartbeat that a node of that commit sends periodically.
    fn heartbeat(&self, peer: u64) -> Vec<u8> {
        let state = self.state();
        let (index, term) = state.last_entry();
        let heartbeat = Heartbeat {
            leader: state.leader,
            term: state.term,
            last: (term, index),
            participates: true,
            committed: state.committed,
            applied: (state.committed, 0),
            reachable_peers: vec![peer],
            ..Heartbeat::default()
        };
        encode_message(HEARTBEAT, &heartbeat)
    }

    /// Connects to a peer, exchanges hellos and sends it messages until the link breaks.
    fn send_to(&self, peer: SocketAddr) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(peer)?;
        let head = format!(
            "POST /fleet/link HTTP/1.1\r\nHost: {peer}\r\nConnection: Upgrade\r\nUpgrade: brookpass-fleet/1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let answer = read_head(&mut stream)?;
        assert!(answer.starts_with("HTTP/1.1 101 "), "{answer}");
        stream.write_all(&encode_message(HELLO, &self.hello()))?;
        let (variant, body) = read_message(&mut stream)?;
        assert_eq!(variant, VERDICT);
        let (verdict, peer_hello): (Verdict, Hello) = decode_fields(&body);
        assert!(matches!(verdict, Verdict::Welcome | Verdict::Candidate(_)), "{verdict:?}");
        for round in 0.. {
            let mut messages = self.state().outgoing.remove(&peer_hello.id).unwrap_or_default();
            if round % HEARTBEAT_INTERVAL_ROUNDS == 0 {
                messages.push(self.heartbeat(peer_hello.id));
                let drains = self.state().drains.clone();
                if !drains.is_empty() {
                    messages.push(encode_message(DRAINS, &drains));
                }
            }
            stream.write_all(&messages.concat())?;
            thread::sleep(SEND_INTERVAL);
        }
        Ok(())
    }

    /// Serves a link that a peer opened until it breaks.
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
        let peer_hello: Hello = decode_fields(&body);
        stream.write_all(&encode_message(VERDICT, &(Verdict::Welcome, self.hello())))?;
        loop {
            let (variant, body) = read_message(stream)?;
            match variant {
                RAFT => {
                    for raft_message in decode_fields::<Vec<RaftMessage>>(&body) {
                        self.handle(peer_hello.fleet, raft_message);
                    }
                }
                HEARTBEAT => {
                    let heartbeat: Heartbeat = decode_fields(&body);
                    assert!(heartbeat.committed >= heartbeat.applied.0, "{heartbeat:?}");
                }
                DRAINS => {
                    decode_fields::<Vec<(String, DrainId)>>(&body);
                }
                _ => {}
            }
        }
    }

    /// Handles a Raft message as a follower that grants every vote and always accepts the leader's log.
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
        let bytes = encode_message(RAFT, &vec![answer.clone()]);
        state.outgoing.entry(answer.to).or_default().push(bytes);
    }

    fn follow(&self, state: &mut State, received: RaftMessage, answer: &mut RaftMessage) {
        match received.kind {
            RAFT_HEARTBEAT => {
                answer.kind = RAFT_HEARTBEAT_RESPONSE;
                answer.context = received.context;
            }
            SNAPSHOT => {
                let snapshot = received.snapshot.expect("a snapshot message carries a snapshot");
                state.log.clear();
                state.snapshot = (snapshot.index, snapshot.term);
                state.committed = snapshot.index;
                (answer.kind, answer.index) = (APPEND_RESPONSE, snapshot.index);
            }
            _ => {
                answer.kind = APPEND_RESPONSE;
                let last_index = state.last_entry().0;
                if received.index > last_index {
                    (answer.reject, answer.index, answer.reject_hint) = (true, received.index, last_index);
                    return;
                }
                answer.index = received.entries.last().map_or(received.index, |entry| entry.index);
                for entry in received.entries {
                    state.log.split_off(&entry.index);
                    state.log.insert(entry.index, entry);
                }
            }
        }
        state.committed = state.committed.max(received.commit.min(state.last_entry().0));
        answer.commit = state.committed;
    }
}

/// Reads the head of an HTTP message up to and including its empty line, and no bytes after it.
fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8(head).expect("the head is UTF-8"))
}

/// Reads one message and returns its variant and the bytes of its fields.
fn read_message(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let mut bytes = vec![0; 4];
    stream.read_exact(&mut bytes)?;
    let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    bytes.resize(4 + length, 0);
    stream.read_exact(&mut bytes[4..])?;
    let (variant, body, used) = split_message(&bytes).expect("the message is complete");
    assert_eq!(used, bytes.len());
    Ok((variant, body))
}
