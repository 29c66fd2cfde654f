//! Times for people.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::api::Millis;

const DAY: u64 = 24 * 60 * 60;

/// The wall clock.
pub(super) fn now() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    crate::api::millis(since)
}

/// Date and time in UTC, to the second.
pub(super) fn utc(at: Millis) -> String {
    let seconds = at / 1000;
    let (year, month, day) = date(seconds / DAY);
    let time = seconds % DAY;
    let (hour, minute, second) = (time / 3600, time / 60 % 60, time % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// The same, or a dash.
pub(super) fn maybe_utc(at: Option<Millis>) -> String {
    at.map_or_else(|| String::from("-"), utc)
}

/// The Gregorian date of a day since the Unix epoch. Years are counted from March, so that the
/// leap day is the last of a year, in eras of 400 years, which all have the same length.
fn date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let (era, of_era) = (shifted / 146_097, shifted % 146_097);
    let year = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (era * 400 + year + u64::from(month <= 2), month, day)
}
