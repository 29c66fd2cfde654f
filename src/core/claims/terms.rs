//! Time limits and maximum number of claims.

use std::time::Duration;

/// The maximum length of a claimed key: a group and a key of 128 bytes each, as joined by
/// [`scoped_key`](super::scoped_key).
pub const MAX_KEY_BYTES: usize = 272;
/// The maximum send window, also for services with a longer timeout.
pub const MAX_WINDOW: Duration = Duration::from_secs(300);

const DEFAULT_RETENTION: Duration = Duration::from_secs(3600);
/// Keys per service.
const DEFAULT_MAX_KEYS: u32 = 50_000;

/// Limits for the claims of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A holder may send its request only within this time after it started to claim the key.
    pub window: Duration,
    /// How long a request that was sent within its window may run. Until then another send of the
    /// key is told to wait, not that the key is spent.
    pub max_run: Duration,
    /// How long a key is kept after its claim was granted.
    pub retention: Duration,
    /// Maximum number of keys kept at once for the service.
    pub max_keys: u32,
    /// Safety rules; tests switch one off.
    pub protections: Protections,
}

/// Safety rules of the table. All are on in production; tests switch one off to show which failure
/// it prevents. The numbers are those in the [module documentation](super).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Protections {
    /// Rule 2: a claim past its time limit is spent; if off, it is free.
    pub spend_stale: bool,
    /// Rule 3: only the holder settles a claim; if off, any send does.
    pub holder_only: bool,
}

impl Terms {
    /// The limits for a service whose requests end within `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            window: timeout.min(MAX_WINDOW),
            max_run: timeout,
            retention: DEFAULT_RETENTION,
            max_keys: DEFAULT_MAX_KEYS,
            protections: Protections::default(),
        }
        .retention(DEFAULT_RETENTION)
    }

    /// Sets how long a key is kept. The minimum is twice the time that the key can be busy, so that
    /// send windows end before the key is removed, even if two nodes have different versions of the
    /// terms.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        let busy = self.window.saturating_add(self.max_run);
        self.retention = retention.max(busy.saturating_mul(2));
        self
    }

    /// Sets the maximum number of keys.
    #[must_use]
    pub fn max_keys(mut self, max_keys: u32) -> Self {
        self.max_keys = max_keys;
        self
    }

    /// The time for which a key is protected: all sends of the key that arrive within this time of
    /// the first one run at most once in total, if the leaders' clocks agree.
    pub fn horizon(&self) -> Duration {
        self.retention.saturating_sub(self.window)
    }
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            spend_stale: true,
            holder_only: true,
        }
    }
}
