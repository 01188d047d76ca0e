//! The request table: one final answer each, whatever comes in which order.

use super::super::classes::Classes;
use super::super::endpoints::EndpointRecord;
use super::*;
use async_channel::Receiver;

type Out = Vec<Command<&'static str>>;

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn owner() -> (RequestEngine<&'static str, &'static str>, Out) {
    let class = Class {
        latency_objective: Some(TimeDelta::from_millis(500)),
        idempotency: Some(Idempotency::Idempotent),
        consistency: Some(Consistency::Bounded),
        max_age: Some(TimeDelta::from_millis(800)),
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        may_cancel: Some(true),
        replication_lag_policy: Some(ReplicationLagPolicy::WaitThenReject),
        ..Settings::default()
    };
    let mut settings = settings;
    let metrics = Arc::new(Metrics::new(&Classes::new(vec!["read".into()], &mut settings)));
    let limits = Limits { open_requests: 3, ..Limits::for_sockets(64) };
    let mut owner = RequestEngine::new(settings, 1, &limits, metrics);
    let mut out = Out::new();
    let list = EndpointUpdate {
        index: 1,
        whole: true,
        entries: vec![EndpointRecord::plain("a"), EndpointRecord::plain("b")],
    };
    owner.list(at(1_000), &list, false, &mut out);
    assert!(matches!(&out[..], [Command::UpdateEndpoints(hosts)] if hosts.len() == 2));
    (owner, Out::new())
}

fn request(
    id: u64,
    last_commit_age: Option<TimeDelta>,
) -> (Input<&'static str, &'static str>, Receiver<FinalAnswer<&'static str>>) {
    let (reply, answer) = async_channel::bounded(1);
    let ask = IncomingRequest {
        id: RequestId(id),
        group: GroupId(1),
        last_commit_age,
        ..IncomingRequest::default()
    };
    (Input::Request(Submission { ask, deadline: at(1_000_000), work: "w", reply }), answer)
}

fn ended(id: u64, attempt: u8, outcome: AttemptOutcome) -> Input<&'static str, &'static str> {
    let answer = (outcome == AttemptOutcome::Served).then_some("value");
    let replica_status = Some(ReplicaStatus { primary: true, position: LogPosition::UNKNOWN });
    Input::AttemptFinished(AttemptReport {
        id: RequestId(id),
        attempt,
        outcome,
        replica_status,
        report: LoadReport::default(),
        answer,
    })
}

#[test]
fn one_final_answer_and_late_results_are_dropped() {
    let (mut owner, mut out) = owner();
    let (input, answer) = request(1, None);
    owner.input(at(2_000), input, &mut out);
    let freshness = Freshness::MaxAge(TimeDelta::from_millis(800));
    assert!(
        matches!(&out[..], [Command::SendAttempt { id: RequestId(1), attempt: 0, freshness: n, .. }] if *n == freshness)
    );
    owner.input(at(3_000), ended(1, 0, AttemptOutcome::Served), &mut out);
    owner.input(at(4_000), ended(1, 0, AttemptOutcome::Served), &mut out);
    assert_eq!(answer.try_recv(), Ok(FinalAnswer::Served("value")));
    assert!(answer.try_recv().is_err());
    assert_eq!(owner.open(), 0);
}

/// Guards against work for nobody, and against an answer to a client that has gone.
#[test]
fn a_client_that_goes_has_its_attempt_called_off() {
    let (mut owner, mut out) = owner();
    let (input, answer) = request(1, None);
    owner.input(at(2_000), input, &mut out);
    out.clear();
    owner.input(at(3_000), Input::RequestCancelled(RequestId(1)), &mut out);
    assert_eq!(out, [Command::Cancel { id: RequestId(1), attempt: 0 }]);
    owner.input(at(4_000), ended(1, 0, AttemptOutcome::Served), &mut out);
    assert!(answer.try_recv().is_err());
}

/// Guards against an answer that was begun and is cut off with its client.
#[test]
fn an_answer_that_has_begun_is_final_and_ends_with_its_client() {
    let (mut owner, mut out) = owner();
    let (input, answer) = request(1, None);
    owner.input(at(2_000), input, &mut out);
    out.clear();
    owner.input(
        at(3_000),
        Input::ResponseStarted { id: RequestId(1), attempt: 0, answer: "begun" },
        &mut out,
    );
    assert_eq!(answer.try_recv(), Ok(FinalAnswer::Served("begun")));
    owner.due(at(5_000_000), &mut out);
    assert!(!out.contains(&Command::Cancel { id: RequestId(1), attempt: 0 }), "its deadline no longer binds");
    owner.input(at(5_000_000), Input::RequestCancelled(RequestId(1)), &mut out);
    assert!(out.contains(&Command::Cancel { id: RequestId(1), attempt: 0 }));
}

#[test]
fn too_many_requests_and_unknown_groups_are_answered_at_once() {
    let (mut owner, mut out) = owner();
    let answers: Vec<_> = (1..=4)
        .map(|id| {
            let (input, answer) = request(id, None);
            owner.input(at(2_000), input, &mut out);
            answer
        })
        .collect();
    assert_eq!(answers[3].try_recv(), Ok(FinalAnswer::Rejected { retry_after: None, overdue: false }));
    let (Input::Request(mut s), answer) = request(9, None) else { return };
    s.ask.group = GroupId(7);
    owner.input(at(2_000), Input::Request(s), &mut out);
    assert_eq!(answer.try_recv(), Ok(FinalAnswer::UnknownGroup));
}

/// Guards against requests that are lost at the end of the program.
#[test]
fn at_the_end_all_that_is_open_is_answered() {
    let (mut owner, mut out) = owner();
    let (input, sent) = request(1, None);
    owner.input(at(2_000), input, &mut out);
    let draining = EndpointUpdate { index: 2, whole: true, entries: Vec::new() };
    owner.list(at(2_500), &draining, false, &mut out);
    let (input, held) = request(2, None);
    owner.input(at(3_000), input, &mut out);
    assert!(held.try_recv().is_err() && sent.try_recv().is_err());
    out.clear();
    owner.end(at(4_000), &mut out);
    assert_eq!(sent.try_recv(), Ok(FinalAnswer::Failed { overdue: false }));
    assert_eq!(held.try_recv(), Ok(FinalAnswer::Rejected { retry_after: None, overdue: false }));
    assert_eq!((owner.open(), out), (0, vec![Command::Cancel { id: RequestId(1), attempt: 0 }]));
}

/// Guards against a position or a report out of this world: it would pass for fresh for ever.
#[test]
fn a_host_that_claims_to_be_ahead_of_the_present_is_not_believed() {
    let (mut owner, _) = owner();
    owner.settings.report_fields = vec!["x0".into()];
    let report = |x0| LoadReport { values: [x0; 4], count: 1 };
    for (x0, believed) in [(4.5, 1), (7.0, 0), (f64::MAX, 0), (-1.0, 0)] {
        assert_eq!(owner.credible(at(5_000_000), report(x0)).count, believed, "{x0}");
    }
    let told = |micros| Some(ReplicaStatus { primary: false, position: LogPosition::from_micros(micros) });
    assert_eq!(believed(at(5_000_000), told(4_000_000)), told(4_000_000));
    assert_eq!(believed(at(5_000_000), told(5_000_001)), told(5_000_000), "a clock that is a little ahead");
    assert_eq!(believed(at(5_000_000), told(i64::MAX)), None);
}

/// Guards against a fault of the module that would end the process and all that it has taken.
#[test]
fn a_module_that_panics_is_replaced_and_goes_on_from_the_list() {
    let (mut owner, mut out) = owner();
    let (input, open) = request(1, None);
    owner.input(at(2_000), input, &mut out);
    out.clear();
    // An age that no front hands in, since its arithmetic overflows.
    let (poison, answer) = request(2, Some(TimeDelta::from_micros(i64::MIN)));
    owner.input(at(3_000), poison, &mut out);
    assert_eq!(answer.try_recv(), Ok(FinalAnswer::Failed { overdue: false }));
    assert_eq!(open.try_recv(), Ok(FinalAnswer::Failed { overdue: false }));
    assert_eq!(out, [Command::Cancel { id: RequestId(1), attempt: 0 }]);
    owner.input(at(3_500), ended(1, 0, AttemptOutcome::Cancelled), &mut out);
    out.clear();
    let (input, answer) = request(3, None);
    owner.input(at(4_000), input, &mut out);
    assert!(matches!(&out[..], [Command::SendAttempt { id: RequestId(3), .. }]), "{out:?}");
    owner.input(at(5_000), ended(3, 0, AttemptOutcome::Served), &mut out);
    assert_eq!(answer.try_recv(), Ok(FinalAnswer::Served("value")));
}

/// Guards against a request that is taken after the last answers of a program that ends, and that nobody answers.
#[test]
fn what_comes_after_the_last_answers_is_refused_at_once() {
    let (mut owner, mut out) = owner();
    owner.end(at(2_000), &mut out);
    let (input, late) = request(1, None);
    owner.input(at(3_000), input, &mut out);
    assert_eq!(late.try_recv(), Ok(FinalAnswer::Rejected { retry_after: None, overdue: false }));
    assert!(out.is_empty() && owner.open() == 0, "{out:?}");
}

/// Guards against a repeat that the host side may write whenever its connection comes up: it is told until when what
/// drops repeats remembers the first attempt that may have run.
#[test]
fn a_repeat_of_a_keyed_request_carries_the_end_of_its_window() {
    let (mut owner, mut out) = owner();
    owner.settings.classes[0].idempotency = Some(Idempotency::Keyed);
    owner.settings.classes[0].key_window = Some(TimeDelta::from_millis(300));
    let (input, _answer) = request(1, None);
    owner.input(at(2_000), input, &mut out);
    let send_by = |out: &Out| match out.last() {
        Some(Command::SendAttempt { send_by, .. }) => *send_by,
        other => panic!("{other:?}"),
    };
    assert_eq!(send_by(&out), None, "nothing has run");
    owner.input(at(10_000), ended(1, 0, AttemptOutcome::ConnectFailed), &mut out);
    assert_eq!(send_by(&out), None, "it never ran");
    let Some(Command::SendAttempt { attempt, .. }) = out.last().cloned() else { return };
    assert_eq!(attempt, 1);
    owner.input(at(20_000), ended(1, 1, AttemptOutcome::Reset), &mut out);
    assert_eq!(
        send_by(&out),
        Some(at(10_000 + 300_000)),
        "counted from the send of the one that may have run"
    );
}
