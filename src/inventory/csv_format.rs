//! Inventories in CSV: a header row with the field names, then one row for each endpoint. Lines that start with `#` are
//! comments.

use super::{Entry, Field, Fields, InventoryError, InventoryProblem};
use csv::{ErrorKind, ReaderBuilder, StringRecord, Trim};
use std::collections::BTreeSet;

const REQUIRED_COLUMNS: [&str; 3] = ["name", "address", "group"];

/// Parses all rows.
///
/// # Errors
/// [`InventoryError`] with the line of the first invalid row.
pub fn parse(text: &str) -> Result<Vec<Entry>, InventoryError> {
    let mut reader = ReaderBuilder::new().trim(Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let mut lines = LineCounter { text, counted_bytes: 0, line: 1 };
    let header = reader.headers().map_err(|error| csv_error(&error, &mut lines))?.clone();
    check_header(&header)?;
    let mut entries = Vec::new();
    let mut names = BTreeSet::new();
    for row in reader.records() {
        let row = row.map_err(|error| csv_error(&error, &mut lines))?;
        let line = row.position().map_or(1, |position| lines.line_of(position.byte()));
        let entry = parse_row(&header, &row, line)?;
        if !names.insert(entry.name.clone()) {
            return Err(InventoryError::new(line, InventoryProblem::DuplicateEndpoint(entry.name)));
        }
        entries.push(entry);
    }
    Ok(entries)
}

fn check_header(header: &StringRecord) -> Result<(), InventoryError> {
    let mut seen = BTreeSet::new();
    for column in header {
        if !seen.insert(column) {
            let problem = InventoryProblem::DuplicateColumn(column.to_string());
            return Err(InventoryError::new(1, problem));
        }
    }
    for required in REQUIRED_COLUMNS {
        if !seen.contains(required) {
            return Err(InventoryError::new(1, InventoryProblem::MissingColumn(required)));
        }
    }
    Ok(())
}

fn parse_row(header: &StringRecord, row: &StringRecord, line: usize) -> Result<Entry, InventoryError> {
    let mut fields = Fields::new();
    for (column, value) in header.iter().zip(row) {
        if !value.is_empty() {
            fields.insert(column.to_string(), Field { text: value.to_string(), line });
        }
    }
    let Some(name) = fields.remove("name") else {
        return Err(InventoryError::new(line, InventoryProblem::MissingName));
    };
    Ok(Entry { name: name.text, line, fields })
}

fn csv_error(error: &csv::Error, lines: &mut LineCounter<'_>) -> InventoryError {
    let line = error.position().map_or(1, |position| lines.line_of(position.byte()));
    let problem = match *error.kind() {
        ErrorKind::UnequalLengths { expected_len, len, .. } => {
            InventoryProblem::RowLength { values: len, columns: expected_len }
        }
        ErrorKind::Utf8 { .. } => InventoryProblem::NotUtf8,
        _ => InventoryProblem::NotCsv,
    };
    InventoryError::new(line, problem)
}

/// Converts byte offsets to line numbers. The CSV reader reports the offset at which it began to look for a record.
/// Counting continues from the last record, since counting from the start each time would take quadratic time.
struct LineCounter<'a> {
    text: &'a str,
    counted_bytes: usize,
    /// The line that contains the byte at `counted_bytes`.
    line: usize,
}

impl LineCounter<'_> {
    fn line_of(&mut self, byte: u64) -> usize {
        let start = self.skip_blank_lines((byte as usize).min(self.text.len()));
        if start < self.counted_bytes {
            self.counted_bytes = 0;
            self.line = 1;
        }
        let passed = &self.text.as_bytes()[self.counted_bytes..start];
        self.line += passed.iter().filter(|byte| **byte == b'\n').count();
        self.counted_bytes = start;
        self.line
    }

    /// The offset of the record itself, after blank lines and comments.
    fn skip_blank_lines(&self, mut start: usize) -> usize {
        while let Some(rest) = self.text.get(start..).filter(|rest| !rest.is_empty()) {
            let line = rest.split('\n').next().unwrap_or("");
            if !line.trim().is_empty() && !line.starts_with('#') {
                break;
            }
            start = (start + line.len() + 1).min(self.text.len());
        }
        start
    }
}
