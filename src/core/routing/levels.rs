//! A priority index over small levels with constant cost.
//!
//! Items stand in buckets, one a level, and a bit mask says which buckets hold any. Finding the
//! best level is one count of trailing zeros, and moving an item is a swap. A sorted tree was
//! rejected: its cost grows with the logarithm of the number of minions, and equal keys would
//! need a tie-break that favours some.

/// How many levels there are.
pub const LEVELS: usize = 64;

/// Items by level, each at most once.
#[derive(Clone, Debug)]
pub struct Levels {
    buckets: Vec<Vec<u32>>,
    occupied: u64,
    /// Where each item stands: level and position.
    places: Vec<Option<(u8, u32)>>,
}

impl Default for Levels {
    fn default() -> Self {
        Self {
            buckets: vec![Vec::new(); LEVELS],
            occupied: 0,
            places: Vec::new(),
        }
    }
}

impl Levels {
    /// Puts an item at a level, or takes it out with `None`.
    ///
    /// # Panics
    ///
    /// Panics if the level is not below [`LEVELS`].
    pub fn put(&mut self, item: u32, level: Option<u8>) {
        let ix = item as usize;
        if self.places.len() <= ix {
            self.places.resize(ix + 1, None);
        }
        if self.places[ix].map(|(at, _)| at) == level {
            return;
        }
        self.remove(ix);
        if let Some(level) = level {
            self.insert(item, level);
        }
    }

    /// The occupied levels from the best on, each with its items in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (u8, &[u32])> {
        let mut left = self.occupied;
        std::iter::from_fn(move || {
            let level = left.trailing_zeros();
            if level as usize >= LEVELS {
                return None;
            }
            left &= left - 1;
            Some((level as u8, self.buckets[level as usize].as_slice()))
        })
    }

    /// Whether no item stands at any level.
    pub fn is_empty(&self) -> bool {
        self.occupied == 0
    }

    fn insert(&mut self, item: u32, level: u8) {
        let bucket = &mut self.buckets[level as usize];
        self.places[item as usize] = Some((level, bucket.len() as u32));
        bucket.push(item);
        self.occupied |= 1 << level;
    }

    fn remove(&mut self, ix: usize) {
        let Some((level, position)) = self.places[ix].take() else {
            return;
        };
        let bucket = &mut self.buckets[level as usize];
        bucket.swap_remove(position as usize);
        if let Some(&moved) = bucket.get(position as usize) {
            self.places[moved as usize] = Some((level, position));
        }
        if bucket.is_empty() {
            self.occupied &= !(1 << level);
        }
    }
}
