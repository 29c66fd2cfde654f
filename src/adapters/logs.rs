//! Logs as JSON lines.
//!
//! One event a line. `time` is seconds since the Unix epoch, `level`, `target` and `event` are
//! always there, and the event's ids and figures stand beside them as fields of their own.

use std::{
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde_json::{Map as JsonMap, Value as Json, json};
use snafu::{ResultExt, Snafu};

/// Why logging can't begin.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LogError {
    /// The log file can't be opened.
    #[snafu(display("log file {}: {source}; name a file in a writable folder", file.display()))]
    Open {
        /// Which file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The thread that writes can't be started.
    #[snafu(display("the thread that writes logs can't be started: {source}"))]
    Thread {
        /// Why.
        source: io::Error,
    },
    /// Another logger is already in place.
    #[snafu(display("a logger is already in place"))]
    Twice,
}

/// Lines that wait to be written before new ones are dropped; about a megabyte.
const BACKLOG: usize = 4096;

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails if the file can't be opened or a logger is already in place.
pub fn start(level: LevelFilter, file: Option<&Path>) -> Result<(), LogError> {
    let dispatch = match file {
        Some(file) => dispatch(level).chain(fern::log_file(file).context(OpenSnafu { file })?),
        None => dispatch(level).chain(io::stderr()),
    };
    dispatch.apply().map_err(|_| LogError::Twice)
}

/// Starts logging to standard output for the whole process, without ever waiting for its reader.
/// Lines that it doesn't take in time are dropped, and their number is logged once it does.
///
/// # Errors
///
/// Fails if a thread can't be started or a logger is already in place.
pub fn start_bounded(level: LevelFilter) -> Result<(), LogError> {
    let (lines, waiting) = sync_channel(BACKLOG);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = Bounded {
        lines,
        line: Vec::new(),
        dropped: Arc::clone(&dropped),
    };
    thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_out(&waiting, &dropped))
        .context(ThreadSnafu)?;
    let out: Box<dyn Write + Send> = Box::new(writer);
    let dispatch = dispatch(level).chain(out);
    dispatch.apply().map_err(|_| LogError::Twice)
}

fn dispatch(level: LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(level)
        .level_for("tungstenite", LevelFilter::Warn)
        .level_for("tokio_tungstenite", LevelFilter::Warn)
        .level_for("ureq", LevelFilter::Warn)
        .format(|out, message, record| {
            out.finish(format_args!(
                "{}",
                line(now(), &message.to_string(), record)
            ));
        })
}

/// Hands each line to the thread that writes, or drops it.
struct Bounded {
    lines: SyncSender<Vec<u8>>,
    /// What came of a line since the last flush: a line is written in pieces.
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl Write for Bounded {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn write_out(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    while let Ok(line) = waiting.recv() {
        // Without a reader there is nobody to tell.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let time = now().as_secs_f64();
            let line = json!({"time": time, "level": "WARN", "event": "log lines were dropped", "lines": lost});
            let _ = writeln!(out, "{line}");
        }
    }
}

/// One event as a JSON line, without the line's end.
pub fn line(time: Duration, event: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(JsonMap::new());
    fields.0.insert("time".into(), json!(time.as_secs_f64()));
    fields
        .0
        .insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("target".into(), json!(record.target()));
    fields.0.insert("event".into(), json!(event));
    // Visiting into a map of our own can't fail.
    let _ = record.key_values().visit(&mut fields);
    Json::Object(fields.0).to_string()
}

fn now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

struct Fields(JsonMap<String, Json>);

impl<'kv> VisitSource<'kv> for Fields {
    fn visit_pair(&mut self, key: Key<'kv>, value: Value<'kv>) -> Result<(), KvError> {
        let json = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from))
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from))
            .unwrap_or_else(|| Json::from(value.to_string()));
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
