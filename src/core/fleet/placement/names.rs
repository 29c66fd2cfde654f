//! Numbers for names, so that tables and indexes hold four bytes in place of a shared string.

use crate::core::types::{Map, Name};

/// Numbers names in the order in which they first appear. Names are declared things, so the
/// declaration bounds how many there are.
#[derive(Clone, Debug, Default)]
pub(super) struct Names {
    numbers: Map<Name, u32>,
}

impl Names {
    pub(super) fn number(&mut self, name: &Name) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = u32::try_from(self.numbers.len()).expect("fewer than 2^32 names");
        self.numbers.insert(name.clone(), number);
        number
    }
}
