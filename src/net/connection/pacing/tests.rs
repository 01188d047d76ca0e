//! When a connection is paced, and how fast it may go on.

use super::*;

/// Charges commands without a length until the next pause, and returns their number and the pause.
fn charge_until_paused(pacer: &mut CommandPacer, now: Instant, paced_connections: usize) -> (u32, Duration) {
    for commands in 1..=MAX_CREDIT + BATCH_UNITS {
        pacer.charge(now, 0, paced_connections);
        if let Some(resume_at) = pacer.paused_until(now) {
            return (commands, resume_at - now);
        }
    }
    panic!("no pause: {pacer:?}");
}

#[test]
fn a_connection_is_paced_once_its_credit_is_used_up() {
    let start = Instant::now();
    let mut pacer = CommandPacer::new(start);
    assert_eq!(charge_until_paused(&mut pacer, start, 1), (MAX_CREDIT + BATCH_UNITS, PAUSE_PER_CONNECTION));
    let resumed = start + PAUSE_PER_CONNECTION;
    assert!(pacer.paused_until(resumed).is_none() && pacer.is_paced(resumed));
    assert_eq!(charge_until_paused(&mut pacer, resumed, 1), (BATCH_UNITS, PAUSE_PER_CONNECTION));
}

#[test]
fn pauses_grow_with_the_paced_connections_and_with_the_length_of_commands() {
    let start = Instant::now();
    let mut pacer = CommandPacer::new(start);
    let (_, first_pause) = charge_until_paused(&mut pacer, start, 1);
    let resumed = start + first_pause;
    let (_, second_pause) = charge_until_paused(&mut pacer, resumed, 6);
    assert_eq!(second_pause, PAUSE_PER_CONNECTION * 6);
    let resumed = resumed + second_pause;
    let (_, longest_pause) = charge_until_paused(&mut pacer, resumed, 100_000);
    assert_eq!(longest_pause, MAX_PAUSE);
    let mut pacer = CommandPacer::new(start);
    charge_until_paused(&mut pacer, start, 1);
    let resumed = start + PAUSE_PER_CONNECTION;
    pacer.charge(resumed, BYTES_PER_UNIT * 4 * BATCH_UNITS as usize, 1);
    assert_eq!(pacer.paused_until(resumed), Some(resumed + PAUSE_PER_CONNECTION * 4));
}

#[test]
fn a_connection_that_sends_slowly_is_never_paced() {
    let start = Instant::now();
    let mut pacer = CommandPacer::new(start);
    for command in 0..10 * MAX_CREDIT {
        pacer.charge(start + CREDIT_INTERVAL * command, 0, 1);
    }
    assert_eq!(pacer.paused_until(start), None);
}

#[test]
fn credit_returns_and_pacing_ends() {
    let start = Instant::now();
    let mut pacer = CommandPacer::new(start);
    charge_until_paused(&mut pacer, start, 1);
    let later = start + CREDIT_INTERVAL * MAX_CREDIT * 2;
    assert!(!pacer.is_paced(later));
    assert_eq!(charge_until_paused(&mut pacer, later, 1).0, MAX_CREDIT + BATCH_UNITS);
}
