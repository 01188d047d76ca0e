//! The states of a PostgreSQL client's connection under random steps, against a short model.

use brookpass::config::Limits;
use brookpass::net::postgres::session::{Session, State, Step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What a client may send.
#[derive(Clone, Copy, Debug)]
enum Sent {
    Empty,
    Query,
    Extended,
    Sync,
    Unknown,
    Terminate,
}

fn bytes(sent: Sent) -> Vec<u8> {
    let message =
        |kind: u8, body: &[u8]| [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat();
    match sent {
        Sent::Empty => message(b'Q', b" \0"),
        Sent::Query => message(b'Q', b"SELECT 1\0"),
        Sent::Extended => message(b'P', b"\0x\0\0\0"),
        Sent::Sync => message(b'S', b""),
        Sent::Unknown => message(b'!', b""),
        Sent::Terminate => message(b'X', b""),
    }
}

/// The model: what a connection in `state` owes for a message, and where it stands then.
fn owes(state: State, sent: Sent) -> (Option<&'static str>, State) {
    match (state, sent) {
        (State::Closed, _) => (None, State::Closed),
        (_, Sent::Terminate) => (Some("close"), State::Closed),
        (_, Sent::Sync) => (Some("write"), State::Idle),
        (State::Skipping, _) => (None, State::Skipping),
        (_, Sent::Empty) => (Some("ready"), State::Idle),
        (_, Sent::Query) => (Some("query"), State::Idle),
        (_, Sent::Extended) => (Some("write"), State::Skipping),
        (_, Sent::Unknown) => (Some("close"), State::Closed),
    }
}

/// Steps until nothing is left to do. The oldest request is answered when no more may be open, and all in the end.
fn did(session: &mut Session, most: usize) -> Vec<&'static str> {
    let (mut done, mut open) = (Vec::new(), 0);
    loop {
        match session.step() {
            Step::Wait if open == 0 => return done,
            Step::Wait => {
                open -= 1;
                session.answered();
            }
            Step::Write(_) => done.push("write"),
            Step::Close(_) => done.push("close"),
            step @ (Step::Ready | Step::Query(_)) => {
                open += 1;
                assert!(open <= most, "no more than these are open at once");
                done.push(if step == Step::Ready { "ready" } else { "query" });
            }
        }
    }
}

/// Whatever the pieces in which bytes arrive, each message gets what the model owes, in order, once.
#[test]
fn random_steps_follow_the_model() {
    let kinds = [Sent::Empty, Sent::Query, Sent::Extended, Sent::Sync, Sent::Unknown, Sent::Terminate];
    // The two that end a connection are rare, or hardly any run would get far.
    let kind = prop::sample::select(kinds[..4].repeat(8).into_iter().chain(kinds).collect::<Vec<_>>());
    let steps = (
        prop::collection::vec(kind, 0..30),
        prop::collection::vec(1usize..40, 1..20),
        any::<bool>(),
        1usize..6,
    );
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let check = |(sent, pieces, encryption, pipeline): (Vec<Sent>, Vec<usize>, bool, usize)| {
        let mut all = if encryption { vec![0, 0, 0, 8, 4, 210, 22, 47] } else { Vec::new() };
        let mut wanted = vec!["write"; 1 + usize::from(encryption)];
        all.extend([&14u32.to_be_bytes()[..], &196_608u32.to_be_bytes(), b"user\0\0"].concat());
        let mut state = State::Idle;
        for one in sent {
            all.extend(bytes(one));
            let (owed, next) = owes(state, one);
            wanted.extend(owed);
            state = next;
        }
        let (mut session, mut done, mut rest) = (
            Session::new(&Limits { pipelined_requests: pipeline, ..Limits::for_sockets(64) }),
            Vec::new(),
            &all[..],
        );
        for piece in pieces.iter().cycle() {
            let (now, later) = rest.split_at((*piece).min(rest.len()));
            session.input().push(now);
            done.extend(did(&mut session, pipeline));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(done, wanted);
        prop_assert_eq!(session.state(), state);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&steps, check).unwrap();
}
