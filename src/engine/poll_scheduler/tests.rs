use super::*;

/// Guards against a host that is asked by all daemons at once, and against one that nobody asks, whatever daemons
/// hear of one another. Seeded.
#[test]
fn a_host_is_asked_once_where_words_go_round_and_seldom_where_none_do() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let daemons: Vec<NodeId> = (0..rng.u64(1..16)).map(|_| NodeId(rng.u64(1..))).collect();
        let others = |n: usize| daemons.iter().copied().filter(|id| *id != daemons[n]).collect::<Vec<_>>();
        let mut all: Vec<PollScheduler<u8>> =
            (0..daemons.len()).map(|n| PollScheduler::new(daemons[n], others(n))).collect();
        // How long a word is on its way; none arrives where it is cut off.
        let way = TimeDelta::from_micros(rng.i64(1_000..100_000));
        let cut = rng.bool();
        let mut asked: Vec<Vec<Timestamp>> = vec![Vec::new(); 6];
        let mut words: Vec<(Timestamp, u8)> = Vec::new();
        for now in (0..6_000_000).step_by(5_000).map(Timestamp::from_micros) {
            for (at, host) in words.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                assert!(at <= now);
                all.iter_mut().for_each(|a| a.told(now, host));
            }
            for own in &mut all {
                let mut out = own.due(now);
                if now == Timestamp::ZERO {
                    out.extend(
                        (0..6).filter(|h| own.wanted(now, *h, &format!("s-{h}")) == PollDecision::Now),
                    );
                }
                for host in out {
                    asked[usize::from(host)].push(now);
                    if !cut {
                        words.push((now + way, host));
                    } else {
                        own.told(now, host);
                    }
                }
            }
        }
        for (host, times) in asked.iter().enumerate() {
            let wanted = if cut { daemons.len() } else { 1 };
            assert_eq!(times.len(), wanted, "seed {seed}, host {host}: {times:?}");
            for from in times {
                let second =
                    times.iter().filter(|at| (*from..*from + TimeDelta::from_secs(1)).contains(*at)).count();
                assert!(second <= 4, "seed {seed}: {times:?}");
            }
        }
    }
}

#[test]
fn what_was_told_a_moment_ago_is_not_asked_and_a_daemon_that_is_alone_asks_at_once() {
    let at = |since: TimeDelta| Timestamp::ZERO + since;
    let mut alone = PollScheduler::new(NodeId(7), Vec::new());
    assert_eq!(alone.wanted(Timestamp::ZERO, 1, "a"), PollDecision::Now);
    let soon = TimeDelta::from_micros(10);
    alone.told(at(soon), 1);
    assert_eq!(
        (alone.wanted(at(OBSERVATION_TTL), 1, "a"), alone.wanted(at(OBSERVATION_TTL + soon), 1, "a")),
        (PollDecision::Known, PollDecision::Now)
    );
    let later = (1..).map(NodeId).find(|id| place("a", *id, &[NodeId(1_000)]) == 1).unwrap();
    let mut asks = PollScheduler::new(later, vec![NodeId(1_000)]);
    assert_eq!(
        (asks.wanted(Timestamp::ZERO, 1, "a"), asks.next()),
        (PollDecision::Later, Some(at(POLL_STAGGER)))
    );
    assert_eq!(
        (asks.wanted(at(POLL_STAGGER / 2), 1, "a"), asks.next()),
        (PollDecision::Later, Some(at(POLL_STAGGER)))
    );
    assert_eq!(
        (asks.due(at(POLL_STAGGER - TimeDelta::from_micros(1))), asks.due(at(POLL_STAGGER))),
        (vec![], vec![1])
    );
    assert_eq!((asks.wanted(at(POLL_STAGGER), 1, "a"), asks.end()), (PollDecision::Later, vec![1]));
    // The work is divided evenly.
    let others: Vec<NodeId> = (0..12).map(NodeId).collect();
    let first = |id: NodeId| (0..600).filter(|n| place(&format!("s-{n}"), id, &others) == 0).count();
    assert!(others.iter().all(|id| (25..80).contains(&first(*id))));
}
