//! Settings of an entry instance on a platform: an INI file, checked.
//!
//! The platform renders the file from a template, so the keys are the
//! product's own. Every fault is reported; a key that nothing reads is one
//! too, since the template is the project's.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    core::{relay, usage},
    settings::{self, Fault, Reader},
};

/// All settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// What its link carries, in whole Mbit/s; 0 if that is not known.
    pub link_mbps: u64,
    /// All failure domains, in a fixed order.
    pub domains: Vec<String>,
    /// Where callers and trainers reach it.
    pub listen: SocketAddr,
    /// Where the platform asks whether it takes callers.
    pub ready_listen: SocketAddr,
    /// Where its peers reach it.
    pub peer_listen: SocketAddr,
    /// Where its metrics are served.
    pub metrics_listen: SocketAddr,
    /// The store.
    pub store: Store,
    /// Times that the platform promises or demands.
    pub times: Times,
    /// Duties that one instance has at a time, where the platform asks for
    /// them.
    pub duties: Option<Duties>,
    /// Least severe level of log lines.
    pub level: log::LevelFilter,
}

/// Duties that one instance has at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// The address of the platform's API.
    pub address: SocketAddr,
    /// Windows of usage.
    pub usage: usage::Schedule,
}

/// The store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// Partitions of each topic.
    pub parts: u32,
    /// Longest record, in bytes.
    pub record_bytes: usize,
    /// Longest call, in bytes.
    pub call_bytes: usize,
    /// Shortest life of a group's member without a call.
    pub ttl_min: Duration,
    /// How long a record lives in its log.
    pub retention: Duration,
    /// Bytes that all topics together may take.
    pub room_bytes: u64,
    /// What it serves all instances together.
    pub supply: relay::Supply,
}

/// Times that the platform promises or demands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Times {
    /// From SIGTERM until the process is killed.
    pub grace: Duration,
    /// A holder of orders that fell silent for so long has lost them.
    pub lease: Duration,
    /// A job's results are kept for so long after its submission.
    pub status: Duration,
    /// Time between two entries of a target.
    pub heartbeat: Duration,
    /// A configuration is in force everywhere so long after its
    /// acknowledgement.
    pub config_apply: Duration,
    /// Longest time for which a key may be taken for good without news of the
    /// configuration; `None` for any.
    pub revoke: Option<Duration>,
}

impl Times {
    /// [`Times::status`] in milliseconds, as decisions count.
    #[must_use]
    pub fn status_ms(&self) -> u64 {
        u64::try_from(self.status.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Every [`Fault`] found.
    pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
        Settings::parse(path, &settings::read(path)?)
    }

    /// Checks the text of a settings file; `path` is only named in faults.
    ///
    /// # Errors
    ///
    /// Every [`Fault`] found.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::entry::settings::Settings;
    ///
    /// let faults = Settings::parse("a.ini".as_ref(), "[instance]\nnane = a\n").unwrap_err();
    /// // The misspelt key is reported beside the missing one.
    /// assert!(faults.iter().any(|fault| fault.key == "nane"));
    /// assert!(faults.iter().any(|fault| fault.key == "name"));
    /// ```
    pub fn parse(path: &Path, text: &str) -> Result<Settings, Vec<Fault>> {
        settings::checked(path, text, read_all)
    }
}

fn read_all(reader: &mut Reader<'_>) -> Settings {
    const SECOND: Duration = Duration::from_secs(1);
    const MILLISECOND: Duration = Duration::from_millis(1);
    const MOST_S: f64 = 86_400.0;
    const MOST_MS: f64 = MOST_S * 1_000.0;
    const MOST_BYTES: u64 = 1 << 30;
    const MOST_MB: f64 = 1e6;
    /// The users' store holds 400 MB; as measured, MiB.
    const ROOM_BYTES: u64 = 400 << 20;
    let instance = "instance";
    let domain = reader.text(instance, "domain", None);
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    let level = reader.choice("logs", "level", "info", &levels);
    let store = "store";
    let parts = reader.number(store, "parts", 1, 1..=1_000);
    let times = "times";
    let revoke_ms = reader.number(times, "revoke_ms", 0, 0..=86_400_000);
    Settings {
        name: reader.text(instance, "name", None),
        domains: reader.list(instance, "domains", &domain),
        domain,
        link_mbps: reader.fraction(instance, "link_mbps", 0.0, 0.0..=MOST_MB) as u64,
        listen: reader.address(instance, "listen"),
        ready_listen: reader.address(instance, "ready_listen"),
        peer_listen: reader.address(instance, "peer_listen"),
        metrics_listen: reader.address(instance, "metrics_listen"),
        store: Store {
            address: reader.address(store, "address"),
            parts: u32::try_from(parts).unwrap_or(1),
            record_bytes: reader.size(store, "record_bytes", 262_144, 4_096..=MOST_BYTES),
            call_bytes: reader.size(store, "call_bytes", 2_097_152, 4_096..=MOST_BYTES),
            ttl_min: reader.time(store, "ttl_min_ms", MILLISECOND, 1_000.0, 1.0..=MOST_MS),
            retention: reader.time(store, "retention_s", SECOND, 300.0, 1.0..=MOST_S),
            supply: relay::Supply {
                reads: reader.number(store, "reads_per_s", 2_000, 1..=u64::MAX),
                bytes: (reader.fraction(store, "read_mb_s", 80.0, 0.001..=MOST_MB) * 1e6) as u64,
            },
            room_bytes: reader.number(store, "room_bytes", ROOM_BYTES, 65_536..=u64::MAX),
        },
        times: Times {
            grace: reader.time(times, "grace_s", SECOND, 8.0, 0.1..=MOST_S),
            lease: reader.time(times, "lease_ms", MILLISECOND, 3_000.0, 100.0..=MOST_MS),
            status: reader.time(times, "status_s", SECOND, 120.0, 0.1..=MOST_S),
            heartbeat: reader.time(times, "beat_ms", MILLISECOND, 1_200.0, 1.0..=MOST_MS),
            config_apply: reader.time(
                times,
                "config_apply_ms",
                MILLISECOND,
                2_000.0,
                1.0..=MOST_MS,
            ),
            revoke: (revoke_ms > 0).then(|| Duration::from_millis(revoke_ms)),
        },
        duties: read_duties(reader),
        level: level.parse().unwrap_or(log::LevelFilter::Info),
    }
}

fn read_duties(reader: &mut Reader<'_>) -> Option<Duties> {
    const SECOND: Duration = Duration::from_secs(1);
    const MOST_S: f64 = 86_400.0;
    let section = "duties";
    let is_set = reader.optional(section, "address").is_some();
    let window = reader.time(section, "report_window_s", SECOND, 5.0, 0.1..=MOST_S);
    let late = reader.time(section, "usage_late_s", SECOND, 10.0, 0.1..=MOST_S);
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let usage = usage::Schedule { window_ms: ms(window), late_ms: ms(late) };
    is_set.then(|| Duties { address: reader.address(section, "address"), usage })
}
