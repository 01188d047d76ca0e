//! Pooled connections to backends.

use super::*;
use crate::routing::AttemptOutcome;
use async_io::Async;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A protocol in which every connection is ready and silent.
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

/// A pool with the one endpoint `a`, and the endpoint's listener.
fn pool(limits: Limits) -> (Rc<BackendPool<Plain>>, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = BackendPool::new(Plain, Rc::new(limits), Clock::start());
    let address = listener.local_addr().unwrap();
    let new = EndpointState { name: "a".into(), address, open: true, started_at: None, gone: false };
    pool.update_endpoint(new);
    (pool, listener)
}

/// Guards against state that is kept of endpoints that are gone, and against a connection of one that comes back.
#[test]
fn an_endpoint_that_is_gone_leaves_nothing_behind() {
    let (pool, listener) = pool(Limits { connection_settle_time: Duration::ZERO, ..Limits::for_sockets(64) });
    let address = listener.local_addr().unwrap();
    async_io::block_on(async {
        let earlier = pool.acquire("a").await.ok().unwrap();
        let change =
            |gone: bool| EndpointState { name: "a".into(), address, open: !gone, started_at: None, gone };
        pool.update_endpoint(change(true));
        assert!(pool.endpoints.borrow().is_empty());
        assert!(matches!(pool.acquire("a").await, Err(AttemptOutcome::ConnectFailed)));
        pool.update_endpoint(change(false));
        pool.release("a", earlier);
        assert_eq!(pool.connection_count(), 0, "a connection of an earlier generation is not kept");
    });
}

/// Guards against an endpoint that went away, lost a part of its log, and is trusted again because descriptors were
/// short.
#[test]
fn an_endpoint_needs_a_probe_once_a_connection_failed_and_still_does_without_a_permit() {
    let (pool, listener) = pool(Limits { backend_connections: 1, ..Limits::for_sockets(64) });
    let needs_probe = || pool.endpoints.borrow()["a"].needs_probe;
    async_io::block_on(async {
        assert!(needs_probe(), "it is new");
        pool.set_needs_probe("a", false);
        let held = pool.acquire("a").await.ok().unwrap();
        assert!(!needs_probe());
        drop((listener, held));
        assert!(matches!(pool.acquire("a").await, Err(AttemptOutcome::ConnectFailed)) && needs_probe());
        pool.open_connections.set(1);
        assert!(matches!(pool.acquire("a").await, Err(AttemptOutcome::Overloaded)) && needs_probe());
    });
}

/// Guards against a second copy of an answer that comes right behind it and passes for the next one.
#[test]
fn a_connection_rests_before_it_is_used_again() {
    for (settle_time, held) in [(Duration::from_secs(3600), 2), (Duration::ZERO, 1)] {
        let (pool, _listener) =
            pool(Limits { connection_settle_time: settle_time, ..Limits::for_sockets(64) });
        async_io::block_on(async {
            let first = pool.acquire("a").await.ok().unwrap();
            pool.release("a", first);
            let second = pool.acquire("a").await.ok().unwrap();
            assert_eq!(pool.connection_count(), held);
            drop(second);
        });
    }
}
