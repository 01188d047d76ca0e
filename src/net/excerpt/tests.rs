//! Short texts are quoted completely, long ones up to a character boundary.

use super::*;

#[test]
fn a_long_text_is_cut_at_a_character_boundary() {
    let longest = "i".repeat(MAX_QUOTED_BYTES);
    assert_eq!(excerpt(&longest), longest);
    assert_eq!(excerpt(&(longest.clone() + "i")), longest.clone() + "…");
    let across_the_boundary = format!("{}é and more", &longest[1..]);
    assert_eq!(excerpt(&across_the_boundary), format!("{}…", &longest[1..]));
}
