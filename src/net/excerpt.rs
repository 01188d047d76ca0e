//! Excerpts of texts from peers, for errors and log lines. A peer may send as much text as a message holds, and both its
//! encoding and the log line would take that much again.

/// Longest text that is quoted completely, in bytes.
const MAX_QUOTED_BYTES: usize = 64;

/// The text if it is short, otherwise its start followed by an ellipsis.
pub fn excerpt(text: &str) -> String {
    if text.len() <= MAX_QUOTED_BYTES {
        return text.to_string();
    }
    let boundary = (0..=MAX_QUOTED_BYTES).rev().find(|index| text.is_char_boundary(*index));
    let end = boundary.unwrap_or(0);
    format!("{}…", &text[..end])
}

#[cfg(test)]
mod tests;
