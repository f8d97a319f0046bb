//! Text tables for a terminal.

/// The space between two columns.
const COLUMN_GAP: &str = "  ";

/// A table whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with a head and no rows.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        let header = header.into_iter().map(str::to_owned).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub fn add<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    /// The table as lines, each with its end.
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
