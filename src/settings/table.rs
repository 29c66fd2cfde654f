//! A map whose keys are names that operators choose.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::types::Name;

use super::{cursor::Cursor, node::Value, scalar};

/// The entries of such a map.
#[derive(Debug)]
pub(super) struct Table<'a, T> {
    /// Every name that stands there, also of entries that are wrong, so that a reference to one
    /// isn't reported as well.
    pub(super) names: BTreeSet<&'a str>,
    /// The entries that are right.
    pub(super) rows: Vec<Row<'a, T>>,
    whole: bool,
}

/// One entry.
#[derive(Debug)]
pub(super) struct Row<'a, T> {
    pub(super) at: Cursor<'a>,
    pub(super) name: Name,
    pub(super) value: T,
}

impl<'a, T> Table<'a, T> {
    /// Reads a map that may be empty.
    pub(super) fn read(
        cursor: &Cursor<'a>,
        read: impl Fn(&Cursor<'a>) -> Option<T>,
    ) -> Option<Self> {
        let mut table = Self::empty();
        for (key, at) in cursor.entries()? {
            if !table.names.insert(key) {
                at.duplicate();
                table.whole = false;
                continue;
            }
            match row(key, at, &read) {
                Some(row) => table.rows.push(row),
                None => table.whole = false,
            }
        }
        Some(table)
    }

    /// Reads a map that must hold something.
    pub(super) fn filled(
        cursor: &Cursor<'a>,
        read: impl Fn(&Cursor<'a>) -> Option<T>,
    ) -> Option<Self> {
        if matches!(&cursor.node.value, Value::Map(map) if map.is_empty()) {
            cursor.add("it is empty", "declare at least one");
            return None;
        }
        Self::read(cursor, read)
    }

    /// An empty one, for a field left out.
    pub(super) const fn empty() -> Self {
        Self {
            names: BTreeSet::new(),
            rows: Vec::new(),
            whole: true,
        }
    }

    /// Whether all entries are right.
    pub(super) const fn is_whole(&self) -> bool {
        self.whole
    }

    /// The entries by name, if all are right.
    pub(super) fn collect<U>(self, value: impl Fn(T) -> U) -> Option<BTreeMap<Name, U>> {
        let rows = self
            .rows
            .into_iter()
            .map(|row| (row.name, value(row.value)));
        self.whole.then(|| rows.collect())
    }
}

/// Both halves are read, so that both are reported.
fn row<'a, T>(
    key: &str,
    at: Cursor<'a>,
    read: impl Fn(&Cursor<'a>) -> Option<T>,
) -> Option<Row<'a, T>> {
    let name = scalar::check_name(&at, key);
    let value = read(&at);
    Some(Row {
        at,
        name: name?,
        value: value?,
    })
}
