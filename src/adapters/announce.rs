//! The intake of minions' announcements.
//!
//! There is no list of backend servers: each minion posts a JSON [`Announcement`] to [`PATH`] at
//! least every second, through the balancer, so that it reaches some node of its data centre. A
//! minion that leaves says so with `"leaving": true`, finishes what it has, and goes.
//!
//! What is checked here is only the form. Which of two announcements is newer, and when one
//! expires, the core decides.
//!
//! ```
//! use egretpin::adapters::announce::parse;
//!
//! let heard = parse(br#"{
//!     "minion": "soil-1", "boot": 3, "sequence": 9, "service": "soil",
//!     "address": "127.0.0.1:9001", "host": "w-1", "rack": "r-1", "data_centre": "lagos-1",
//!     "slots": 8, "connections": 64, "leaving": false
//! }"#)?;
//! assert_eq!(heard.slots, 8);
//! # Ok::<(), egretpin::adapters::announce::Error>(())
//! ```

use snafu::{ResultExt, Snafu, ensure};

use crate::core::dispatch::Announcement;

/// Where announcements are posted.
pub const PATH: &str = "/announce";
/// Bytes of one announcement.
pub const LARGEST: usize = 4096;
/// Slots, and connections, of one minion.
const MOST: u32 = 4096;
/// Bytes of a name.
const LONGEST_NAME: usize = 128;

/// Why an announcement was not taken. The minion reads this text.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// It isn't JSON of the documented shape.
    #[snafu(display("the announcement is not of the documented shape: {source}"))]
    Shape {
        /// What was wrong and where.
        source: serde_json::Error,
    },
    /// A name is empty or too long.
    #[snafu(display("{field} must have 1 to {LONGEST_NAME} bytes"))]
    Name {
        /// The field.
        field: &'static str,
    },
    /// A count is zero or too large.
    #[snafu(display("{field} must be 1 to {MOST}, not {value}"))]
    Count {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u32,
    },
    /// The address can't be connected to.
    #[snafu(display("address must name an IP address and a port other than 0"))]
    Address,
}

/// Reads an announcement.
///
/// # Errors
///
/// Says which field is wrong and what would be right.
pub fn parse(body: &[u8]) -> Result<Announcement, Error> {
    let heard: Announcement = serde_json::from_slice(body).context(ShapeSnafu)?;
    let names = [
        ("minion", &heard.minion),
        ("service", &heard.service),
        ("host", &heard.host),
        ("rack", &heard.rack),
        ("data_centre", &heard.data_centre),
    ];
    for (field, name) in names {
        ensure!(
            (1..=LONGEST_NAME).contains(&name.len()),
            NameSnafu { field }
        );
    }
    for (field, value) in [("slots", heard.slots), ("connections", heard.connections)] {
        ensure!((1..=MOST).contains(&value), CountSnafu { field, value });
    }
    let reachable = !heard.address.ip().is_unspecified() && heard.address.port() != 0;
    ensure!(reachable, AddressSnafu);
    Ok(heard)
}
