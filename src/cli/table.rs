//! Tables for people: columns as wide as they need, two spaces apart.

/// A table.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// One with its heads.
    pub(super) fn new(heads: &[&str]) -> Self {
        let heads = heads.iter().map(|h| h.to_uppercase());
        Self {
            rows: vec![heads.collect()],
        }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The text; `empty` if there is no row.
    pub(super) fn render(&self, empty: &str) -> String {
        if self.rows.len() == 1 {
            return format!("{empty}\n");
        }
        let columns = self.rows[0].len();
        let width = |at: usize| self.rows.iter().map(|r| r[at].chars().count()).max();
        let widths: Vec<_> = (0..columns).map(|at| width(at).unwrap_or(0)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"));
            text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
