//! A stand-in endpoint that answers each statement as the test says.

use super::super::*;
use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// What a host does with a statement.
pub enum Reply {
    Row(&'static [u8]),
    Error(&'static str),
    /// Says nothing until the other side closes.
    Silence,
    /// Ends the connection.
    LogRollback,
    /// Answers, then ends the connection.
    RowThenEnd(&'static [u8]),
    /// Exactly these bytes; the connection stays open.
    Raw(Vec<u8>),
    /// Exactly these bytes, then nothing until the other side closes.
    RawThenSilence(Vec<u8>),
    /// Exactly these bytes, then the end.
    RawThenEnd(Vec<u8>),
    /// Answers once this is told.
    After(Arc<Mutex<Receiver<()>>>, &'static [u8]),
}

/// A host that speaks PostgreSQL's protocol.
pub struct PgHost {
    pub address: SocketAddr,
    pub statements: Arc<Mutex<Vec<String>>>,
    /// A message for each statement that was left unanswered: whether its connection then ended. Also one
    /// for each connection that the host itself has ended after its answer.
    pub dropped: Receiver<bool>,
}

impl PgHost {
    pub fn start(role: &'static str, reply: impl Fn(&str) -> Reply + Send + Sync + 'static) -> PgHost {
        let statements = Arc::new(Mutex::new(Vec::new()));
        let (gone, dropped) = channel();
        let (seen, gone) = (statements.clone(), Mutex::new(gone));
        let address = listen(move |stream| {
            let _ = pg_host(stream, role, &reply, &seen, &gone);
        });
        PgHost { address, statements, dropped }
    }

    pub fn count(&self) -> usize {
        self.statements.lock().unwrap().len()
    }
}

fn pg_host(
    mut stream: TcpStream,
    role: &str,
    reply: &impl Fn(&str) -> Reply,
    seen: &Mutex<Vec<String>>,
    gone: &Mutex<Sender<bool>>,
) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut startup).ok()?;
    let ready = pg_message(b'Z', b"I");
    stream.write_all(&[pg_message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
    loop {
        let (kind, body) = pg_read(&mut stream)?;
        if kind != b'Q' {
            return None;
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        seen.lock().unwrap().push(text.clone());
        let status = |name: &str, value: &str| pg_message(b'S', format!("{name}\0{value}\0").as_bytes());
        let told = [status("rank", role), status("as_of", &now_ms().to_string())].concat();
        let answer = match reply(&text) {
            Reply::RowThenEnd(value) => {
                stream.write_all(&[pg_row(value), told, ready].concat()).ok()?;
                stream.shutdown(std::net::Shutdown::Both).ok()?;
                let _ = gone.lock().unwrap().send(true);
                return None;
            }
            Reply::Row(value) => pg_row(value),
            Reply::Raw(bytes) => {
                stream.write_all(&bytes).ok()?;
                continue;
            }
            Reply::RawThenEnd(bytes) => {
                stream.write_all(&bytes).ok()?;
                stream.shutdown(std::net::Shutdown::Both).ok()?;
                let _ = gone.lock().unwrap().send(true);
                return None;
            }
            Reply::Error(code) => pg_message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
            Reply::LogRollback => return None,
            Reply::RawThenSilence(bytes) => {
                stream.write_all(&bytes).ok()?;
                let ended = !matches!(stream.read(&mut [0]), Ok(n) if n > 0);
                let _ = gone.lock().unwrap().send(ended);
                return None;
            }
            Reply::Silence => {
                let ended = !matches!(stream.read(&mut [0]), Ok(n) if n > 0);
                let _ = gone.lock().unwrap().send(ended);
                return None;
            }
            Reply::After(go, value) => {
                let _ = go.lock().unwrap().recv_timeout(PATIENCE);
                pg_row(value)
            }
        };
        stream.write_all(&[answer, told, ready.clone()].concat()).ok()?;
    }
}
