//! Faults as data: what happens when. A script comes from a seed, or is written by hand.

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// A daemon is killed.
    Kill(usize),
    /// It starts again.
    Start(usize),
    /// It starts again without its disk.
    StartWithoutStore(usize),
    /// It stands still.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// Only daemons of the same part hear one another.
    Partition(Vec<Vec<usize>>),
    /// What the first says does not reach the second.
    CutOneWay(usize, usize),
    /// The link between two is so late, in milliseconds, and loses so many of a hundred frames.
    SetLinkFaults(usize, usize, u64, u8),
    /// All connections of a link are reset.
    ResetLink(usize, usize),
    /// All links are sound again.
    HealLinks,
    /// An operator drains a host at a daemon.
    Drain(usize, String),
    /// An operator ends that.
    Undrain(usize, String),
    /// What happens to the hosts of a zone.
    SetZoneFault(String, EndpointFault),
    /// A daemon cannot reach the hosts of a zone, or can again.
    Cut(usize, String, bool),
}

/// What happens to all hosts of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointFault {
    /// They are sound again; those that were off start cold.
    None,
    /// They take work and answer nothing.
    Silent,
    /// They have lost their power: nobody takes connections.
    Off,
    /// They take so many times as long.
    Slow(u32),
    /// Of a hundred requests so many get no answer.
    Lossy(u8),
}

/// What happens, each with its time in milliseconds from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule(pub Vec<(u64, FaultAction)>);

impl FaultSchedule {
    /// Faults by seed, over so many milliseconds: what was broken is whole again at the end. No more daemons are
    /// down or stand still at once than leave a majority, but links are cut at will.
    pub fn random(seed: u64, daemons: usize, hosts: &[String], length: u64) -> FaultSchedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut acts, mut at) = (Vec::new(), 0);
        let mut down: Vec<(usize, bool)> = Vec::new();
        let most = (daemons - 1) / 2;
        while at < length {
            at += rng.u64(30..250);
            let (a, b) = (rng.usize(..daemons), rng.usize(..daemons));
            let host = hosts[rng.usize(..hosts.len())].clone();
            let is_down = |n: usize, down: &[(usize, bool)]| down.iter().any(|(d, _)| *d == n);
            let act = match rng.u8(..20) {
                0 | 1 if down.len() < most && !is_down(a, &down) => {
                    down.push((a, true));
                    FaultAction::Kill(a)
                }
                2 if down.len() < most && !is_down(a, &down) => {
                    down.push((a, false));
                    FaultAction::Pause(a)
                }
                3..=5 if !down.is_empty() => match down.swap_remove(rng.usize(..down.len())) {
                    (n, true) => FaultAction::Start(n),
                    (n, false) => FaultAction::Resume(n),
                },
                6 => {
                    let mut all: Vec<usize> = (0..daemons).collect();
                    rng.shuffle(&mut all);
                    let cut = rng.usize(1..daemons);
                    FaultAction::Partition(vec![all[..cut].to_vec(), all[cut..].to_vec()])
                }
                7 if a != b => FaultAction::CutOneWay(a, b),
                8 if a != b => FaultAction::SetLinkFaults(a, b, rng.u64(..200), rng.u8(..30)),
                9 if a != b => FaultAction::ResetLink(a, b),
                10 | 11 => FaultAction::HealLinks,
                12..=15 if !is_down(a, &down) => FaultAction::Drain(a, host),
                16 | 17 if !is_down(a, &down) => FaultAction::Undrain(a, host),
                _ => continue,
            };
            acts.push((at, act));
        }
        acts.push((length, FaultAction::HealLinks));
        for (n, killed) in down {
            acts.push((length, if killed { FaultAction::Start(n) } else { FaultAction::Resume(n) }));
        }
        FaultSchedule(acts)
    }

    /// Zones that fail by seed, over so many milliseconds: any trouble of any zone at any time, daemons that cannot
    /// reach one, daemons that are killed. One zone is never touched, and all is sound at the end.
    pub fn zones(seed: u64, daemons: usize, zones: &[String], length: u64) -> FaultSchedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spared = rng.usize(..zones.len());
        let (mut acts, mut at, mut down) = (Vec::new(), 0, None);
        while at < length {
            at += rng.u64(200..1_200);
            let zone = zones[(spared + rng.usize(1..zones.len())) % zones.len()].clone();
            let n = rng.usize(..daemons);
            let act = match rng.u8(..12) {
                0 | 1 => FaultAction::SetZoneFault(zone, EndpointFault::Silent),
                2 => FaultAction::SetZoneFault(zone, EndpointFault::Off),
                3 => FaultAction::SetZoneFault(zone, EndpointFault::Slow(rng.u32(5..15))),
                4 => FaultAction::SetZoneFault(zone, EndpointFault::Lossy(rng.u8(10..50))),
                5 | 6 => FaultAction::SetZoneFault(zone, EndpointFault::None),
                7 => FaultAction::Cut(n, zone, true),
                8 => FaultAction::Cut(n, zone, false),
                9 if down.is_none() => FaultAction::Kill(*down.insert(n)),
                10 if down.is_some() => FaultAction::Start(down.take().unwrap_or(n)),
                _ => continue,
            };
            acts.push((at, act));
        }
        acts.extend(down.map(|n| (length, FaultAction::Start(n))));
        for zone in zones {
            acts.push((length, FaultAction::SetZoneFault(zone.clone(), EndpointFault::None)));
            acts.extend((0..daemons).map(|n| (length, FaultAction::Cut(n, zone.clone(), false))));
        }
        FaultSchedule(acts)
    }
}

#[cfg(test)]
mod tests;
