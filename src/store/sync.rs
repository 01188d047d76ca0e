//! Anti-entropy between daemons, and the operator's commands: HTTP on loopback.

use super::{Store, parse, view};
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
    /// Wakes whoever acts on changes, and each peer's exchange.
    wake: Vec<(Sender<()>, Receiver<()>)>,
    told: Cell<u64>,
}

impl Shared {
    /// Shares a store with these peers.
    pub fn new(store: Store, peers: Vec<SocketAddr>, limits: Limits) -> Shared {
        let wake = (0..=peers.len()).map(|_| async_channel::bounded(1)).collect();
        let (heard, told) = (RefCell::default(), Cell::new(0));
        Shared { store: RefCell::new(store), peers, heard, limits, wake, told }
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
            // What a file said before anything was known of the others is read again; drains stay.
            s.forget_pending(|key| !view::is_drain(key));
            s.caught_up();
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
