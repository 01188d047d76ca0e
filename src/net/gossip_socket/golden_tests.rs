//! Golden test of the datagram format: a datagram is one message without any framing.

use super::*;
use async_channel::unbounded;
use futures_lite::future;

const GOLDEN: [u8; 15] =
    [0x01, 0x09, 0x08, 0x07, 0x06, 0xd4, 0x31, 0x00, 0x06, 0x61, 0x97, 0x25, 0x70, 0x69, 0x7b];

/// Guards against added framing, which poolers of the previous version would reject.
#[test]
fn a_datagram_is_exactly_one_message_when_sent_and_received() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = GossipSocket::new(vec![peer.local_addr().unwrap()], None, &Limits::for_sockets(64));
    own.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = own.socket.get().unwrap().get_ref().local_addr().unwrap();
    async_io::block_on(own.send(Some(0), &GOLDEN));
    let mut bytes = [0; 64];
    let (length, from) = peer.recv_from(&mut bytes).unwrap();
    assert_eq!((&bytes[..length], from), (&GOLDEN[..], address));
    peer.send_to(&GOLDEN, address).unwrap();
    let (received, messages) = unbounded();
    let receive = own.receive(|from, bytes| {
        let received = received.clone();
        async move { received.send((from, bytes)).await.unwrap() }
    });
    let first = async { Some(messages.recv().await.unwrap()) };
    let delivered = async_io::block_on(future::or(first, async {
        receive.await;
        None
    }));
    assert_eq!(delivered, Some((0, GOLDEN.to_vec())));
}
