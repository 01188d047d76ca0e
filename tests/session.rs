//! The state machine of a PostgreSQL client's connection under random messages, against a short model.

use brookpass::config::Limits;
use brookpass::net::postgres::session::{Session, SessionAction, SessionState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A message that a client may send.
#[derive(Clone, Copy, Debug)]
enum ClientMessage {
    EmptyQuery,
    Query,
    Parse,
    Sync,
    UnknownType,
    Terminate,
}

/// What the session asks its owner to do about a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Write,
    EmptyQuery,
    Query,
    Close,
}

fn encode(message: ClientMessage) -> Vec<u8> {
    let frame = |message_type: u8, body: &[u8]| {
        let length = (body.len() as u32 + 4).to_be_bytes();
        [&[message_type][..], &length, body].concat()
    };
    match message {
        ClientMessage::EmptyQuery => frame(b'Q', b" \0"),
        ClientMessage::Query => frame(b'Q', b"SELECT 1\0"),
        ClientMessage::Parse => frame(b'P', b"\0x\0\0\0"),
        ClientMessage::Sync => frame(b'S', b""),
        ClientMessage::UnknownType => frame(b'!', b""),
        ClientMessage::Terminate => frame(b'X', b""),
    }
}

/// The model: what a message causes in a state, and the state after it.
fn model(state: SessionState, message: ClientMessage) -> (Option<Effect>, SessionState) {
    match (state, message) {
        (SessionState::Closed, _) => (None, SessionState::Closed),
        (_, ClientMessage::Terminate) => (Some(Effect::Close), SessionState::Closed),
        (_, ClientMessage::Sync) => (Some(Effect::Write), SessionState::Ready),
        (SessionState::SkippingUntilSync, _) => (None, SessionState::SkippingUntilSync),
        (_, ClientMessage::EmptyQuery) => (Some(Effect::EmptyQuery), SessionState::Ready),
        (_, ClientMessage::Query) => (Some(Effect::Query), SessionState::Ready),
        (_, ClientMessage::Parse) => (Some(Effect::Write), SessionState::SkippingUntilSync),
        (_, ClientMessage::UnknownType) => (Some(Effect::Close), SessionState::Closed),
    }
}

/// Acts until nothing is left to do. The oldest query is answered only when no more may be pending, and all of them
/// in the end.
fn run_actions(session: &mut Session, max_pending: usize) -> Vec<Effect> {
    let mut effects = Vec::new();
    let mut pending = 0;
    loop {
        match session.next_action() {
            SessionAction::Wait if pending == 0 => return effects,
            SessionAction::Wait => {
                pending -= 1;
                session.query_answered();
            }
            SessionAction::Write(_) => effects.push(Effect::Write),
            SessionAction::Close(_) => effects.push(Effect::Close),
            action @ (SessionAction::EmptyQuery | SessionAction::Query(_)) => {
                pending += 1;
                assert!(pending <= max_pending, "no more than these are pending at once");
                let is_empty = action == SessionAction::EmptyQuery;
                effects.push(if is_empty { Effect::EmptyQuery } else { Effect::Query });
            }
        }
    }
}

/// An SSLRequest.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// A StartupMessage of version 3.0.
fn startup_message() -> Vec<u8> {
    [&14u32.to_be_bytes()[..], &196_608u32.to_be_bytes(), b"user\0\0"].concat()
}

/// Random messages; the two that close a connection are rare, or hardly any run would get far.
fn messages() -> impl Strategy<Value = Vec<ClientMessage>> {
    let all = [
        ClientMessage::EmptyQuery,
        ClientMessage::Query,
        ClientMessage::Parse,
        ClientMessage::Sync,
        ClientMessage::UnknownType,
        ClientMessage::Terminate,
    ];
    let weighted: Vec<ClientMessage> = all[..4].repeat(8).into_iter().chain(all).collect();
    prop::collection::vec(prop::sample::select(weighted), 0..30)
}

/// However the bytes are split on arrival, each message has the effect that the model says, in order, once.
#[test]
fn random_messages_follow_the_model() {
    let cases = (messages(), prop::collection::vec(1usize..40, 1..20), any::<bool>(), 1usize..6);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let check = |(sent, pieces, asks_encryption, pipeline): (Vec<ClientMessage>, Vec<usize>, bool, usize)| {
        let mut bytes = if asks_encryption { SSL_REQUEST.to_vec() } else { Vec::new() };
        let mut expected = vec![Effect::Write; 1 + usize::from(asks_encryption)];
        bytes.extend(startup_message());
        let mut state = SessionState::Ready;
        for message in sent {
            bytes.extend(encode(message));
            let (effect, next_state) = model(state, message);
            expected.extend(effect);
            state = next_state;
        }
        let limits = Limits { pipelined_requests: pipeline, ..Limits::for_sockets(64) };
        let mut session = Session::new(&limits);
        let mut effects = Vec::new();
        let mut rest = &bytes[..];
        for piece in pieces.iter().cycle() {
            let (arrived, later) = rest.split_at((*piece).min(rest.len()));
            session.input_buffer().push(arrived);
            effects.extend(run_actions(&mut session, pipeline));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(effects, expected);
        prop_assert_eq!(session.state(), state);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&cases, check).unwrap();
}
