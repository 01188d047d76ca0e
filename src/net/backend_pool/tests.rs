//! Kept connections to hosts.

use super::*;
use std::net::TcpListener;

/// A protocol in which every connection is ready and quiet.
struct Plain;

impl BackendProtocol for Plain {
    type Request = ();
    type Answer = ();
    type Connection = Async<TcpStream>;

    async fn handshake(&self, stream: Async<TcpStream>) -> Result<Async<TcpStream>, AttemptOutcome> {
        Ok(stream)
    }

    fn is_silent(&self, _: &Async<TcpStream>) -> bool {
        true
    }

    async fn exchange(
        &self,
        _: &mut Async<TcpStream>,
        _: &(),
        _: &AttemptContext<'_, (), ()>,
    ) -> ExchangeResult<()> {
        ExchangeResult::outcome_only(AttemptOutcome::Error)
    }
}

fn hosts(limits: Limits) -> (Rc<BackendPool<Plain>>, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let hosts = BackendPool::new(Plain, Rc::new(limits), Clock::start());
    let address = listener.local_addr().unwrap();
    hosts.host(EndpointChange { name: "a".into(), address, open: true, started_at: None, gone: false });
    (hosts, listener)
}

/// Guards against what is kept of hosts that are gone, and against a connection of one that comes back.
#[test]
fn a_host_that_is_gone_leaves_nothing_behind() {
    let (hosts, listener) =
        hosts(Limits { connection_settle_time: std::time::Duration::ZERO, ..Limits::for_sockets(64) });
    let address = listener.local_addr().unwrap();
    async_io::block_on(async {
        let old = hosts.lease("a").await.ok().unwrap();
        let host =
            |gone: bool| EndpointChange { name: "a".into(), address, open: !gone, started_at: None, gone };
        hosts.host(host(true));
        assert!(hosts.known.borrow().is_empty());
        assert!(matches!(hosts.lease("a").await, Err(AttemptOutcome::ConnectFailed)));
        hosts.host(host(false));
        hosts.give_back("a", old);
        assert_eq!(hosts.connection_count(), 0, "a connection of its earlier life is not kept");
    });
}

/// Guards against a host that went away, lost what it had, and is trusted again because descriptors were short.
#[test]
fn a_host_is_doubted_once_no_connection_was_made_and_not_less_when_there_is_no_room_for_one() {
    let (hosts, listener) = hosts(Limits { backend_connections: 1, ..Limits::for_sockets(64) });
    let doubted = || hosts.known.borrow()["a"].doubted;
    async_io::block_on(async {
        assert!(doubted(), "it is new");
        hosts.doubt("a", false);
        let held = hosts.lease("a").await.ok().unwrap();
        assert!(!doubted());
        drop((listener, held));
        assert!(matches!(hosts.lease("a").await, Err(AttemptOutcome::ConnectFailed)) && doubted());
        hosts.connections.set(1);
        assert!(matches!(hosts.lease("a").await, Err(AttemptOutcome::Overloaded)) && doubted());
    });
}

/// Guards against a second copy of an answer that comes right behind it and passes for the next one.
#[test]
fn a_connection_rests_before_it_is_used_again() {
    for (settle, held) in [(std::time::Duration::from_secs(3600), 2), (std::time::Duration::ZERO, 1)] {
        let (hosts, _listener) = hosts(Limits { connection_settle_time: settle, ..Limits::for_sockets(64) });
        async_io::block_on(async {
            let first = hosts.lease("a").await.ok().unwrap();
            hosts.give_back("a", first);
            let second = hosts.lease("a").await.ok().unwrap();
            assert_eq!(hosts.connection_count(), held);
            drop(second);
        });
    }
}
