//! A TCP relay on the link from one node to another. While it is cut nothing passes in either direction, and new
//! connections never come up; what waits is delivered after the cut, as TCP does by sending it again.

use crate::util::sleep_ms;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

pub struct Relay {
    pub address: SocketAddr,
    forward_cut: Arc<AtomicBool>,
    backward_cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let forward_cut = Arc::new(AtomicBool::new(false));
        let backward_cut = Arc::new(AtomicBool::new(false));
        let (forward, backward) = (forward_cut.clone(), backward_cut.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (forward, backward) = (forward.clone(), backward.clone());
                thread::spawn(move || serve(client, target, &forward, &backward));
            }
        });
        Relay { address, forward_cut, backward_cut }
    }

    /// Cuts the link or ends the cut, in both directions.
    pub fn set_cut(&self, cut: bool) {
        self.forward_cut.store(cut, Ordering::SeqCst);
        self.backward_cut.store(cut, Ordering::SeqCst);
    }
}

fn serve(client: TcpStream, target: SocketAddr, forward: &Arc<AtomicBool>, backward: &Arc<AtomicBool>) {
    while forward.load(Ordering::SeqCst) || backward.load(Ordering::SeqCst) {
        sleep_ms(5);
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else { return };
    let backward = backward.clone();
    thread::spawn(move || pump(server_copy, client_copy, &backward));
    pump(client, server, forward);
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        while cut.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The end of a connection does not pass a cut either.
    while cut.load(Ordering::SeqCst) {
        sleep_ms(2);
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
