//! Text tables for a terminal.

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A text table whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header row only.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        let header = header.into_iter().map(str::to_owned).collect();
        Self { rows: vec![header] }
    }

    /// Appends a row.
    pub fn add<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    /// Returns the table as text; each row ends with a line break.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
