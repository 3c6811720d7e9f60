//! Plain-text tables with aligned columns.

use std::fmt;

/// A table whose first row holds the headings; all rows have the same number of cells.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with headings and no rows.
    pub fn new<const N: usize>(headings: [&str; N]) -> Self {
        Self { rows: vec![headings.map(str::to_owned).into()] }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [&str; N]) {
        self.rows.push(cells.map(str::to_owned).into());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |i: usize| self.rows.iter().map(|row| row[i].chars().count()).max();
        let widths: Vec<usize> = (0..columns).filter_map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}
