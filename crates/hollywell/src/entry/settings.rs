//! Settings of an entry instance on a platform, read from an INI file and
//! validated.
//!
//! The platform renders the file from a template that this project provides, so
//! the keys are its own and an unknown key is an error. All faults are reported
//! at once.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    core::{machine::Machine, relay, usage},
    settings::{self, Fault, Reader},
};

/// All settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The bandwidth of its network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u64,
    /// All failure domains, in a fixed order.
    pub domains: Vec<String>,
    /// The address on which callers and trainers are served.
    pub listen: SocketAddr,
    /// The address on which the platform checks readiness.
    pub ready_listen: SocketAddr,
    /// The address on which peers are served.
    pub peer_listen: SocketAddr,
    /// Address that is announced to peers.
    pub peer_address: SocketAddr,
    /// The address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// The store.
    pub store: Store,
    /// Times that the platform guarantees or requires.
    pub times: Times,
    /// The machine.
    pub machine: Machine,
    /// Duties that one instance at a time performs, if the platform requires
    /// them.
    pub duties: Option<Duties>,
    /// The most verbose level of log lines that are written.
    pub level: log::LevelFilter,
}

/// Duties that one instance at a time performs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// The address of the platform's API.
    pub address: SocketAddr,
    /// The usage windows and when they are reported.
    pub usage: usage::Schedule,
}

/// The store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// Number of partitions of each topic.
    pub parts: u32,
    /// Limit on the size of a record, in bytes.
    pub record_bytes: usize,
    /// Limit on the size of a call, in bytes.
    pub call_bytes: usize,
    /// Minimum time to live of a group's member.
    pub ttl_min: Duration,
    /// Retention time of a record in its log.
    pub retention: Duration,
    /// Capacity for all topics together, in bytes.
    pub room_bytes: u64,
    /// Read capacity that all instances share.
    pub supply: relay::Supply,
}

impl Store {
    /// Retention time of a record in its log, in milliseconds.
    #[must_use]
    pub fn retention_ms(&self) -> u64 {
        u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Times that the platform guarantees or requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Times {
    /// Grace period from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Time after which the lease for giving orders expires if its holder is
    /// unresponsive.
    pub lease: Duration,
    /// Retention time of a job's results, counted from its submission.
    pub status: Duration,
    /// Time between two announcements of a target.
    pub heartbeat: Duration,
    /// Time from the acknowledgement that a target leaves until it must get no
    /// more requests.
    pub drain: Duration,
    /// Time from the acknowledgement of a configuration until it has to be in
    /// force at all instances.
    pub config_apply: Duration,
    /// Maximum age of the configuration at which API keys are still accepted;
    /// `None` for no limit.
    pub revoke: Option<Duration>,
}

impl Times {
    /// [`Times::status`] in milliseconds.
    #[must_use]
    pub fn status_ms(&self) -> u64 {
        u64::try_from(self.status.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// All [`Fault`]s found.
    pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
        Settings::parse(path, &settings::read(path)?)
    }

    /// Parses and validates the text of a settings file. `path` is only used in
    /// faults.
    ///
    /// # Errors
    ///
    /// All [`Fault`]s found.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::entry::settings::Settings;
    ///
    /// let faults = Settings::parse("a.ini".as_ref(), "[instance]\nnane = a\n").unwrap_err();
    /// // Both the misspelt key and the missing one are reported.
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
    const MAX_S: f64 = 86_400.0;
    const MAX_MS: f64 = MAX_S * 1_000.0;
    const MAX_BYTES: u64 = 1 << 30;
    const MAX_MEMORY_MB: u64 = 1 << 20;
    const MAX_MB: f64 = 1e6;
    /// The users' store holds 400 MB; measurements show that these are MiB.
    const CAPACITY_BYTES: u64 = 400 << 20;
    let instance = "instance";
    let domain = reader.text(instance, "domain", None);
    let peer_listen = reader.address(instance, "peer_listen");
    let is_announced_apart = reader.optional(instance, "peer_address").is_some();
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    let level = reader.choice("logs", "level", "info", &levels);
    let store = "store";
    let parts = reader.number(store, "parts", 1, 1..=1_000);
    let limits = "limits";
    let times = "times";
    let revoke_ms = reader.number(times, "revoke_ms", 0, 0..=86_400_000);
    Settings {
        name: reader.text(instance, "name", None),
        domains: reader.list(instance, "domains", &domain),
        domain,
        link_mbps: reader.fraction(instance, "link_mbps", 0.0, 0.0..=MAX_MB) as u64,
        listen: reader.address(instance, "listen"),
        ready_listen: reader.address(instance, "ready_listen"),
        peer_listen,
        peer_address: match is_announced_apart {
            true => reader.address(instance, "peer_address"),
            false => peer_listen,
        },
        metrics_listen: reader.address(instance, "metrics_listen"),
        store: Store {
            address: reader.address(store, "address"),
            parts: u32::try_from(parts).unwrap_or(1),
            record_bytes: reader.size(store, "record_bytes", 262_144, 4_096..=MAX_BYTES),
            call_bytes: reader.size(store, "call_bytes", 2_097_152, 4_096..=MAX_BYTES),
            ttl_min: reader.time(store, "ttl_min_ms", MILLISECOND, 1_000.0, 1.0..=MAX_MS),
            retention: reader.time(store, "retention_s", SECOND, 300.0, 1.0..=MAX_S),
            supply: relay::Supply {
                reads: reader.number(store, "reads_per_s", 2_000, 1..=u64::MAX),
                bytes: (reader.fraction(store, "read_mb_s", 80.0, 0.001..=MAX_MB) * 1e6) as u64,
            },
            room_bytes: reader.number(store, "room_bytes", CAPACITY_BYTES, 65_536..=u64::MAX),
        },
        times: Times {
            grace: reader.time(times, "grace_s", SECOND, 8.0, 0.1..=MAX_S),
            lease: reader.time(times, "lease_ms", MILLISECOND, 3_000.0, 100.0..=MAX_MS),
            status: reader.time(times, "status_s", SECOND, 120.0, 0.1..=MAX_S),
            heartbeat: reader.time(times, "beat_ms", MILLISECOND, 1_200.0, 1.0..=MAX_MS),
            drain: reader.time(times, "drain_ms", MILLISECOND, 2_000.0, 1.0..=MAX_MS),
            config_apply: reader.time(times, "config_apply_ms", MILLISECOND, 2_000.0, 1.0..=MAX_MS),
            revoke: (revoke_ms > 0).then(|| Duration::from_millis(revoke_ms)),
        },
        machine: Machine {
            memory_bytes: reader.size(limits, "memory_mb", 130, 16..=MAX_MEMORY_MB) * 1_000_000,
            descriptors: reader.size(limits, "descriptors", 8_200, 300..=MAX_BYTES),
        },
        duties: read_duties(reader),
        level: level.parse().unwrap_or(log::LevelFilter::Info),
    }
}

fn read_duties(reader: &mut Reader<'_>) -> Option<Duties> {
    const SECOND: Duration = Duration::from_secs(1);
    const MAX_S: f64 = 86_400.0;
    let section = "duties";
    let is_set = reader.optional(section, "address").is_some();
    let window = reader.time(section, "report_window_s", SECOND, 5.0, 0.1..=MAX_S);
    let late = reader.time(section, "usage_late_s", SECOND, 10.0, 0.1..=MAX_S);
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let usage = usage::Schedule { window_ms: ms(window), late_ms: ms(late) };
    is_set.then(|| Duties { address: reader.address(section, "address"), usage })
}
