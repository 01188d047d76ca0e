//! The plan that an operator reads before ordering a recovery.

use super::*;

/// Guards against a plan that does not list what the recovery would lose.
#[test]
fn the_plan_lists_what_every_other_member_may_have_that_would_be_lost() {
    let other = |name: &str, data| OtherMember { name: name.into(), data };
    let others = vec![
        other("b1", MemberData::Newer { changes: 3 }),
        other("b2", MemberData::NotNewer),
        other("b3", MemberData::Unknown),
    ];
    let plan = RecoveryPlan { applied_index: 42, others };
    assert_eq!(
        plan.to_string(),
        "this daemon goes on alone from what was agreed up to 42, as a new fleet; the others come over\n\
         b1 has more: 3 changes would be lost; recover there instead\n\
         b2 has no more than this daemon\n\
         b3 is not heard: whatever it alone has would be lost, but for its drains\n"
    );
}
