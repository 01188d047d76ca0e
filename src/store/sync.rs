//! Anti-entropy between daemons, and the operator's commands: HTTP on loopback.

use super::view::Files;
use super::{Store, parse, view};
use crate::clock::Clock;
use crate::config::Limits;
use crate::net::buffer::Buffer;
use crate::net::http::client::Client;
use crate::net::http::server::{self, Next, Request};
use crate::net::link::Link;
use crate::net::until;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// Header: the sender knows what its peers know.
const CAUGHT_UP: &str = "Brookpass-Caught-Up";

/// A store that peers and the operator reach, and that tells when it changed.
pub struct Shared {
    store: RefCell<Store>,
    peers: Vec<SocketAddr>,
    heard: RefCell<BTreeSet<SocketAddr>>,
    limits: Limits,
    clock: Clock,
    files: RefCell<Files>,
    /// Wakes whoever acts on changes, and each peer's exchange.
    wake: Vec<(Sender<()>, Receiver<()>)>,
    told: Cell<u64>,
}

impl Shared {
    /// Shares a store with these peers.
    pub fn new(store: Store, peers: Vec<SocketAddr>, limits: Limits, clock: Clock) -> Shared {
        let wake = (0..=peers.len()).map(|_| async_channel::bounded(1)).collect();
        let (heard, told) = (RefCell::default(), Cell::new(0));
        let (store, files) = (RefCell::new(store), RefCell::default());
        Shared { store, peers, heard, limits, clock, files, wake, told }
    }

    /// Looks at the store.
    pub fn read<T>(&self, look: impl FnOnce(&Store) -> T) -> T {
        look(&self.store.borrow())
    }

    /// Changes the store; whoever has to know is woken.
    pub fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let done = change(&mut self.store.borrow_mut());
        let version = self.store.borrow().version();
        if self.told.replace(version) != version {
            for (wake, _) in &self.wake {
                // One that is full wakes its receiver as it is.
                let _ = wake.try_send(());
            }
        }
        done
    }

    /// Notes what the daemon's own files say now, and takes it into the store.
    pub fn read_files(&self, note: impl FnOnce(&mut Files)) {
        note(&mut self.files.borrow_mut());
        self.change(|s| view::take_files(s, &self.files.borrow(), self.clock.now()));
    }

    /// Comes back when the store has changed since the last time.
    pub async fn changed(&self) {
        let _ = self.wake[0].1.recv().await;
    }

    /// Takes in what another copy sent.
    fn take(&self, text: &str) -> Result<(), String> {
        let (records, ..) = parse(text)?;
        self.change(|s| s.merge(records));
        Ok(())
    }

    fn catch_up(&self) {
        if self.read(Store::is_caught_up) {
            return;
        }
        log::info!("store: caught up");
        self.change(|s| {
            // What the files said before anything was known of the others counts only if it is newer than
            // what they have; drains stay. In one step, so that no list without hosts is ever seen.
            s.forget_pending(|key| !view::is_drain(key));
            s.caught_up();
            view::take_files(s, &self.files.borrow(), self.clock.now());
        });
    }

    /// Exchanges with one peer for ever.
    pub async fn exchange(&self, number: usize) {
        let Some(&peer) = self.peers.get(number) else { return };
        let mut kept = None;
        let mut down = false;
        loop {
            let end = Instant::now() + self.limits.discovery;
            match until(end, self.call(&mut kept, peer)).await {
                Some(Ok(caught_up)) => {
                    if std::mem::replace(&mut down, false) {
                        log::info!("store: peer {peer} is back");
                    }
                    self.heard.borrow_mut().insert(peer);
                    // Where all started anew nobody is ahead: then it is enough to have heard all of them.
                    if caught_up || self.heard.borrow().len() == self.peers.len() {
                        self.catch_up();
                    }
                }
                failed => {
                    kept = None;
                    if !std::mem::replace(&mut down, true) {
                        let why = failed.map_or("no answer in time".into(), |r| {
                            r.map_or_else(|e| e.to_string(), |_| String::new())
                        });
                        log::warn!("store: peer {peer}: {why}");
                    }
                }
            }
            let _ = until(Instant::now() + self.limits.period, self.wake[number + 1].1.recv()).await;
        }
    }

    async fn call(&self, kept: &mut Option<Client>, peer: SocketAddr) -> io::Result<bool> {
        let mut client = match kept.take() {
            Some(client) if client.quiet() => client,
            _ => Client::connect(peer).await?,
        };
        let (text, mine) = self.read(|s| (s.text(), u8::from(s.is_caught_up())));
        let request = format!(
            "POST /store HTTP/1.1\r\nHost: {peer}\r\n{CAUGHT_UP}: {mine}\r\nContent-Type: text/plain\r\n\
             Content-Length: {}\r\n\r\n{text}",
            text.len()
        );
        let (head, body, keeps) = client.call(request.as_bytes(), &self.limits).await?;
        let text = String::from_utf8(body).unwrap_or_default();
        if head.line[1] != "200" {
            return Err(io::Error::other(format!("status {}", head.line[1])));
        }
        self.take(&text).map_err(io::Error::other)?;
        *kept = keeps.then_some(client);
        Ok(head.get(CAUGHT_UP) == Some("1"))
    }

    /// Serves one connection of a peer or the operator.
    pub async fn serve(&self, mut link: Link) {
        let mut buffer = Buffer::default();
        // A peer sends its whole copy.
        let limits = Limits { message: self.limits.list, ..self.limits.clone() };
        loop {
            let (bytes, keeps) = match server::next(&mut link, &mut buffer, &limits).await {
                Next::Over => break,
                Next::Refused(status, why) => {
                    (server::answer(status, &[("Connection", "close")], &why), false)
                }
                Next::Request(request) => {
                    let (status, text) = self.answer(&request);
                    let mine = if self.read(Store::is_caught_up) { "1" } else { "0" };
                    (
                        server::answer(status, &[(CAUGHT_UP, mine)], &text),
                        request.keeps_open() && !link.ends(),
                    )
                }
            };
            if link.write(&bytes).await.is_err() || !keeps {
                break;
            }
        }
        let _ = link.linger().await;
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, _) = request.target();
        let method = request.head.line[0].as_str();
        // A page in a browser on this machine could otherwise drain hosts.
        if request.head.get("origin").is_some() {
            return (403, "not for web pages".into());
        }
        match (method, path) {
            ("GET", "/store") => (200, self.read(|s| s.text().trim_end().to_string())),
            ("POST", "/store") => {
                let text = String::from_utf8(request.body.clone()).unwrap_or_default();
                match self.take(&text) {
                    Ok(()) => (200, self.read(|s| s.text().trim_end().to_string())),
                    Err(why) => (400, why),
                }
            }
            ("GET", "/hosts") => (200, self.read(view::describe)),
            ("POST", _) => {
                let drain = path.strip_prefix("/drain/").map(|name| (name, true));
                let Some((name, drains)) = drain.or(path.strip_prefix("/undrain/").map(|n| (n, false)))
                else {
                    return (404, "nothing is here".into());
                };
                if self.change(|s| view::drain(s, name, drains)) {
                    log::info!("store: {name} {}", if drains { "drained" } else { "no longer drained" });
                    (200, format!("{name} {}", if drains { "drained" } else { "in service" }))
                } else {
                    (404, format!("no host {name:?}"))
                }
            }
            ("GET", _) => (404, "nothing is here".into()),
            _ => (405, "GET or POST".into()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::members::Listed;
    use crate::interface::Availability;

    fn hosts(names: &[&str]) -> Vec<Listed> {
        let one = |name: &&str| Listed {
            name: name.to_string(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: 0,
            group: 1,
            availability: Availability::Ready,
            primary: false,
            weight: 1.0,
            started_at: None,
        };
        names.iter().map(one).collect()
    }

    fn names(shared: &Shared) -> Vec<String> {
        shared.read(|s| view::listing(s).entries.into_iter().map(|e| e.name).collect())
    }

    /// A daemon with a file that was last changed at `changed`, before it has caught up.
    fn fresh(changed: i64) -> Shared {
        let peers = vec![([127, 0, 0, 1], 9).into()];
        let store = Store::new("b.1".into(), false);
        let shared = Shared::new(store, peers, Limits::for_sockets(64), Clock::start());
        shared.read_files(|files| files.hosts = Some((hosts(&["mine"]), changed)));
        assert_eq!(names(&shared), ["mine"], "it serves with what it has");
        shared
    }

    /// Guards against a daemon that starts with an old file and takes back what was edited elsewhere, or that
    /// sees a list without hosts while it catches up.
    #[test]
    fn catching_up_keeps_the_newer_of_two_files() {
        let mut peer = Store::new("a.1".into(), true);
        let theirs = Files { hosts: Some((hosts(&["theirs"]), 10)), settings: Some(("x=1\n".into(), 10)) };
        view::take_files(&mut peer, &theirs, 1);
        for (changed, wanted) in [(5, "theirs"), (15, "mine")] {
            let shared = fresh(changed);
            shared.take(&peer.text()).unwrap();
            shared.catch_up();
            assert_eq!(names(&shared), [wanted], "own file changed at {changed}");
            assert_eq!(shared.read(|s| s.get(view::SETTINGS).map(str::to_string)), Some("x=1\n".into()));
        }
        let shared = fresh(5);
        shared.catch_up();
        assert_eq!(names(&shared), ["mine"], "a peer that knows nothing takes nothing away");
    }

    /// Guards against a peer whose text is out of form: nothing of it is taken.
    #[test]
    fn a_text_out_of_form_changes_nothing() {
        let shared = fresh(5);
        let mut peer = Store::new("a.1".into(), true);
        view::take_files(&mut peer, &Files { hosts: Some((hosts(&["theirs"]), 10)), settings: None }, 1);
        assert!(shared.take(&(peer.text() + "half a rec")).is_err());
        assert_eq!(names(&shared), ["mine"]);
    }
}
