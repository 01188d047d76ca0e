//! Checks the state machine of a PostgreSQL client's connection against a model, with random messages.

use brookpass::config::Limits;
use brookpass::net::postgres::session::{Session, SessionAction, SessionState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A message that a client may send after the startup.
#[derive(Clone, Copy, Debug)]
enum ClientMessage {
    EmptyQuery,
    Query,
    Parse,
    Sync,
    UnknownType,
    Terminate,
}

/// The kind of a [`SessionAction`] that a message causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Write,
    EmptyQuery,
    Query,
    Close,
}

fn encode(message: ClientMessage) -> Vec<u8> {
    let encode_message = |message_type: u8, body: &[u8]| {
        let length = (body.len() as u32 + 4).to_be_bytes();
        [&[message_type][..], &length, body].concat()
    };
    match message {
        ClientMessage::EmptyQuery => encode_message(b'Q', b" \0"),
        ClientMessage::Query => encode_message(b'Q', b"SELECT 1\0"),
        ClientMessage::Parse => encode_message(b'P', b"\0x\0\0\0"),
        ClientMessage::Sync => encode_message(b'S', b""),
        ClientMessage::UnknownType => encode_message(b'!', b""),
        ClientMessage::Terminate => encode_message(b'X', b""),
    }
}

/// The model: the effect of a message in a state, and the next state.
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

/// Carries out the session's actions until none is left. A query is answered only when the session waits, so that as
/// many as possible are pending; in the end all are answered.
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
                assert!(pending <= max_pending, "more than {max_pending} queries are pending");
                let is_empty = action == SessionAction::EmptyQuery;
                effects.push(if is_empty { Effect::EmptyQuery } else { Effect::Query });
            }
        }
    }
}

/// An SSLRequest, which a client may send before its startup message.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// A StartupMessage of version 3.0 with a user.
fn startup_message() -> Vec<u8> {
    [&14u32.to_be_bytes()[..], &196_608u32.to_be_bytes(), b"user\0\0"].concat()
}

/// Sequences of random messages. The two that close a connection are rare, since no message after them has an effect.
fn messages() -> impl Strategy<Value = Vec<ClientMessage>> {
    let all = [
        ClientMessage::EmptyQuery,
        ClientMessage::Query,
        ClientMessage::Parse,
        ClientMessage::Sync,
        ClientMessage::UnknownType,
        ClientMessage::Terminate,
    ];
    let weighted_messages: Vec<ClientMessage> = all[..4].repeat(8).into_iter().chain(all).collect();
    prop::collection::vec(prop::sample::select(weighted_messages), 0..30)
}

/// Guards against messages that are lost, repeated or reordered when their bytes arrive in arbitrary chunks: each has
/// exactly the effect that the model states, in order.
#[test]
fn random_messages_in_arbitrary_chunks_have_the_effects_of_the_model() {
    let cases = (messages(), prop::collection::vec(1usize..40, 1..20), any::<bool>(), 1usize..6);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let check = |(sent, chunk_lengths, requests_encryption, max_pending): (
        Vec<ClientMessage>,
        Vec<usize>,
        bool,
        usize,
    )| {
        let mut bytes = if requests_encryption { SSL_REQUEST.to_vec() } else { Vec::new() };
        let mut expected = vec![Effect::Write; 1 + usize::from(requests_encryption)];
        bytes.extend(startup_message());
        let mut state = SessionState::Ready;
        for message in sent {
            bytes.extend(encode(message));
            let (effect, next_state) = model(state, message);
            expected.extend(effect);
            state = next_state;
        }
        let limits = Limits { pipelined_requests: max_pending, ..Limits::for_sockets(64) };
        let mut session = Session::new(&limits);
        let mut effects = Vec::new();
        let mut unread = &bytes[..];
        for chunk_length in chunk_lengths.iter().cycle() {
            let (chunk, remaining) = unread.split_at((*chunk_length).min(unread.len()));
            session.input_buffer().push(chunk);
            effects.extend(run_actions(&mut session, max_pending));
            unread = remaining;
            if unread.is_empty() {
                break;
            }
        }
        prop_assert_eq!(effects, expected);
        prop_assert_eq!(session.state(), state);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&cases, check).unwrap();
}
