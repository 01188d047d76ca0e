//! The thread that owns this daemon's part in the agreement and its disk: a queue in, a queue out. A slow disk
//! holds up nobody but itself.

use super::codec;
use super::raft_message::Letter;
use super::raft_node::{Applied, Image, Progress, Replica, What, Write};
use super::records::{Conf, Hard};
use super::state_machine::{Change, Effect, Membership, Proposal, State};
use super::storage::{Disk, Held, Identity, Marks, Witness};
use crate::config::Limits;
use crate::ids::NodeId;
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender};
use std::time::Instant;

/// What comes in.
#[derive(Debug)]
pub enum Input {
    /// Letters of other daemons.
    Letters(Vec<Letter>),
    /// A change, put into the log if this daemon leads. One that only restricts goes in at once, any other once
    /// a majority has confirmed that this daemon leads: what a leader that is cut off put into its log might
    /// count long after it was given up.
    Propose(Proposal),
    /// A change of the membership, if this daemon leads.
    Members(Membership),
    /// Drains that are not agreed yet, to be kept; the number comes back when they are on the disk.
    Marks(Marks, u64),
    /// What was learned of the hosts, to be kept.
    Learned(Vec<u8>),
    /// A new fleet begins with this state.
    Found(Box<State>),
    /// A fleet of this daemon alone goes on from this state, on an operator's word.
    Recover(Box<State>),
    /// Others that this daemon may ask have found nothing wrong with its disk: it takes part.
    TakePart,
    /// This daemon is not the one that its disk says: it becomes a new one.
    Renounce(&'static str),
    /// Another daemon is to lead.
    Transfer(NodeId),
    /// If this daemon leads it says so now: somebody has come who may have missed it.
    Ping,
    /// This daemon asks for the lead, if nobody is known to lead.
    Stand,
    /// A whole state was handed to the way to a daemon, or was not.
    Sent(NodeId, bool),
    /// The way to a daemon is broken.
    Unreachable(NodeId),
}

/// What goes out.
#[derive(Debug)]
pub enum Output {
    /// Letters to other daemons.
    Letters(Vec<Letter>),
    /// What was agreed.
    Applied(Vec<Applied>),
    /// How things stand.
    Status(Box<Status>),
    /// Drains with this number are on the disk.
    Saved(u64),
    /// This daemon is a new one.
    Renewed(Identity),
    /// The disk failed: this daemon takes no part any more.
    Broken(String),
}

/// How things stand with the agreement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Who leads, as far as is known; 0: nobody.
    pub leader: NodeId,
    /// The term.
    pub term: u64,
    /// The last place of the log that is known as agreed.
    pub agreed: u64,
    /// The last one that was taken in.
    pub applied: u64,
    /// What this daemon's disk holds, as others may remember it.
    pub witness: Witness,
    /// This daemon takes part.
    pub part: bool,
    /// Who votes and who follows.
    pub conf: Conf,
    /// How far the others are, where this daemon leads.
    pub progress: Vec<Progress>,
    /// Bytes of the log, and its entries.
    pub log: (usize, usize),
    /// What others said of themselves.
    pub witnesses: BTreeMap<NodeId, Witness>,
    /// Letters that were dropped, and times that the agreement had to be read anew.
    pub dropped: (u64, u64),
    /// Writes to the disk since the start, each of them synced.
    pub writes: u64,
}

/// What stands at the start, before the thread runs.
pub struct Opened {
    /// Who this daemon is.
    pub identity: Identity,
    /// What is agreed.
    pub state: State,
    /// How things stand.
    pub status: Status,
    /// Drains that are not agreed.
    pub marks: Marks,
    /// What was learned of the hosts before this start, as the fleet wrote it.
    pub learned: Option<Vec<u8>>,
    /// A store of the old form.
    pub legacy: Option<super::legacy::Legacy>,
}

/// A change that waits until a majority has said that this daemon still leads.
struct Waiting {
    proposal: Proposal,
    ticks: u32,
}

/// Ticks that a change waits for that, and that a change which went into the log is not put there again.
const CONFIRM_TICKS: u32 = 40;

struct Owner {
    disk: Option<Disk>,
    replica: Replica,
    part: bool,
    boots: u64,
    limits: Limits,
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    recent: BTreeMap<(NodeId, u64), u32>,
    witnesses: BTreeMap<NodeId, Witness>,
    heard: bool,
    /// A write of nothing but how far is agreed waits for the next one.
    commit: Option<Hard>,
    dropped: (u64, u64),
    told: Status,
    out: Sender<Output>,
}

/// Starts the thread on what a disk held.
pub fn start(
    disk: Disk,
    held: Held,
    limits: &Limits,
) -> Result<(Opened, SyncSender<Input>, Receiver<Output>), String> {
    let (inputs, queue) = mpsc::sync_channel(limits.input_queue);
    // The sockets' thread takes what comes as it comes, and drops what it cannot send.
    let (out, outputs) = async_channel::unbounded();
    let Held { image, marks, witnesses, learned, legacy, .. } = held;
    let (disk, replica) = match Replica::new(disk.identity.id, image) {
        Ok(replica) => (disk, replica),
        Err(e) => {
            log::warn!("store: {e}; set aside, this daemon is a new one");
            let disk = disk.renounce("damaged")?;
            let replica = Replica::new(disk.identity.id, Image::default())?;
            (disk, replica)
        }
    };
    let identity = disk.identity.clone();
    let part = !replica.conf().voters.contains(&identity.id);
    let mut owner = Owner {
        disk: Some(disk),
        replica,
        part,
        boots: identity.boots,
        limits: limits.clone(),
        waiting: BTreeMap::new(),
        next: 0,
        recent: BTreeMap::new(),
        witnesses,
        heard: false,
        commit: None,
        dropped: (0, 0),
        told: Status::default(),
        out,
    };
    let open = owner.replica.open().into_iter().filter_map(|p| match p.change {
        Change::Drain { host, mark } => Some((host, mark)),
        _ => None,
    });
    // A drain that is in the log acts, whether or not this disk knows that it was agreed.
    let marks = marks.into_iter().chain(open).collect();
    let state = owner.replica.state().clone();
    owner.told = owner.status();
    let opened = Opened { identity, state, status: owner.told.clone(), marks, learned, legacy };
    let thread = std::thread::Builder::new().name("store".into());
    thread.spawn(move || owner.run(&queue)).map_err(|e| format!("store: {e}"))?;
    Ok((opened, inputs, outputs))
}

impl Owner {
    fn run(mut self, queue: &mpsc::Receiver<Input>) {
        let mut next = Instant::now() + self.limits.raft_tick;
        self.settle();
        loop {
            match queue.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(input) => {
                    self.input(input);
                    // One write for all that waits.
                    for _ in 0..self.limits.input_queue {
                        let Ok(input) = queue.try_recv() else { break };
                        self.input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next {
                // A process that stood still has not waited for a leader all that time.
                next = now + self.limits.raft_tick;
                self.tick();
            }
            if !self.settle() {
                return;
            }
        }
    }

    fn tell(&self, output: Output) {
        // Unbounded: full it never is, and a receiver that is gone ends the loop by the queue.
        let _ = self.out.try_send(output);
    }

    fn status(&self) -> Status {
        let (last, term) = self.replica.last();
        Status {
            leader: self.replica.leader(),
            term,
            agreed: self.replica.agreed(),
            applied: self.replica.applied(),
            witness: Witness { boots: self.boots, term, last: (self.replica.term_at(last), last) },
            part: self.part,
            conf: self.replica.conf(),
            progress: self.replica.progress(),
            log: self.replica.log_size(),
            witnesses: self.witnesses.clone(),
            dropped: self.dropped,
            writes: self.disk.as_ref().map_or(0, |disk| disk.writes.get()),
        }
    }

    fn tick(&mut self) {
        if self.part {
            self.guarded(|r| r.tick());
        }
        for waiting in self.waiting.values_mut() {
            waiting.ticks += 1;
        }
        self.waiting.retain(|_, w| w.ticks < CONFIRM_TICKS);
        for ticks in self.recent.values_mut() {
            *ticks += 1;
        }
        self.recent.retain(|_, ticks| *ticks < CONFIRM_TICKS);
        if !self.replica.leads() {
            self.waiting.clear();
            self.recent.clear();
        }
        // A question that came before this leader had agreed on anything, or got lost, is asked again.
        let again: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| w.ticks % 4 == 0).map(|(n, _)| *n).collect();
        for number in again {
            self.guarded(|r| r.confirm(number));
        }
    }

    /// Works on the agreement. Should the library end in a panic, as over letters that contradict the log, the
    /// agreement is read anew from the disk: what is there was written before anybody was told.
    fn guarded<T>(&mut self, work: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        match catch_unwind(AssertUnwindSafe(|| work(&mut self.replica))) {
            Ok(done) => Some(done),
            Err(_) => {
                self.dropped.1 += 1;
                log::error!("the agreement ended in a panic; it is read anew from the disk");
                self.reread();
                None
            }
        }
    }

    fn reread(&mut self) {
        let image = self.disk.as_ref().map_or_else(|| Err("no disk".to_string()), Disk::image);
        match image.and_then(|image| Replica::new(self.replica.id(), image)) {
            Ok(replica) => {
                let (digest, index) = (replica.state().digest, replica.applied());
                let what = What::State(Box::new(replica.state().clone()));
                let effect = Effect::Done;
                self.replica = replica;
                self.tell(Output::Applied(vec![Applied { index, digest, what, effect }]));
            }
            Err(e) => self.fail(e),
        }
    }

    fn fail(&mut self, why: String) {
        self.disk = None;
        self.part = false;
        self.tell(Output::Broken(why));
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Letters(letters) => {
                for letter in letters {
                    self.hear(&letter);
                    if !self.part || self.guarded(|r| r.receive(letter)) != Some(true) {
                        self.dropped.0 += 1;
                    }
                }
            }
            Input::Propose(proposal) => self.propose(proposal),
            Input::Members(change) => drop(self.guarded(|r| r.propose_members(&change))),
            Input::Marks(marks, number) => {
                if self.write(&Write::default(), &[("marks", codec::write(&marks))]) {
                    self.tell(Output::Saved(number));
                }
            }
            Input::Learned(bytes) => {
                self.write(&Write::default(), &[("learned", codec::write(&bytes))]);
            }
            Input::Found(state) => self.found(&state),
            Input::Recover(state) => {
                let image = Image::refound(&state, self.replica.id(), self.replica.last());
                self.begin(&image);
            }
            Input::TakePart => {
                if !std::mem::replace(&mut self.part, self.disk.is_some())
                    && self.replica.conf().voters == [self.replica.id()]
                {
                    self.guarded(Replica::campaign);
                }
            }
            Input::Renounce(why) => self.renounce(why),
            Input::Transfer(to) => drop(self.guarded(|r| r.transfer(to))),
            Input::Stand if self.part && self.replica.leader() == NodeId::NOBODY => {
                log::debug!("store: asks for the lead");
                self.guarded(Replica::campaign);
            }
            Input::Stand => {}
            Input::Ping => drop(self.guarded(Replica::ping)),
            Input::Sent(to, sent) => drop(self.guarded(|r| r.snapshot_sent(to, sent))),
            Input::Unreachable(id) => drop(self.guarded(|r| r.unreachable(id))),
        }
    }

    /// Remembers what another daemon has said of its disk.
    fn hear(&mut self, letter: &Letter) {
        let Some(term) = letter.promised() else { return };
        let held = letter.acknowledged().filter(|i| *i <= self.replica.last().0);
        let last = held.map_or((0, 0), |index| (self.replica.term_at(index), index));
        let now = Witness { boots: 0, term, last };
        let known = self.witnesses.entry(letter.from).or_default();
        let before = *known;
        known.hear(&now);
        self.heard |= before != *known;
    }

    fn propose(&mut self, proposal: Proposal) {
        let key = (proposal.from, proposal.token);
        if !self.replica.leads() || self.recent.contains_key(&key) {
            return;
        }
        if proposal.change.restricts() {
            self.put(proposal);
        } else if !self.waiting.values().any(|w| (w.proposal.from, w.proposal.token) == key)
            && self.waiting.len() < self.limits.fleet_nodes
        {
            self.next += 1;
            let number = self.next;
            self.waiting.insert(number, Waiting { proposal, ticks: 0 });
            self.guarded(|r| r.confirm(number));
        }
    }

    fn put(&mut self, proposal: Proposal) {
        let key = (proposal.from, proposal.token);
        if self.guarded(|r| r.propose(&proposal)) == Some(true) {
            self.recent.insert(key, 0);
        }
    }

    fn found(&mut self, state: &State) {
        if self.replica.fleet() != 0 {
            return;
        }
        let image = Image::found(state, self.replica.id());
        self.begin(&image);
    }

    /// A fleet of this daemon alone begins.
    fn begin(&mut self, image: &Image) {
        self.commit = None;
        if self.write(&image.whole(), &[]) {
            self.part = true;
            self.reread();
            self.guarded(Replica::campaign);
        }
    }

    fn renounce(&mut self, why: &str) {
        let Some(disk) = self.disk.take() else { return };
        match disk.renounce(why) {
            Ok(disk) => {
                let identity = disk.identity.clone();
                match Replica::new(identity.id, Image::default()) {
                    Ok(replica) => self.replica = replica,
                    Err(e) => return self.fail(e),
                }
                (self.disk, self.boots, self.part) = (Some(disk), identity.boots, true);
                self.waiting.clear();
                self.tell(Output::Renewed(identity));
            }
            Err(e) => self.fail(e),
        }
    }

    fn write(&mut self, write: &Write, more: &[(&str, Vec<u8>)]) -> bool {
        let Some(disk) = &self.disk else { return false };
        let commit = self.commit.take();
        let write = Write { hard: write.hard.or(commit), ..write.clone() };
        let mut more = more.to_vec();
        if std::mem::take(&mut self.heard) {
            more.push(("witnesses", codec::write(&self.witnesses)));
        }
        match disk.write(&write, &more) {
            Ok(()) => {
                let last = write.entries.last().map(|e| (e.index, e.term));
                if let Some((index, term)) = last.or(write.snapshot.as_ref().map(|s| (s.index, s.term))) {
                    log::debug!("store: holds {index} of term {term}");
                }
                true
            }
            Err(e) => {
                self.fail(e);
                false
            }
        }
    }

    /// Works off all steps; false: nobody listens any more.
    fn settle(&mut self) -> bool {
        while let Some(Some(mut pending)) = self.guarded(Replica::step) {
            let confirmed = self.replica.confirmed();
            let send = std::mem::take(&mut pending.send);
            if !send.is_empty() {
                self.tell(Output::Letters(send));
            }
            // How far is agreed need not be on the disk: the leader tells it again.
            let mut write = pending.write.clone();
            let kept = write.hard.filter(|h| (h.term, h.vote) == self.replica.written_vote());
            if kept.is_some() && (Write { hard: None, ..write.clone() }).is_empty() {
                self.commit = write.hard.take();
            }
            if !write.is_empty() && !self.write(&write, &[]) {
                return true;
            }
            let Some((letters, applied)) = self.guarded(|r| r.written(pending)) else { continue };
            // Only now: nothing may go into the log in the midst of a step.
            for number in confirmed {
                if let Some(waiting) = self.waiting.remove(&number) {
                    self.put(waiting.proposal);
                }
            }
            if !letters.is_empty() {
                self.tell(Output::Letters(letters));
            }
            if !applied.is_empty() {
                self.tell(Output::Applied(applied));
            }
            let bounds = (self.limits.log_bytes, self.limits.log_entries);
            if let Some(Some(write)) = self.guarded(|r| r.compact(bounds.0, bounds.1)) {
                self.write(&write, &[]);
            }
        }
        let status = self.status();
        if status != self.told {
            self.told = status.clone();
            self.tell(Output::Status(Box::new(status)));
        }
        !self.out.is_closed()
    }
}
