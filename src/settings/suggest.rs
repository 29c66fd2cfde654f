//! The known name that a misspelt one was likely meant to be.

/// Characters from which on two edits, such as a swap of neighbours, still count as near.
const LONG: usize = 4;

/// The nearest of the known names, if it is near.
pub(crate) fn suggest<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let near = known.into_iter().map(|k| (distance(name, k), k)).min()?;
    let length = name.chars().count();
    let least = if length < LONG { 1 } else { 2 };
    (near.0 <= least.max(length / 3)).then_some(near.1)
}

/// Levenshtein distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(ca != *cb);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
