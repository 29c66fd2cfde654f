//! Options of the whole tool may stand anywhere: `egretpin status --json`.

use super::error::CliError;

/// Options that take a value.
const VALUED: [&str; 3] = ["--address", "--settings", "--operation"];
/// Switches.
const SWITCHES: [&str; 1] = ["--json"];

/// Puts the tool's own options before the command. Words after `--` stay where they are, and
/// `--name=value` is split, which the parser doesn't do.
///
/// # Errors
///
/// If an option lacks its value; the parser would take the command for it.
pub(super) fn hoist(words: &[String]) -> Result<Vec<String>, CliError> {
    let end = words.iter().position(|w| w == "--").unwrap_or(words.len());
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut words_left = words[..end].iter().flat_map(|w| split(w));
    while let Some(word) = words_left.next() {
        if SWITCHES.contains(&word.as_str()) {
            front.push(word);
        } else if VALUED.contains(&word.as_str()) {
            let value = words_left.next().filter(|value| !value.starts_with("--"));
            let Some(value) = value else {
                return Err(CliError::usage(format!("the option {word} needs a value")));
            };
            front.extend([word, value]);
        } else {
            rest.push(word);
        }
    }
    front.extend(rest);
    front.extend_from_slice(&words[end..]);
    Ok(front)
}

fn split(word: &str) -> Vec<String> {
    match word.split_once('=') {
        Some((name, value)) if name.starts_with("--") => vec![name.into(), value.into()],
        _ => vec![word.into()],
    }
}
