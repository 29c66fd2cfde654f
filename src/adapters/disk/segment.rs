//! The file that batches are appended to.

use std::{
    fs::{self, File, OpenOptions},
    path::{Path, PathBuf},
};

use crate::core::consensus::interface::Record;

use super::{
    DiskError, Fault, Files, Step,
    frame::{self, Kind, Place},
    header,
    mirror::Mirror,
};

/// An open segment. Its file may hold a mark behind `end`, which the next frame overwrites.
#[derive(Debug)]
pub(super) struct Segment {
    path: PathBuf,
    file: File,
    number: u64,
    end: u64,
}

/// What reading a segment found.
struct Scan {
    /// The end of the last whole batch.
    end: u64,
    /// Where the last batch begins, if no mark vouches for it.
    unmarked: Option<u64>,
    /// Bytes behind the last whole frame.
    torn: u64,
}

impl Segment {
    /// Opens an empty segment that stands in its place.
    pub(super) fn open(path: &Path, number: u64) -> Result<Self, DiskError> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .map_err(|e| DiskError::from_step(path, Step::Read, e))?;
        Ok(Self {
            path: PathBuf::from(path),
            file,
            number,
            end: header::LENGTH as u64,
        })
    }

    /// Opens a segment, applies its batches to `mirror` and cuts a torn end. Also returns how many
    /// bytes were cut.
    pub(super) fn recover(
        path: &Path,
        number: u64,
        files: &mut Files,
        mirror: &mut Mirror,
    ) -> Result<(Self, u64), DiskError> {
        let mut segment = Self::open(path, number)?;
        let bytes = fs::read(path).map_err(|e| DiskError::from_step(path, Step::Read, e))?;
        let scan = segment.scan(&bytes, mirror)?;
        segment.end = scan.end;
        if scan.torn > 0 {
            segment.truncate(files)?;
        }
        // A sync may have failed before the last process ended, and the kernel then holds pages
        // that look clean but aren't on disk. Writing the same bytes makes them dirty again.
        if let Some(start) = scan.unmarked {
            let batch = &bytes[start as usize..scan.end as usize];
            segment.put(files, start, batch)?;
        }
        if scan.torn > 0 || scan.unmarked.is_some() {
            segment.sync(files)?;
            segment.mark(files)?;
        }
        Ok((segment, scan.torn))
    }

    pub(super) const fn number(&self) -> u64 {
        self.number
    }

    pub(super) const fn length(&self) -> u64 {
        self.end
    }

    /// Appends one batch and syncs it.
    pub(super) fn append(
        &mut self,
        files: &mut Files,
        records: &[Record],
    ) -> Result<(), DiskError> {
        let body = frame::to_body(records)
            .map_err(|e| DiskError::from_step(&self.path, Step::Write, e))?;
        let bytes = frame::encode(Kind::Batch, self.place(self.end), &body);
        if let Err(error) = self.put(files, self.end, &bytes) {
            if !error.is_fatal() {
                self.truncate(files)?;
                self.mark(files)?;
            }
            return Err(error);
        }
        self.sync(files)?;
        self.end += bytes.len() as u64;
        self.mark(files)
    }

    /// Says behind the last batch that it is synced. The mark promises nothing, so it isn't
    /// synced, and where there is no room for it the log goes on without.
    fn mark(&self, files: &mut Files) -> Result<(), DiskError> {
        let bytes = frame::encode(Kind::Mark, self.place(self.end), &[]);
        match self.put(files, self.end, &bytes) {
            Err(DiskError::Full { .. }) => self.truncate(files),
            result => result,
        }
    }

    fn put(&self, files: &mut Files, offset: u64, bytes: &[u8]) -> Result<(), DiskError> {
        (files.write)(&self.file, offset, bytes)
            .map_err(|e| DiskError::from_step(&self.path, Step::Write, e))
    }

    fn sync(&self, files: &mut Files) -> Result<(), DiskError> {
        (files.sync)(&self.file).map_err(|e| DiskError::from_step(&self.path, Step::Sync, e))
    }

    fn truncate(&self, files: &mut Files) -> Result<(), DiskError> {
        (files.truncate)(&self.file, self.end)
            .map_err(|e| DiskError::from_step(&self.path, Step::Truncate, e))
    }

    const fn place(&self, offset: u64) -> Place {
        Place {
            number: self.number,
            offset,
        }
    }

    fn scan(&self, bytes: &[u8], mirror: &mut Mirror) -> Result<Scan, DiskError> {
        let body = header::check(&self.path, bytes, header::Kind::Segment, self.number)?;
        let mut scan = Scan {
            end: header::LENGTH as u64,
            unmarked: None,
            torn: body.len() as u64,
        };
        while scan.torn > 0 {
            let rest = &bytes[scan.end as usize..];
            let Some(frame) = frame::decode(self.place(scan.end), rest) else {
                self.check_torn(scan.end, rest)?;
                break;
            };
            let length = frame.length() as u64;
            if frame.kind == Kind::Mark {
                scan.unmarked = None;
                scan.torn -= length;
                break;
            }
            self.replay(scan.end, frame.body, mirror)?;
            scan.unmarked = Some(scan.end);
            scan.end += length;
            scan.torn -= length;
        }
        Ok(scan)
    }

    /// A damaged frame is torn only if no whole frame follows it.
    fn check_torn(&self, offset: u64, rest: &[u8]) -> Result<(), DiskError> {
        if rest.len() > 1 && frame::any(self.place(offset + 1), &rest[1..]) {
            return Err(self.corrupt(offset, Fault::Checksum));
        }
        Ok(())
    }

    fn replay(&self, offset: u64, body: &[u8], mirror: &mut Mirror) -> Result<(), DiskError> {
        let records: Vec<Record> =
            frame::from_body(body).ok_or_else(|| self.corrupt(offset, Fault::Codec))?;
        mirror
            .check(&records)
            .map_err(|_| self.corrupt(offset, Fault::Order))?;
        mirror.apply(&records);
        Ok(())
    }

    fn corrupt(&self, offset: u64, fault: Fault) -> DiskError {
        DiskError::Corrupt {
            file: self.path.clone(),
            offset,
            fault,
        }
    }
}
