//! What is wrong in a file, and where.

use std::{
    cell::RefCell,
    fmt::{self, Display, Formatter},
    path::{Path, PathBuf},
};

use super::{SettingsError, cursor::Cursor, node::Node};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line, the first being 1.
    pub line: u64,
    /// The path of the field, such as `services.soil.pool`; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub wrong: String,
    /// What would be right.
    pub right: String,
}

/// Everything that is wrong in a file, in order of lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    /// The file.
    pub file: PathBuf,
    /// At least one problem.
    pub list: Vec<Problem>,
}

impl Display for Problems {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (at, problem) in self.list.iter().enumerate() {
            let separator = if at == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{}: ", self.file.display(), problem.line)?;
            if !problem.path.is_empty() {
                write!(f, "{}: ", problem.path)?;
            }
            write!(f, "{}; {}", problem.wrong, problem.right)?;
        }
        Ok(())
    }
}

/// Collects problems while a tree is walked. Shared by all cursors of one walk, hence the cell.
#[derive(Debug, Default)]
pub(super) struct Report {
    list: RefCell<Vec<Problem>>,
}

impl Report {
    pub(super) fn add(&self, problem: Problem) {
        self.list.borrow_mut().push(problem);
    }

    /// Reads a text by walking its tree.
    pub(super) fn walk<T>(
        file: &Path,
        text: &str,
        read: impl FnOnce(&Cursor<'_>) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let report = Self::default();
        match Node::parse(text) {
            Ok(node) => {
                let value = read(&Cursor::root(&node, &report));
                report.finish(file, value)
            }
            Err(problem) => {
                report.add(problem);
                report.finish(file, None)
            }
        }
    }

    /// The value, if there was no problem.
    fn finish<T>(self, file: &Path, value: Option<T>) -> Result<T, SettingsError> {
        let mut list = self.list.into_inner();
        debug_assert!(
            value.is_some() || !list.is_empty(),
            "nothing fails in silence"
        );
        match value {
            Some(value) if list.is_empty() => Ok(value),
            _ => {
                list.sort();
                let file = file.to_path_buf();
                let problems = Problems { file, list };
                Err(SettingsError::Invalid { problems })
            }
        }
    }
}
