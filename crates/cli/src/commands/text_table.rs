//! Plain-text tables for terminals.

/// A table whose columns are as wide as their widest cell.
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates an empty table with these headings.
    pub fn new(headings: &[&str]) -> Self {
        Self {
            rows: vec![headings.iter().map(ToString::to_string).collect()],
        }
    }

    /// Appends a row, with one cell for each heading.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Formats the table as lines of text.
    pub fn render(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join("  ").trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        self.rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    }
}

/// Formats a flag as `yes` or `no`.
pub fn yes_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}
