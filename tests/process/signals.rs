//! Signals that come while a daemon starts.

use std::{
    fs::{self, File},
    io::Write,
    process::Command,
};

use crate::world::{Process, World};

/// A signal while the settings were read ended the daemon as the system does, not by its own stop.
#[test]
fn a_signal_while_the_settings_are_read_ends_the_daemon_in_order() {
    let world = World::bare();
    let settings = world.settings(1);
    let text = fs::read_to_string(&settings).unwrap();
    for signal in ["-TERM", "-INT"] {
        let pipe = settings.with_extension(signal);
        assert!(
            Command::new("mkfifo")
                .arg(&pipe)
                .status()
                .unwrap()
                .success()
        );
        let log = settings.with_extension("log");
        let child = Command::new(env!("CARGO_BIN_EXE_egretpind"))
            .arg("--settings")
            .arg(&pipe)
            .stderr(File::create(&log).unwrap())
            .spawn();
        let mut daemon = Process(child.unwrap());
        // Opening a pipe waits for its reader.
        let mut writer = File::options().write(true).open(&pipe).unwrap();
        daemon.signal(signal);
        // One that the signal ended reads nothing more; its exit code tells.
        let _ = writer.write_all(text.as_bytes());
        drop(writer);
        assert!(daemon.ended(), "{signal}");
        assert!(fs::read_to_string(&log).unwrap().contains("node stopped"));
    }
}
