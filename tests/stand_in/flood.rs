//! Clients that send at full speed, and the measured service of another client beside them.

use super::platform::read_statement;
use super::postgres::client::PostgresClient;
use super::postgres::messages;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bytes that a flooding client passes to one write, unless a single command is longer.
const WRITE_BYTES: usize = 32 * 1024;

/// Pause before a flooding client connects again after its connection was closed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Clients that send commands at full speed on a connection each and read the answers, until dropped.
pub struct Flood {
    stopped: Arc<AtomicBool>,
    sent_commands: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts `clients` clients. Each sends `first` on a new connection, then the results of `command`, which is called
    /// with numbers that no other call gets.
    pub fn start(
        clients: usize,
        address: SocketAddr,
        first: Vec<u8>,
        command: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static,
    ) -> Flood {
        let stopped = Arc::new(AtomicBool::new(false));
        let sent_commands = Arc::new(AtomicU64::new(0));
        let command = Arc::new(command);
        let start_client = |_| {
            let (stopped, sent_commands) = (stopped.clone(), sent_commands.clone());
            let (first, command) = (first.clone(), command.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    if let Ok(stream) = TcpStream::connect(address) {
                        send_until_closed(stream, &first, &*command, &stopped, &sent_commands);
                    }
                    thread::sleep(RECONNECT_PAUSE);
                }
            })
        };
        let clients = (0..clients).map(start_client).collect();
        Flood { stopped, sent_commands, clients }
    }

    /// Number of commands that were written completely so far.
    pub fn sent_commands(&self) -> u64 {
        self.sent_commands.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

fn send_until_closed(
    mut stream: TcpStream,
    first: &[u8],
    command: impl Fn(u64) -> Vec<u8>,
    stopped: &AtomicBool,
    sent_commands: &AtomicU64,
) {
    let _ = stream.set_nodelay(true);
    // Bounds the time for which a blocked write outlives the flood.
    let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
    let mut answers = stream.try_clone().unwrap();
    let reader =
        thread::spawn(move || while answers.read(&mut [0; 64 * 1024]).is_ok_and(|count| count > 0) {});
    let mut is_open = stream.write_all(first).is_ok();
    while is_open && !stopped.load(Ordering::Relaxed) {
        let mut block = Vec::new();
        let mut count = 0;
        while block.len() < WRITE_BYTES {
            block.extend(command(sent_commands.load(Ordering::Relaxed) + count));
            count += 1;
        }
        is_open = write_block(&mut stream, &block, stopped);
        sent_commands.fetch_add(count, Ordering::Relaxed);
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
}

/// Writes all bytes, however long the other side does not read; false if the connection or the flood has ended.
fn write_block(stream: &mut TcpStream, mut block: &[u8], stopped: &AtomicBool) -> bool {
    while !block.is_empty() {
        match stream.write(block) {
            Ok(count) => block = &block[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                if stopped.load(Ordering::Relaxed) {
                    return false;
                }
            }
            Err(_) => return false,
        }
    }
    true
}

/// How the requests of a well-behaved client were answered.
#[derive(Debug, Default)]
pub struct Service {
    /// Requests that were answered with a row before their deadline.
    pub served: usize,
    /// Requests that were answered in time in another way.
    pub other_answers: usize,
    /// How long the answer of each request took that had none within its deadline and the tolerance.
    pub lost: Vec<Duration>,
}

impl Service {
    /// Number of requests.
    pub fn requests(&self) -> usize {
        self.served + self.other_answers + self.lost.len()
    }
}

/// The answer to one request of a well-behaved client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The requested data.
    Served,
    /// A rejection or another error.
    Other,
    /// None: the connection ended.
    Missing,
}

/// The requests of a well-behaved client.
#[derive(Clone, Copy, Debug)]
pub struct RequestSchedule {
    /// How long the client waits for an answer.
    pub timeout: Duration,
    /// Shortest time from one request to the next.
    pub interval: Duration,
    /// How long requests are sent.
    pub period: Duration,
}

/// Calls `request` with consecutive numbers; each call sends a request and waits for its answer.
pub fn measure_service(schedule: RequestSchedule, mut request: impl FnMut(usize) -> Answer) -> Service {
    /// An answer that comes later than this after the timeout counts as none.
    const TOLERANCE: Duration = Duration::from_millis(500);
    let started_at = Instant::now();
    let mut service = Service::default();
    while started_at.elapsed() < schedule.period {
        let sent_at = Instant::now();
        let answer = request(service.requests());
        let took = sent_at.elapsed();
        match answer {
            Answer::Served if took <= schedule.timeout => service.served += 1,
            Answer::Served | Answer::Other if took <= schedule.timeout + TOLERANCE => {
                service.other_answers += 1;
            }
            _ => service.lost.push(took),
        }
        thread::sleep(schedule.interval.saturating_sub(sent_at.elapsed()));
    }
    service
}

/// Sends a read to the platform's front, on this connection.
pub fn read_once(client: &mut PostgresClient, id: &str, timeout: Duration) -> Answer {
    let timeout_ms = u32::try_from(timeout.as_millis()).unwrap();
    client.send_query(&read_statement(id, timeout_ms));
    match client.receive() {
        Some(answer) if answer.value.is_some() => Answer::Served,
        Some(_) => Answer::Other,
        None => Answer::Missing,
    }
}

/// Measures reads at the platform's front, alternately on a connection that stays open and on a new one. `label` is
/// the start of their ids.
pub fn measure_reads(address: SocketAddr, label: &str, schedule: RequestSchedule) -> Service {
    let mut persistent = PostgresClient::connect(address);
    measure_service(schedule, |number| {
        let id = format!("{label}-{number}");
        if number % 2 == 0 {
            return read_once(&mut persistent, &id, schedule.timeout);
        }
        let mut new_client = PostgresClient::connect_without_startup(address);
        new_client.send(&messages::startup());
        new_client.receive();
        read_once(&mut new_client, &id, schedule.timeout)
    })
}

/// Checks that all requests were answered in time and at least half of them were served.
pub fn assert_served(service: &Service, circumstances: &str) {
    assert!(service.lost.is_empty(), "{circumstances}: {service:?}");
    assert!(service.served > 0 && service.served * 2 >= service.requests(), "{circumstances}: {service:?}");
}
