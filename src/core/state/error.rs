//! Errors of reading images and commands.

use snafu::Snafu;

/// Bytes that can't be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DecodeError {
    /// The bytes aren't what this release writes.
    #[snafu(display("can't read the encoding: {source}; was it written by another release?"))]
    Encoding {
        /// What the codec says.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The image has a format that this release doesn't know.
    #[snafu(display(
        "the image has format {found} and this release reads {known}; use a release that reads it"
    ))]
    Format {
        /// The image's format.
        found: u32,
        /// The newest that is known.
        known: u32,
    },
}
