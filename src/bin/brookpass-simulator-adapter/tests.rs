//! The simulator's protocol, tested with frames that are assembled byte by byte.

use super::*;
use crate::reply::Reply;
use brookpass::routing::*;

fn put(record: &mut [u8], offset: usize, bytes: &[u8]) {
    record[offset..offset + bytes.len()].copy_from_slice(bytes);
}

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; 56];
    record[0] = code;
    put(&mut record, 1, &7u32.to_le_bytes());
    for (offset, bytes) in fields {
        put(&mut record, *offset, bytes);
    }
    record
}

fn frame(clock: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend(((records.len() * 56 + tail.len()) as u32).to_le_bytes());
    frame.extend(clock.to_le_bytes());
    records.iter().for_each(|record| frame.extend(record));
    frame.extend(tail);
    frame
}

/// Two frames: the start of an instance with a list of one endpoint, and a write for that endpoint's group.
fn start_and_request_frames() -> Vec<u8> {
    let settings =
        b"services.count=1\nservices.0.repeat=once\nservices.0.target=0.5\nfamily-info.consistency=mutate\n";
    let mut entry = vec![0u8; 28];
    put(&mut entry, 0, &[10, 1, 2, 3, 0x39, 0x05]);
    put(&mut entry, 9, &4u16.to_le_bytes());
    put(&mut entry, 12, &1f32.to_le_bytes());
    put(&mut entry, 16, &1f32.to_le_bytes());
    let mut tail = settings.to_vec();
    tail.extend(&entry);
    let entries_offset = settings.len() as u32;
    let entry_count = 1u32;
    let start = record(1, &[(13, &0u32.to_le_bytes()), (17, &entries_offset.to_le_bytes())]);
    let mut define_list = vec![0; 56];
    define_list[0] = 11;
    define_list[1] = 3;
    put(&mut define_list, 2, &entries_offset.to_le_bytes());
    put(&mut define_list, 6, &entry_count.to_le_bytes());
    let list_update = record(2, &[(5, &[1]), (10, &[3])]);
    let request =
        record(3, &[(5, &99u64.to_le_bytes()), (23, &4f32.to_le_bytes()), (34, &2f64.to_le_bytes())]);
    let mut input = frame(1.0, &[start, define_list, list_update], &tail);
    input.extend(frame(1.5, &[request], &[]));
    input
}

fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = serve(&mut &input[..], &mut output).map_err(|error| error.to_string());
    (result, output)
}

/// Splits the output into the records of each reply.
fn split_replies(output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let number_at =
        |offset: usize| u32::from_le_bytes(output[offset..offset + 4].try_into().unwrap()) as usize;
    let mut frames = Vec::new();
    let mut offset = 0;
    while offset < output.len() {
        let count = number_at(offset);
        let length = number_at(offset + 4);
        let body = &output[offset + 8..offset + 8 + length];
        frames.push(body.chunks(32).take(count).map(<[u8]>::to_vec).collect());
        offset += 8 + length;
    }
    frames
}

fn reply_count(output: &[u8]) -> usize {
    split_replies(output).len()
}

#[test]
fn a_write_is_sent_to_the_listed_primary_of_its_group() {
    let (result, output) = run(&start_and_request_frames());
    assert_eq!(result, Ok(()));
    let sends: Vec<Vec<u8>> =
        split_replies(&output).into_iter().flatten().filter(|record| record[0] == 1).collect();
    assert_eq!(sends.len(), 1);
    assert_eq!(sends[0][1..5], 7u32.to_le_bytes());
    assert_eq!(sends[0][5..13], 99u64.to_le_bytes());
    assert_eq!(sends[0][13..19], [10, 1, 2, 3, 0x39, 0x05]);
}

#[test]
fn an_empty_batch_has_an_empty_reply_and_the_end_of_input_is_no_error() {
    let (result, output) = run(&frame(4.0, &[], &[]));
    assert_eq!((result, output), (Ok(()), vec![0; 8]));
    assert_eq!(run(&[]), (Ok(()), Vec::new()));
}

#[test]
fn a_malformed_frame_is_reported_and_gets_no_reply() {
    let good = start_and_request_frames();
    let mut cases: Vec<(Vec<u8>, &str)> = vec![
        (good[..9].to_vec(), "header truncated"),
        (good[..good.len() - 3].to_vec(), "body truncated"),
        (frame(1.0, &[record(77, &[])], &[]), "unknown event code 77"),
        (frame(1.0, &[record(6, &[])], &[]), "instance 7 is not running"),
        (frame(1.0, &[record(10, &[])], &[]), "instance 7 is not running"),
        (frame(f64::NAN, &[], &[]), "the clock is not a finite number"),
        (frame(1.0, &[record(1, &[(13, &5u32.to_le_bytes()), (17, &9u32.to_le_bytes())])], &[]), "outside"),
        (frame(1.0, &[record(1, &[(17, &7u32.to_le_bytes())])], b"step=no"), "step=no does not parse"),
        (frame(1.0, &[record(2, &[(5, &[2])])], &[]), "endpoint list 0 is not defined"),
        (frame(1.0, &[record(5, &[(32, &[99])])], &[]), "unknown outcome 99"),
    ];
    let mut short = frame(1.0, &[], &[]);
    put(&mut short, 0, &3u32.to_le_bytes());
    cases.push((short, "3 records do not fit"));
    for (input, expected) in cases {
        let (result, output) = run(&input);
        let error = result.expect_err(expected);
        assert!(error.contains(expected) && !error.contains('\n'), "{error:?} does not contain {expected:?}");
        let answered = if expected == "body truncated" { 1 } else { 0 };
        assert_eq!(reply_count(&output), answered, "complete replies to complete frames only: {expected}");
    }
}

#[test]
fn every_action_is_one_record_of_fixed_size_with_text_in_the_tail() {
    let endpoint = EndpointId { ip: [1, 2, 3, 4], port: 5 };
    let mut reply = Reply::default();
    let actions = [
        Action::Send {
            id: RequestId(1),
            endpoint,
            stop_at: Some(Timestamp::from_micros(2_500_000)),
            fresh_until: None,
        },
        Action::Reject { id: RequestId(2), retry_after: Some(TimeDelta::from_millis(250)) },
        Action::Fail { id: RequestId(3) },
        Action::Cancel { id: RequestId(4), attempt: 6 },
        Action::SetTimer { delay: TimeDelta::from_millis(1), timer: 8 },
        Action::Probe { endpoint },
        Action::CloseIdle { endpoint },
        Action::SendToPeers { to: None, bytes: b"hi".to_vec() },
        Action::Log { text: "two".to_string() },
        Action::Subscribe { on: true },
        Action::FetchList,
    ];
    actions.iter().for_each(|action| reply.push_action(9, action));
    reply.push_instance_failure(9, "why");
    let bytes = reply.to_bytes();
    assert_eq!(bytes.len(), 8 + 12 * 32 + 8);
    let codes: Vec<u8> = (0..12).map(|n| bytes[8 + 32 * n]).collect();
    assert_eq!(codes, [1, 2, 3, 4, 5, 6, 7, 8, 9, 11, 12, 10]);
    assert_eq!(&bytes[8 + 12 * 32..], b"hitwowhy");
    assert_eq!(bytes[8 + 19..8 + 27], 2.5f64.to_le_bytes());
}
