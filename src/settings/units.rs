//! Values with a unit: durations, bytes, cores.

use std::time::Duration;

use crate::core::types::Resources;

use super::{cursor::Cursor, node::Value, scalar};

/// What a number of cores looks like.
const CORES: &str = "give cores like 32 or 1.5, or thousandths of one like 500m";

/// A unit's symbol and how many of the smallest it is.
type Unit = (&'static str, u64);

/// Milliseconds of each unit of time.
const TIMES: [Unit; 6] = [
    ("ms", 1),
    ("s", 1000),
    ("m", 60 * 1000),
    ("h", 60 * 60 * 1000),
    ("d", 24 * 60 * 60 * 1000),
    ("w", 7 * 24 * 60 * 60 * 1000),
];
/// Bytes of each unit of size.
const SIZES: [Unit; 5] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
];
/// Thousandths of a core in a core.
const MILLICORES: u64 = 1000;

/// A length of time such as `30s`.
pub(super) fn duration(cursor: &Cursor<'_>) -> Option<Duration> {
    amount(cursor, &TIMES, "30s").map(Duration::from_millis)
}

/// A length of time above zero.
pub(super) fn span(cursor: &Cursor<'_>) -> Option<Duration> {
    let found = duration(cursor)?;
    if found.is_zero() {
        cursor.add(
            "it must take some time",
            "give more than zero, for example 30s",
        );
        return None;
    }
    Some(found)
}

/// A number of bytes such as `128GiB`.
pub(super) fn bytes(cursor: &Cursor<'_>) -> Option<u64> {
    amount(cursor, &SIZES, "128GiB")
}

/// Thousandths of a core, from `32`, `1.5` or `500m`.
pub(super) fn millicores(cursor: &Cursor<'_>) -> Option<u64> {
    let found = match &cursor.node.value {
        Value::Integer(cores) => whole(*cores as f64 * MILLICORES as f64),
        Value::Decimal(cores) => whole(cores * MILLICORES as f64),
        Value::Text(text) => text.strip_suffix('m').and_then(|n| n.parse().ok()),
        _ => {
            cursor.mistyped("a number of cores");
            return None;
        }
    };
    if found.is_none() {
        cursor.add(
            format!("{} is no number of cores", cursor.node.value.shown()),
            CORES,
        );
    }
    found
}

/// A length of time as an option of a command.
///
/// # Errors
///
/// What is wrong and what would be right.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    parse(text, &TIMES, "30s").map(Duration::from_millis)
}

/// A number of bytes as an option of a command.
///
/// # Errors
///
/// What is wrong and what would be right.
pub(crate) fn parse_bytes(text: &str) -> Result<u64, String> {
    parse(text, &SIZES, "128GiB")
}

/// Thousandths of a core as an option of a command.
///
/// # Errors
///
/// What is wrong and what would be right.
pub(crate) fn parse_millicores(text: &str) -> Result<u64, String> {
    let found = match text.strip_suffix('m') {
        Some(thousandths) => thousandths.parse().ok(),
        None => text
            .parse()
            .ok()
            .and_then(|n: f64| whole(n * MILLICORES as f64)),
    };
    found.ok_or_else(|| format!("{text:?} is no number of cores; {CORES}"))
}

/// What a host offers or a job needs.
pub(super) fn resources(cursor: &Cursor<'_>) -> Option<Resources> {
    let mut fields = cursor.fields()?;
    let millicores = fields.need("cores", "32", millicores);
    let memory = fields.need("memory", "128GiB", bytes);
    let accelerators = fields.or("accelerators", 0, scalar::count);
    fields.finish();
    Some(Resources {
        millicores: millicores?,
        memory: memory?,
        accelerators: accelerators?,
    })
}

fn amount(cursor: &Cursor<'_>, units: &[Unit], example: &str) -> Option<u64> {
    let found = match &cursor.node.value {
        Value::Text(text) => convert(text, units),
        Value::Integer(number) => Err(format!("{number} has no unit")),
        value => Err(format!("{} has no place here", value.shown())),
    };
    found
        .map_err(|wrong| cursor.add(wrong, right(units, example)))
        .ok()
}

fn parse(text: &str, units: &[Unit], example: &str) -> Result<u64, String> {
    convert(text, units).map_err(|wrong| format!("{wrong}; {}", right(units, example)))
}

/// The amount in the smallest unit, or what is wrong.
fn convert(text: &str, units: &[Unit]) -> Result<u64, String> {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let symbol = text[digits.len()..].trim_start();
    let Some((_, factor)) = units.iter().find(|(s, _)| *s == symbol) else {
        return Err(format!("{text:?} has a wrong unit"));
    };
    let found = digits
        .parse::<u64>()
        .ok()
        .and_then(|n| n.checked_mul(*factor));
    found.ok_or_else(|| format!("{text:?} is no amount"))
}

fn right(units: &[Unit], example: &str) -> String {
    let symbols: Vec<_> = units.iter().map(|(symbol, _)| *symbol).collect();
    format!(
        "give a whole number and one of {}, like {example}",
        symbols.join(", ")
    )
}

/// A decimal as a whole number, if it is one but for rounding.
fn whole(number: f64) -> Option<u64> {
    let rounded = number.round();
    let fits = (0.0..1e15).contains(&rounded) && (number - rounded).abs() < 1e-6;
    fits.then_some(rounded as u64)
}
