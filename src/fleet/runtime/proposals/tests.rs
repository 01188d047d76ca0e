//! Repetition of proposals from files, and completion of the calls that wait for a change.

use super::*;

fn proposals() -> PendingProposals {
    PendingProposals::new(Timestamp::from_micros(1_000))
}

/// Guards against a change that is appended to the log twice because the leader was slow.
#[test]
fn a_change_from_a_file_keeps_its_token_and_is_not_repeated_within_the_retry_interval() {
    let mut proposals = proposals();
    let token = proposals.file_proposal_token("settings 1", Duration::ZERO);
    assert!(token.is_some() && proposals.has_file_proposals());
    assert_eq!(proposals.file_proposal_token("settings 1", Duration::ZERO), token, "the same change");
    assert_eq!(proposals.file_proposal_token("settings 1", Duration::from_secs(60)), None, "too soon");
    assert_ne!(proposals.file_proposal_token("settings 2", Duration::ZERO), token, "another change");
    proposals.retain_file_proposals(&BTreeSet::new());
    assert!(!proposals.has_file_proposals());
}

/// Guards against a call that completes although its change was not applied, in particular by a token from before a
/// restart.
#[test]
fn only_an_awaited_change_is_recorded_as_applied_and_tokens_increase_from_the_clock() {
    let mut proposals = proposals();
    let token = proposals.next_token();
    assert!(token > 1_000 && proposals.next_token() > token);
    proposals.record_applied(token);
    assert!(!proposals.is_applied(token), "nobody waits for it");
    proposals.awaited.insert(token, false);
    assert!(!proposals.is_applied(token));
    proposals.record_applied(token);
    assert!(proposals.is_applied(token));
}
