//! The thread that writes consensus' records.
//!
//! Syncing blocks, so it has a thread of its own. Whatever has queued up while one write was
//! being synced goes into the next one: the slower the disk, the larger the groups.

use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use crate::{
    adapters::disk::{Disk, DiskError},
    core::consensus::Record,
};

/// The pause before a write is tried again that found the disk full.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// A record under its write number.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) write: u64,
    pub(crate) record: Record,
}

/// What the disk says.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// Everything up to this write number is synced.
    Synced(u64),
    /// The disk is full; writes wait until there is room.
    Full,
    /// The disk can't be trusted any more; the process must stop.
    Failed(DiskError),
}

/// Starts the thread. It ends when the returned channel is closed.
pub(crate) fn spawn(
    disk: Disk,
    event: impl Fn(DiskEvent) + Send + 'static,
) -> std::io::Result<Sender<Vec<Write>>> {
    let (sender, receiver) = channel();
    thread::Builder::new()
        .name("disk".into())
        .spawn(move || run(disk, &receiver, &event))?;
    Ok(sender)
}

fn run(mut disk: Disk, receiver: &Receiver<Vec<Write>>, event: &impl Fn(DiskEvent)) {
    while let Ok(mut writes) = receiver.recv() {
        while let Ok(more) = receiver.try_recv() {
            writes.extend(more);
        }
        let Some(last) = writes.last().map(|write| write.write) else {
            continue;
        };
        let records: Vec<_> = writes.into_iter().map(|write| write.record).collect();
        if let Err(error) = persist(&mut disk, &records, event) {
            event(DiskEvent::Failed(error));
            return;
        }
        event(DiskEvent::Synced(last));
    }
}

/// Writes until it works or can't any more.
fn persist(
    disk: &mut Disk,
    records: &[Record],
    event: &impl Fn(DiskEvent),
) -> Result<(), DiskError> {
    loop {
        match disk.write(records) {
            Err(DiskError::Full { .. }) => {
                event(DiskEvent::Full);
                thread::sleep(FULL_PAUSE);
            }
            result => return result,
        }
    }
}
