//! Faults as data: what happens when. A script comes from a seed, or is written by hand.

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A daemon is killed.
    Kill(usize),
    /// It starts again.
    Start(usize),
    /// It starts again without its disk.
    StartAnew(usize),
    /// It stands still.
    Stop(usize),
    /// It goes on.
    Continue(usize),
    /// Only daemons of the same part hear one another.
    Split(Vec<Vec<usize>>),
    /// What the first says does not reach the second.
    CutOneWay(usize, usize),
    /// The link between two is so late, in milliseconds, and loses so many of a hundred frames.
    Weather(usize, usize, u64, u8),
    /// All connections of a link are reset.
    Reset(usize, usize),
    /// All links are sound again.
    Heal,
    /// An operator drains a host at a daemon.
    Drain(usize, String),
    /// An operator ends that.
    Undrain(usize, String),
    /// What happens to the hosts of a zone.
    Zone(String, Trouble),
    /// A daemon cannot reach the hosts of a zone, or can again.
    Cut(usize, String, bool),
}

/// What happens to all hosts of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
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
pub struct Script(pub Vec<(u64, Act)>);

impl Script {
    /// Faults by seed, over so many milliseconds: what was broken is whole again at the end. No more daemons are
    /// down or stand still at once than leave a majority, but links are cut at will.
    pub fn random(seed: u64, daemons: usize, hosts: &[String], length: u64) -> Script {
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
                    Act::Kill(a)
                }
                2 if down.len() < most && !is_down(a, &down) => {
                    down.push((a, false));
                    Act::Stop(a)
                }
                3..=5 if !down.is_empty() => match down.swap_remove(rng.usize(..down.len())) {
                    (n, true) => Act::Start(n),
                    (n, false) => Act::Continue(n),
                },
                6 => {
                    let mut all: Vec<usize> = (0..daemons).collect();
                    rng.shuffle(&mut all);
                    let cut = rng.usize(1..daemons);
                    Act::Split(vec![all[..cut].to_vec(), all[cut..].to_vec()])
                }
                7 if a != b => Act::CutOneWay(a, b),
                8 if a != b => Act::Weather(a, b, rng.u64(..200), rng.u8(..30)),
                9 if a != b => Act::Reset(a, b),
                10 | 11 => Act::Heal,
                12..=15 if !is_down(a, &down) => Act::Drain(a, host),
                16 | 17 if !is_down(a, &down) => Act::Undrain(a, host),
                _ => continue,
            };
            acts.push((at, act));
        }
        acts.push((length, Act::Heal));
        for (n, killed) in down {
            acts.push((length, if killed { Act::Start(n) } else { Act::Continue(n) }));
        }
        Script(acts)
    }

    /// Zones that fail by seed, over so many milliseconds: any trouble of any zone at any time, daemons that cannot
    /// reach one, daemons that are killed. One zone is never touched, and all is sound at the end.
    pub fn zones(seed: u64, daemons: usize, zones: &[String], length: u64) -> Script {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spared = rng.usize(..zones.len());
        let (mut acts, mut at, mut down) = (Vec::new(), 0, None);
        while at < length {
            at += rng.u64(200..1_200);
            let zone = zones[(spared + rng.usize(1..zones.len())) % zones.len()].clone();
            let n = rng.usize(..daemons);
            let act = match rng.u8(..12) {
                0 | 1 => Act::Zone(zone, Trouble::Silent),
                2 => Act::Zone(zone, Trouble::Off),
                3 => Act::Zone(zone, Trouble::Slow(rng.u32(5..15))),
                4 => Act::Zone(zone, Trouble::Lossy(rng.u8(10..50))),
                5 | 6 => Act::Zone(zone, Trouble::None),
                7 => Act::Cut(n, zone, true),
                8 => Act::Cut(n, zone, false),
                9 if down.is_none() => Act::Kill(*down.insert(n)),
                10 if down.is_some() => Act::Start(down.take().unwrap_or(n)),
                _ => continue,
            };
            acts.push((at, act));
        }
        acts.extend(down.map(|n| (length, Act::Start(n))));
        for zone in zones {
            acts.push((length, Act::Zone(zone.clone(), Trouble::None)));
            acts.extend((0..daemons).map(|n| (length, Act::Cut(n, zone.clone(), false))));
        }
        Script(acts)
    }
}

#[cfg(test)]
mod tests;
