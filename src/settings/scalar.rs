//! Single values without a unit: names, counts, flags, addresses.

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf};

use crate::core::types::Name;

use super::{cursor::Cursor, node::Value};

/// Characters that a name may have at most.
const NAME_LENGTH: usize = 64;

/// Any text.
pub(super) fn text<'a>(cursor: &Cursor<'a>) -> Option<&'a str> {
    match &cursor.node.value {
        Value::Text(text) => Some(text),
        _ => {
            cursor.mistyped("text");
            None
        }
    }
}

/// A name. Names go into headers, metrics and paths, so their characters are few.
pub(super) fn name(cursor: &Cursor<'_>) -> Option<Name> {
    check_name(cursor, text(cursor)?)
}

/// Checks a name that is the key of an entry.
pub(super) fn check_name(cursor: &Cursor<'_>, text: &str) -> Option<Name> {
    if is_name(text) {
        return Some(Name::from(text));
    }
    cursor.add(format!("{text:?} is no name"), name_rule());
    None
}

/// Whether a text may be a name.
pub(crate) fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    (1..=NAME_LENGTH).contains(&text.len()) && text.chars().all(plain)
}

/// What a name looks like.
pub(crate) fn name_rule() -> String {
    format!("use 1 to {NAME_LENGTH} lower-case letters, digits, \"-\", \"_\" and \".\"")
}

/// A whole number from `least` on.
pub(super) fn count_from(least: u32) -> impl Fn(&Cursor<'_>) -> Option<u32> {
    count_in(least..=u32::MAX)
}

/// A whole number of a range.
pub(super) fn count_in(range: RangeInclusive<u32>) -> impl Fn(&Cursor<'_>) -> Option<u32> {
    move |cursor| {
        let Value::Integer(number) = cursor.node.value else {
            cursor.mistyped("a whole number without a unit");
            return None;
        };
        let found = u32::try_from(number).ok().filter(|n| range.contains(n));
        if found.is_none() {
            let right = format!(
                "give a whole number from {} to {}",
                range.start(),
                range.end()
            );
            cursor.add(format!("{number} is out of range"), right);
        }
        found
    }
}

/// A whole number.
pub(super) fn count(cursor: &Cursor<'_>) -> Option<u32> {
    count_from(0)(cursor)
}

/// True or false.
pub(super) fn flag(cursor: &Cursor<'_>) -> Option<bool> {
    match cursor.node.value {
        Value::Flag(flag) => Some(flag),
        _ => {
            cursor.mistyped("true or false");
            None
        }
    }
}

/// A path of the file system.
pub(super) fn path(cursor: &Cursor<'_>) -> Option<PathBuf> {
    let text = text(cursor)?;
    if text.is_empty() {
        cursor.add("the path is empty", "give one, or leave the field out");
        return None;
    }
    Some(PathBuf::from(text))
}

/// An IP number and a port.
pub(super) fn address(cursor: &Cursor<'_>) -> Option<SocketAddr> {
    let text = text(cursor)?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Some(address),
        _ => {
            cursor.add(
                format!("{text:?} is no address"),
                "give an IP number and a port from 1 on, for example 10.0.0.1:7000",
            );
            None
        }
    }
}
