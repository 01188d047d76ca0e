//! Finds the lines of problems in a JSON text, since the parser does not report them.

/// The line of the first unbalanced bracket or unterminated string, which is how most syntax errors show; the last line
/// if there is neither.
pub fn line_of_syntax_error(text: &str) -> usize {
    let mut line = 1;
    let mut in_string = false;
    let mut is_escaped = false;
    let mut open_brackets = Vec::new();
    for character in text.chars() {
        if character == '\n' {
            line += 1;
        }
        if is_escaped {
            is_escaped = false;
            continue;
        }
        if in_string {
            match character {
                '\\' => is_escaped = true,
                '"' => in_string = false,
                // A JSON string cannot contain a line break.
                '\n' => return line - 1,
                _ => {}
            }
            continue;
        }
        match character {
            '"' => in_string = true,
            '{' | '[' => open_brackets.push(character),
            '}' if open_brackets.pop() != Some('{') => return line,
            ']' if open_brackets.pop() != Some('[') => return line,
            _ => {}
        }
    }
    line
}

/// The line of a value: the first line with both its key and its text, else the first with its key, else the last line.
pub fn line_of_value(text: &str, key: &str, value: &str) -> usize {
    let quoted_key = format!("\"{key}\"");
    let first_line_with = |value: &str| {
        text.lines()
            .position(|line| line.contains(&quoted_key) && line.contains(value))
            .map(|index| index + 1)
    };
    first_line_with(value).or_else(|| first_line_with("")).unwrap_or_else(|| text.lines().count().max(1))
}
