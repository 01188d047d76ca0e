use super::*;

const ENDPOINTS: u8 = 6;

/// Simulated poolers that poll the same endpoints, and the gossip between them.
struct Poolers {
    schedulers: Vec<PollScheduler<u8>>,
    /// How long gossip takes to arrive; `None` if it never arrives.
    gossip_delay: Option<TimeDelta>,
    /// Gossip in transit: when it arrives, and which endpoint it is about.
    gossip: Vec<(Timestamp, u8)>,
    /// The times at which each endpoint was polled, by endpoint number.
    polled: Vec<Vec<Timestamp>>,
}

impl Poolers {
    fn step(&mut self, now: Timestamp) {
        for (arrives_at, endpoint) in self.gossip.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            assert!(arrives_at <= now);
            self.schedulers.iter_mut().for_each(|scheduler| scheduler.record_observation(now, endpoint));
        }
        for scheduler in &mut self.schedulers {
            let mut polls = scheduler.take_due(now);
            if now == Timestamp::ZERO {
                let at_once = |n: &u8| scheduler.decide(now, *n, &format!("s-{n}")) == PollDecision::Send;
                polls.extend((0..ENDPOINTS).filter(at_once));
            }
            for endpoint in polls {
                self.polled[usize::from(endpoint)].push(now);
                match self.gossip_delay {
                    Some(delay) => self.gossip.push((now + delay, endpoint)),
                    None => scheduler.record_observation(now, endpoint),
                }
            }
        }
    }
}

/// Guards against an endpoint being polled by all poolers at once, or by none, with and without gossip. Randomized with
/// fixed seeds.
#[test]
fn an_endpoint_is_polled_once_with_gossip_and_at_a_bounded_rate_without() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ids: Vec<NodeId> = (0..rng.u64(1..16)).map(|_| NodeId(rng.u64(1..))).collect();
        let peers = |n: usize| ids.iter().copied().filter(|id| *id != ids[n]).collect::<Vec<_>>();
        let schedulers = (0..ids.len()).map(|n| PollScheduler::new(ids[n], peers(n))).collect();
        let delay = TimeDelta::from_micros(rng.i64(1_000..100_000));
        let cut_off = rng.bool();
        let mut poolers = Poolers {
            schedulers,
            gossip_delay: (!cut_off).then_some(delay),
            gossip: Vec::new(),
            polled: vec![Vec::new(); usize::from(ENDPOINTS)],
        };
        for now in (0..6_000_000).step_by(5_000).map(Timestamp::from_micros) {
            poolers.step(now);
        }
        for (endpoint, times) in poolers.polled.iter().enumerate() {
            let expected = if cut_off { ids.len() } else { 1 };
            assert_eq!(times.len(), expected, "seed {seed}, endpoint {endpoint}: {times:?}");
            for from in times {
                let second = *from..*from + TimeDelta::from_secs(1);
                let polls = times.iter().filter(|at| second.contains(*at)).count();
                assert!(polls <= 4, "seed {seed}: {times:?}");
            }
        }
    }
}

#[test]
fn a_recent_observation_replaces_a_poll_and_a_lone_pooler_polls_at_once() {
    let at = |since: TimeDelta| Timestamp::ZERO + since;
    let mut lone_scheduler = PollScheduler::new(NodeId(7), Vec::new());
    assert_eq!(lone_scheduler.decide(Timestamp::ZERO, 1, "a"), PollDecision::Send);
    let soon = TimeDelta::from_micros(10);
    lone_scheduler.record_observation(at(soon), 1);
    assert_eq!(
        (
            lone_scheduler.decide(at(OBSERVATION_TTL), 1, "a"),
            lone_scheduler.decide(at(OBSERVATION_TTL + soon), 1, "a")
        ),
        (PollDecision::AlreadyAnswered, PollDecision::Send)
    );
    let second_ranked = (1..).map(NodeId).find(|id| poll_rank("a", *id, &[NodeId(1_000)]) == 1).unwrap();
    let mut scheduler = PollScheduler::new(second_ranked, vec![NodeId(1_000)]);
    assert_eq!(
        (scheduler.decide(Timestamp::ZERO, 1, "a"), scheduler.next_due()),
        (PollDecision::Defer, Some(at(POLL_STAGGER)))
    );
    assert_eq!(
        (scheduler.decide(at(POLL_STAGGER / 2), 1, "a"), scheduler.next_due()),
        (PollDecision::Defer, Some(at(POLL_STAGGER)))
    );
    let before = at(POLL_STAGGER - TimeDelta::from_micros(1));
    assert_eq!((scheduler.take_due(before), scheduler.take_due(at(POLL_STAGGER))), (vec![], vec![1]));
    assert_eq!(
        (scheduler.decide(at(POLL_STAGGER), 1, "a"), scheduler.into_deferred()),
        (PollDecision::Defer, vec![1])
    );
}

#[test]
fn polls_are_divided_evenly_among_poolers() {
    let poolers: Vec<NodeId> = (0..12).map(NodeId).collect();
    let first_ranked_count =
        |id: NodeId| (0..600).filter(|n| poll_rank(&format!("s-{n}"), id, &poolers) == 0).count();
    assert!(poolers.iter().all(|id| (25..80).contains(&first_ranked_count(*id))));
}
