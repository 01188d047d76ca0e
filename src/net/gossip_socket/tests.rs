//! Tests of sending, receiving and dropping datagrams.

use super::*;
use crate::routing::{EndpointId, Timestamp};
use async_channel::unbounded;
use futures_lite::future;

/// Guards against sending datagrams that are too long, accepting datagrams from unknown senders, and delivering
/// malformed ones.
#[test]
fn long_datagrams_are_not_sent_and_invalid_ones_are_dropped_and_counted() {
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let (peer, stranger) = (bind(), bind());
    let limits = Limits::for_sockets(64);
    let peers = vec![peer.local_addr().unwrap()];
    let own = GossipSocket::new(peers, None, &limits);
    async_io::block_on(own.send(Some(0), b"from nowhere"));
    own.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = own.socket.get().unwrap().get_ref().local_addr().unwrap();
    assert!(GossipSocket::new(Vec::new(), None, &limits).bind(address).is_err(), "it is in use");
    async_io::block_on(async {
        own.send(Some(0), &[7; 257]).await;
        own.send(None, b"nobody").await;
        own.send(Some(0), &[7; 256]).await;
    });
    let mut bytes = [0; 512];
    assert_eq!(peer.recv(&mut bytes).unwrap(), 256, "the longer one was never sent");
    let endpoint = EndpointId { ip: [1, 2, 3, 4], port: 5 };
    let hint = PrimaryHint { endpoint, at: Timestamp::from_micros(6) }.encode();
    stranger.send_to(&hint, address).unwrap();
    for malformed in [&hint[..hint.len() - 1], b"", b"noise", &[1; 257], &[1; 2000]] {
        peer.send_to(malformed, address).unwrap();
    }
    peer.send_to(&hint, address).unwrap();
    let (received, messages) = unbounded();
    let receive = own.receive(|from, bytes| {
        let received = received.clone();
        async move { received.send((from, bytes)).await.unwrap() }
    });
    let first = async_io::block_on(future::or(async { Some(messages.recv().await.unwrap()) }, async {
        receive.await;
        None
    }));
    assert_eq!((first, own.dropped.get()), (Some((0, hint)), 6));
}
