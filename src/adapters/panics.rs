//! Panics: records the message and the place of the last one, for the log.
//!
//! A task that panics ends without a word to those that wait for it, and the runtime writes its message to
//! standard error as plain text. What is recorded here lets the log say why the process stops.

use std::{panic, sync::Mutex, sync::PoisonError};

static LAST: Mutex<Option<String>> = Mutex::new(None);

/// Records each panic from now on, and logs it. The message is still written to standard error.
pub fn record() {
    let earlier = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let message = info.payload_as_str().unwrap_or("no message");
        let place = info
            .location()
            .map_or_else(String::new, ToString::to_string);
        log::error!(message, place; "a task panicked");
        *LAST.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(format!("panic at {place}: {message}"));
        earlier(info);
    }));
}

/// The message and the place of the last panic, if any was recorded.
pub fn last() -> Option<String> {
    LAST.lock().unwrap_or_else(PoisonError::into_inner).clone()
}
