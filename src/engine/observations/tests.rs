use super::*;

const A: EndpointId = EndpointId { ip: [0; 4], port: 1 };

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn position(micros: i64) -> LogPosition {
    LogPosition::from_micros(micros)
}

fn replica_status(micros: i64) -> Option<ReplicaStatus> {
    Some(ReplicaStatus { primary: true, position: position(micros) })
}

/// Guards against answers that overtake one another and pass for a host that went back, and against a host that
/// went back and has since caught up unseen. Seeded.
#[test]
fn a_host_goes_back_only_where_it_was_asked_after_it_had_told_more() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut facts = Observations::default();
        facts.take();
        // Questions that are out: sent, and what the host told when it had them.
        let mut out: Vec<(i64, i64)> = Vec::new();
        let (mut now, mut position, mut went_back) = (1_000_000, 900_000, false);
        let falls = rng.bool().then(|| rng.u32(100..150));
        for n in 0..200 {
            now += rng.i64(1..5_000);
            position += rng.i64(0..4_000);
            if falls == Some(n) {
                // Nothing of before is still out: those connections are gone.
                out.clear();
                position -= 500_000;
            }
            out.push((now, position));
            if rng.bool() {
                let (sent, position) = out.swap_remove(rng.usize(..out.len()));
                now += 1;
                facts.note(A, replica_status(position), None, at(sent), at(now));
            }
            if rng.u8(..8) == 0 {
                went_back |= facts.take().iter().any(|(_, new)| new.regression.is_some());
            }
        }
        went_back |= facts.take().iter().any(|(_, new)| new.regression.is_some());
        assert_eq!(went_back, falls.is_some(), "seed {seed}");
    }
}

#[test]
fn what_was_known_before_counts_and_a_new_start_is_told() {
    let mut facts = Observations::default();
    facts.note(A, replica_status(5_000), None, at(1), at(2));
    assert!(facts.take().is_empty(), "nobody has asked yet");
    facts.known(A, position(900_000), at(10));
    facts.known(A, position(700_000), at(11));
    facts.note(A, replica_status(400_000), Some(TimeDelta::from_micros(30)), at(20), at(50));
    facts.served(A);
    assert!(facts.is_urgent() && !facts.is_urgent());
    let new = facts.take()[0].1;
    let regression = LogRegression { position: position(400_000), requested_at: at(20) };
    assert_eq!((new.regression, new.started_at, new.served), (Some(regression), Some(at(50)), 1));
    facts.note(A, replica_status(500_000), Some(TimeDelta::from_micros(60)), at(60), at(90));
    let new = facts.take()[0].1;
    assert_eq!(
        (new.regression, new.started_at, new.served, facts.heard(A)),
        (None, Some(at(50)), 0, Some(at(90)))
    );
    facts.retain(|endpoint| endpoint != A);
    assert_eq!(facts.heard(A), None);
}
