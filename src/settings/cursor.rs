//! Walking a tree: a place in it, its path, and the report that problems go to.

use std::collections::BTreeSet;

use super::{
    node::{Node, Value},
    problem::{Problem, Report},
    suggest::suggest,
};

/// A place in a tree.
#[derive(Clone, Debug)]
pub(super) struct Cursor<'a> {
    pub(super) node: &'a Node,
    path: String,
    report: &'a Report,
}

/// A value and where it stands, for checks that need several fields.
#[derive(Debug)]
pub(super) struct Placed<'a, T> {
    pub(super) at: Cursor<'a>,
    pub(super) value: T,
}

/// Keeps the place of what `read` reads.
pub(super) fn placed<'a, T>(
    read: impl Fn(&Cursor<'a>) -> Option<T>,
) -> impl Fn(&Cursor<'a>) -> Option<Placed<'a, T>> {
    move |cursor| {
        let at = cursor.clone();
        read(cursor).map(|value| Placed { at, value })
    }
}

/// The fields of a map whose names are fixed. Whatever wasn't asked for by [`Fields::finish`] is
/// unknown.
#[derive(Debug)]
pub(super) struct Fields<'a> {
    cursor: Cursor<'a>,
    map: &'a [(String, Node)],
    known: Vec<&'static str>,
}

impl<'a> Cursor<'a> {
    /// The whole document.
    pub(super) fn root(node: &'a Node, report: &'a Report) -> Self {
        let path = String::new();
        Self { node, path, report }
    }

    pub(super) fn add(&self, wrong: impl Into<String>, right: impl Into<String>) {
        self.report.add(Problem {
            line: self.node.line,
            path: self.path.clone(),
            wrong: wrong.into(),
            right: right.into(),
        });
    }

    /// Reports that the value is of another kind than `wanted`.
    pub(super) fn mistyped(&self, wanted: &str) {
        let found = self.node.value.shown();
        self.add(
            format!("{found} can't stand here"),
            format!("give {wanted}"),
        );
    }

    /// The fields, if it is a map.
    pub(super) fn fields(&self) -> Option<Fields<'a>> {
        let map = self.map()?;
        Some(Fields {
            cursor: self.clone(),
            map,
            known: Vec::new(),
        })
    }

    /// The entries of a map whose names are free, duplicates included.
    pub(super) fn entries(&self) -> Option<Vec<(&'a str, Self)>> {
        let map = self.map()?;
        Some(
            map.iter()
                .map(|(name, node)| (name.as_str(), self.at(name, node)))
                .collect(),
        )
    }

    /// The items, if it is a list.
    pub(super) fn items(&self) -> Option<Vec<Self>> {
        let Value::List(list) = &self.node.value else {
            self.mistyped("a list");
            return None;
        };
        let items = list.iter().enumerate().map(|(at, node)| Self {
            node,
            path: format!("{}[{at}]", self.path),
            report: self.report,
        });
        Some(items.collect())
    }

    /// Reports a name that nothing declares.
    pub(super) fn dangling<'n>(
        &self,
        what: &str,
        name: &str,
        known: impl IntoIterator<Item = &'n str>,
    ) {
        let right = match suggest(name, known) {
            Some(near) => format!("did you mean {near:?}?"),
            None => format!("declare it, or name a {what} that is declared"),
        };
        self.add(format!("there is no {what} {name:?}"), right);
    }

    pub(super) fn duplicate(&self) {
        self.add("it is there twice", "keep one of them");
    }

    fn map(&self) -> Option<&'a [(String, Node)]> {
        match &self.node.value {
            Value::Map(map) => Some(map),
            _ => {
                self.mistyped("a map");
                None
            }
        }
    }

    fn at(&self, name: &str, node: &'a Node) -> Self {
        let dot = if self.path.is_empty() { "" } else { "." };
        Self {
            node,
            path: format!("{}{dot}{name}", self.path),
            report: self.report,
        }
    }
}

impl<'a> Fields<'a> {
    /// The place of a field, if it is given. An empty field counts as left out.
    pub(super) fn get(&mut self, name: &'static str) -> Option<Cursor<'a>> {
        self.known.push(name);
        let (_, node) = self.map.iter().find(|(n, _)| n == name)?;
        let given = !matches!(node.value, Value::Null);
        given.then(|| self.cursor.at(name, node))
    }

    /// A field that must be given.
    pub(super) fn need<T>(
        &mut self,
        name: &'static str,
        example: &str,
        read: impl FnOnce(&Cursor<'a>) -> Option<T>,
    ) -> Option<T> {
        if let Some(cursor) = self.get(name) {
            return read(&cursor);
        }
        let right = format!("give it, for example {name}: {example}");
        self.cursor
            .add(format!("the field {name:?} is missing"), right);
        None
    }

    /// A field that may be left out; `None` inside if it is.
    #[expect(
        clippy::option_option,
        reason = "a field left out isn't a field that is wrong"
    )]
    pub(super) fn may<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&Cursor<'a>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.get(name) {
            Some(cursor) => read(&cursor).map(Some),
            None => Some(None),
        }
    }

    /// A field with a default.
    pub(super) fn or<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&Cursor<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.get(name) {
            Some(cursor) => read(&cursor),
            None => Some(default),
        }
    }

    /// Reports duplicate fields and those that were never asked for.
    pub(super) fn finish(self) {
        let mut seen = BTreeSet::new();
        for (name, node) in self.map {
            let cursor = self.cursor.at(name, node);
            if !seen.insert(name) {
                cursor.duplicate();
            } else if !self.known.contains(&name.as_str()) {
                self.unknown(&cursor, name);
            }
        }
    }

    fn unknown(&self, cursor: &Cursor<'_>, name: &str) {
        let right = match suggest(name, self.known.iter().copied()) {
            Some(near) => format!("did you mean {near:?}?"),
            None => format!("the fields here are {}", self.known.join(", ")),
        };
        cursor.add("no such field", right);
    }
}
