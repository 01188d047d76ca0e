//! Golden bytes of a datagram on the socket: nothing stands before or after the message.

use super::*;
use async_channel::unbounded;
use futures_lite::future;

const GOLDEN: [u8; 15] =
    [0x01, 0x09, 0x08, 0x07, 0x06, 0xd4, 0x31, 0x00, 0x06, 0x61, 0x97, 0x25, 0x70, 0x69, 0x7b];

/// Guards against a frame around the message that poolers of the version before do not know.
#[test]
fn a_datagram_is_the_message_alone_both_ways() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = GossipSocket::new(vec![peer.local_addr().unwrap()], None, &Limits::for_sockets(64));
    own.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let at = own.socket.get().unwrap().get_ref().local_addr().unwrap();
    async_io::block_on(own.send(Some(0), &GOLDEN));
    let mut bytes = [0; 64];
    let (length, from) = peer.recv_from(&mut bytes).unwrap();
    assert_eq!((&bytes[..length], from), (&GOLDEN[..], at));
    peer.send_to(&GOLDEN, at).unwrap();
    let (heard, messages) = unbounded();
    let listen = own.receive(|from, bytes| {
        let heard = heard.clone();
        async move { heard.send((from, bytes)).await.unwrap() }
    });
    let first = async { Some(messages.recv().await.unwrap()) };
    let told = async_io::block_on(future::or(first, async {
        listen.await;
        None
    }));
    assert_eq!(told, Some((0, GOLDEN.to_vec())));
}
