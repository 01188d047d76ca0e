//! Answers of endpoints that arrive in chunks of any size, are corrupted or never end.

use super::*;
use crate::net::postgres::codec::put_message;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ROW_LIMITS: RowLimits = RowLimits { max_bytes: 64 * 1024 + 10, stream_above_bytes: None };

fn valid_answer(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'T', &[&[0, 1], b"payload\0", &[0; 18]]);
    put_message(&mut out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
    put_message(&mut out, b'C', &[b"SELECT 1\0"]);
    put_message(&mut out, b'S', &[b"rank\0copy\0"]);
    put_message(&mut out, b'S', &[b"vitals\0x0=\xff\xfe,x1=1\0"]);
    put_message(&mut out, b'Z', &[b"I"]);
    out
}

/// Parses bytes that arrive in chunks of `chunk_size`; returns the answer and the number of consumed bytes.
fn parse(bytes: &[u8], chunk_size: usize) -> (BackendResponse, Result<usize, ResponseError>) {
    let mut response = BackendResponse::for_query(ROW_LIMITS);
    let mut consumed = 0;
    let mut end = 0;
    while end < bytes.len() {
        end = (end + chunk_size).min(bytes.len());
        match response.feed(&bytes[consumed..end]) {
            Ok(count) => consumed += count,
            Err(error) => return (response, Err(error)),
        }
    }
    (response, Ok(consumed))
}

/// Guards against forwarding a corrupted answer, and against waiting for the bytes that a corrupted length announces.
#[test]
fn corrupted_answers_are_rejected_at_the_first_invalid_field() {
    let valid = valid_answer(b"value");
    let row = valid.iter().position(|byte| *byte == b'D').unwrap();
    let overwrite = |offset: usize, replacement: &[u8]| {
        let mut bytes = valid.clone();
        bytes[offset..offset + replacement.len()].copy_from_slice(replacement);
        bytes
    };
    for (bytes, rejected_after) in [
        (overwrite(row + 1, &[0, 0, 0, 2]), row + 5),
        (overwrite(row + 1, &[0xb2, 0xd0, 0x5e, 0x0a]), row + 5),
        (overwrite(row + 1, &[0, 0, 0, 99]), row + 11),
        (overwrite(row + 7, &[0, 0, 0, 4]), row + 11),
        (overwrite(row + 5, &[0, 2]), row + 11),
        (overwrite(row, b"x"), row + 1),
        (vec![b'x'; 400], 1),
        ([&valid[..row], &valid[row + 11..]].concat(), row + 5),
        ([&valid[..row], &valid[row..row + 16], &valid[row..]].concat(), row + 17),
    ] {
        assert!(parse(&bytes[..rejected_after], 1).1.is_err(), "{:?}", &bytes[row..row + 12]);
    }
    let mut unterminated_tag = valid_answer(b"v");
    let tag = unterminated_tag.windows(8).position(|window| window == b"SELECT 1").unwrap();
    unterminated_tag[tag + 8] = b'!';
    assert!(parse(&unterminated_tag, 7).1.is_err(), "a command tag without terminating zero byte");
}

/// An answer with any value is parsed completely from chunks of any size, bytes after it are not consumed, and an
/// invalid load report does not invalidate it. After a change of any single byte the answer has the same length, is
/// rejected or stays incomplete. Random bytes alone are never a served answer.
#[test]
fn corrupted_or_random_bytes_never_yield_an_answer_of_another_length() {
    let parts = (prop::collection::vec(any::<u8>(), 0..60), 1usize..50, any::<u16>(), any::<u8>());
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let check = |(value, chunk_size, offset, byte): (Vec<u8>, usize, u16, u8)| {
        let valid = valid_answer(&value);
        let (response, consumed) = parse(&[&valid[..], b"T\0\0"].concat(), chunk_size);
        prop_assert_eq!(consumed, Ok(valid.len()));
        prop_assert!(
            response.is_complete() && response.is_idle() && response.outcome() == AttemptOutcome::Served
        );
        prop_assert_eq!(
            response.replica_status(),
            Some(ReplicaStatus { primary: false, position: LogPosition::UNKNOWN })
        );
        prop_assert_eq!(response.load_report(&["x0".to_string()]).count, 0);
        // RowDescription takes 33 bytes, the header of the DataRow 11.
        let (row_start, served) = (33, response.result_bytes.clone());
        prop_assert_eq!(&served[row_start + 11..row_start + 11 + value.len()], &value[..]);
        let mut corrupted = valid.clone();
        let corrupted_offset = usize::from(offset) % valid.len();
        corrupted[corrupted_offset] = byte;
        let (response, consumed) = parse(&corrupted, chunk_size);
        if consumed.is_ok() && response.is_complete() && response.outcome() == AttemptOutcome::Served {
            prop_assert_eq!(response.result_bytes.len(), served.len());
        }
        // Random bytes are rejected or contain no row.
        let (response, _) = parse(&value, chunk_size);
        prop_assert!(response.outcome() != AttemptOutcome::Served);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&parts, check).unwrap();
}

/// Guards against an answer that never ends because it keeps sending messages that are accepted in every state.
#[test]
fn an_answer_with_too_many_notices_is_rejected() {
    let mut response = BackendResponse::for_query(ROW_LIMITS);
    let mut notice = Vec::new();
    put_message(&mut notice, backend::NOTICE_RESPONSE, &[b"Mone more\0\0"]);
    let accepted = (0..MAX_ASYNC_MESSAGE_BYTES).take_while(|_| response.feed(&notice).is_ok()).count();
    assert!(
        (100..=MAX_ASYNC_MESSAGE_BYTES / notice.len()).contains(&accepted),
        "{accepted} notices were accepted"
    );
}
