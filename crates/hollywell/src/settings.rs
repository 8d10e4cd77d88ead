//! Settings: an INI file that is validated and converted to typed values.
//!
//! All faults are reported, not just the first, each with file, line, section, key,
//! value and allowed values. Unknown sections and keys are faults, because a
//! misspelt limit must not silently keep its default. The keys are documented in
//! `docs/operators/settings.md`.

use std::{
    collections::BTreeSet,
    fmt, fs,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use ini::Ini;

use crate::core::{id::Instance, owner, reducer::Config};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text by a log4rs pattern.
    Text,
}

/// Logging settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logs {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Format of lines.
    pub format: LogFormat,
    /// The log4rs pattern for text lines.
    pub pattern: String,
}

/// Limits on the resources of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Capacity of each queue between traffic and control.
    pub queue: usize,
    /// Maximum size of the body of a request or response, in bytes.
    pub body_bytes: usize,
    /// Memory for the bodies of all requests, in bytes. Bodies of up to 64 KB may
    /// take a quarter more.
    pub request_bytes: usize,
    /// Number of callers' connections.
    pub connections: usize,
    /// Total size of targets' responses that are retained for repeated idempotency
    /// keys, in bytes.
    pub answer_bytes: usize,
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Timeout of receiving a request's headers or its body, in milliseconds.
    pub receive_ms: u64,
    /// Timeout of a call that names none, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum timeout that a caller may request, in milliseconds.
    pub max_timeout_ms: u64,
}

/// Addresses of the platform, and polling intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Interval at which the list and the newest versions are polled, in
    /// milliseconds.
    pub list_ms: u64,
    /// Interval at which the engines' load is polled, in milliseconds.
    pub load_ms: u64,
    /// How long a read at the end of the log waits for a record, in milliseconds.
    pub poll_ms: u64,
}

/// All settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where callers, trainers and operators reach it.
    pub listen: SocketAddr,
    /// Where its peers reach it.
    pub peer_listen: SocketAddr,
    /// The reducer's configuration.
    pub config: Config,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Limits on the resources of one caller.
    pub limits: Limits,
    /// Logging settings.
    pub logs: Logs,
    /// File to record events to, if any.
    pub trace: Option<PathBuf>,
}

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line of the key, or of its section if the key is missing; 0 if the section is
    /// missing too.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The key; empty if the fault is in the section or the file.
    pub key: String,
    /// The value; empty if there is none.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { file, line, section, key, value, allowed } = self;
        let file = file.display();
        write!(f, "{file}:{line}: [{section}] {key} = {value:?}: allowed is {allowed}")
    }
}

impl std::error::Error for Fault {}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Every [`Fault`] found.
    pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
        Settings::parse(path, &read(path)?)
    }

    /// Validates the text of a settings file. `path` is only used in faults.
    ///
    /// # Errors
    ///
    /// Every [`Fault`] found.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::settings::Settings;
    ///
    /// let text = "[instance]\nname = a\nlisten = 127.0.0.1:80\nqueue = 3\n";
    /// let faults = Settings::parse("a.ini".as_ref(), text).unwrap_err();
    /// // A key in the wrong section is a fault, like a misspelt key.
    /// let unknown = faults.iter().find(|fault| fault.key == "queue").unwrap();
    /// assert_eq!(unknown.line, 4);
    /// ```
    pub fn parse(path: &Path, text: &str) -> Result<Settings, Vec<Fault>> {
        checked(path, text, read_all)
    }
}

/// Converts the text of a settings file by `read`.
///
/// # Errors
///
/// Every [`Fault`] found by `read`, and one for each key that it did not read.
pub(crate) fn checked<T>(
    path: &Path,
    text: &str,
    read: impl FnOnce(&mut Reader<'_>) -> T,
) -> Result<T, Vec<Fault>> {
    let mut reader = Reader::new(path, text)?;
    let settings = read(&mut reader);
    reader.check_unknown();
    match reader.faults.is_empty() {
        true => Ok(settings),
        false => Err(reader.faults),
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// A [`Fault`] if the file cannot be read.
pub(crate) fn read(path: &Path) -> Result<String, Vec<Fault>> {
    fs::read_to_string(path).map_err(|error| {
        let (line, section, key, value) = Default::default();
        let allowed = format!("a readable file: {error}");
        vec![Fault { file: path.to_owned(), line, section, key, value, allowed }]
    })
}

fn read_all(reader: &mut Reader<'_>) -> Settings {
    let instance = "instance";
    let name = reader.text(instance, "name", None);
    let domain = reader.text(instance, "domain", None);
    let domains = reader.list(instance, "domains", &domain);
    let listed: Vec<&str> = domains.iter().map(String::as_str).collect();
    let mut config = Config::new(Instance::new(&name, incarnation()), &domain, &listed);
    let (listen, peer_listen) =
        (reader.address(instance, "listen"), reader.address(instance, "peer_listen"));
    read_times(reader, &mut config);
    Settings {
        listen,
        peer_listen,
        config,
        platform: read_platform(reader),
        limits: read_limits(reader),
        logs: read_logs(reader),
        trace: reader.optional("trace", "file").map(PathBuf::from),
    }
}

/// Returns the Unix time in milliseconds, which increases with each start if the
/// machine's clock is roughly right.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Maximum of all times in the settings, in milliseconds: one day.
const MAX_MS: u64 = 86_400_000;

fn read_times(reader: &mut Reader<'_>, config: &mut Config) {
    let defaults = owner::Config::default();
    let ownership = "ownership";
    config.ownership = owner::Config {
        lease_ms: reader.number(ownership, "lease_ms", defaults.lease_ms, 300..=60_000),
        guard_ms: reader.number(ownership, "guard_ms", defaults.guard_ms, 10..=60_000),
        log_away_ms: reader.number(ownership, "log_away_ms", defaults.log_away_ms, 1_000..=MAX_MS),
        horizon_ms: reader.number(ownership, "horizon_ms", defaults.horizon_ms, 1_000..=MAX_MS),
    };
    config.replica_timeout_ms =
        reader.number(ownership, "deputy_ms", config.replica_timeout_ms, 10..=60_000);
    let members = "membership";
    config.heartbeat_ms = reader.number(members, "beat_ms", config.heartbeat_ms, 50..=10_000);
    config.remote_heartbeat_ms =
        reader.number(members, "remote_beat_ms", config.remote_heartbeat_ms, 50..=60_000);
    config.suspect_ms = reader.number(members, "suspect_ms", config.suspect_ms, 100..=60_000);
    config.settle_ms = reader.number(members, "settle_ms", config.settle_ms, 0..=60_000);
    let limits = "limits";
    config.calls = reader.size(limits, "calls", config.calls, 1..=1_000_000);
    config.steps = reader.size(limits, "steps", config.steps, 1..=100_000);
    let rollouts = "rollouts";
    let reserve = u64::from(config.reserve_percent);
    let reserve = reader.number(rollouts, "reserve_percent", reserve, 0..=100);
    config.reserve_percent = u32::try_from(reserve).unwrap_or(100);
    config.orders = reader.size(rollouts, "orders", config.orders, 1..=1_000);
    config.fetches_a_s = reader.number(rollouts, "fetches_a_s", config.fetches_a_s, 1..=1_000_000);
    config.order_ms = reader.number(rollouts, "order_ms", config.order_ms, 100..=600_000);
    let snapshots = "snapshots";
    config.snapshot_records =
        reader.number(snapshots, "records", config.snapshot_records, 1..=1_000_000);
    config.snapshot_ms = reader.number(snapshots, "every_ms", config.snapshot_ms, 100..=MAX_MS);
    config.resign_ms = reader.number(members, "resign_ms", config.resign_ms, 0..=600_000);
}

fn read_platform(reader: &mut Reader<'_>) -> Platform {
    let section = "platform";
    Platform {
        log: reader.address(section, "log"),
        list: reader.address(section, "list"),
        weights: reader.address(section, "weights"),
        list_ms: reader.number(section, "list_ms", 500, 50..=60_000),
        load_ms: reader.number(section, "load_ms", 250, 20..=60_000),
        poll_ms: reader.number(section, "poll_ms", 500, 50..=60_000),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let section = "limits";
    Limits {
        queue: reader.size(section, "queue", 4_096, 16..=1_000_000),
        body_bytes: reader.size(section, "body_bytes", 4 << 20, 1_024..=1 << 30),
        request_bytes: reader.size(section, "request_bytes", 48 << 20, 1_024..=1 << 34),
        connections: reader.size(section, "connections", 1_024, 1..=1_000_000),
        answer_bytes: reader.size(section, "answer_bytes", 32 << 20, 1_024..=1 << 34),
        header_bytes: reader.size(section, "header_bytes", 32 << 10, 8_192..=1 << 20),
        receive_ms: reader.number(section, "receive_ms", 10_000, 10..=600_000),
        timeout_ms: reader.number(section, "timeout_ms", 10_000, 10..=MAX_MS),
        max_timeout_ms: reader.number(section, "most_timeout_ms", 600_000, 10..=MAX_MS),
    }
}

fn read_logs(reader: &mut Reader<'_>) -> Logs {
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    let level = reader.choice("logs", "level", "info", &levels);
    let format = reader.choice("logs", "format", "json", &["json", "text"]);
    let pattern = reader.text("logs", "pattern", Some("{d} {l} {t} {m}{n}"));
    Logs {
        level: level.parse().unwrap_or(log::LevelFilter::Info),
        format: if format == "text" { LogFormat::Text } else { LogFormat::Json },
        pattern,
    }
}

/// Reads values, and collects faults and the names of known keys.
pub(crate) struct Reader<'a> {
    path: &'a Path,
    text: &'a str,
    ini: Ini,
    known: BTreeSet<(&'static str, &'static str)>,
    pub(crate) faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(path: &'a Path, text: &'a str) -> Result<Reader<'a>, Vec<Fault>> {
        match Ini::load_from_str(text) {
            Ok(ini) => Ok(Reader { path, text, ini, known: BTreeSet::new(), faults: vec![] }),
            Err(error) => Err(vec![Fault {
                file: path.to_owned(),
                line: error.line,
                section: String::new(),
                key: String::new(),
                value: String::new(),
                allowed: format!("an INI file: {}", error.msg),
            }]),
        }
    }

    /// Returns the line of a key, or of its section if the key is missing. The INI
    /// library does not provide line numbers.
    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut current = String::new();
        let mut section_line = 0;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                name.trim().clone_into(&mut current);
                if current == section {
                    section_line = index + 1;
                }
            }
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if current == section && !key.is_empty() && name == key {
                return index + 1;
            }
        }
        section_line
    }

    pub(crate) fn fault(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        let line = self.line_of(section, key);
        self.faults.push(Fault {
            file: self.path.to_owned(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    pub(crate) fn optional(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        self.known.insert((section, key));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned()).filter(|value| !value.is_empty())
    }

    pub(crate) fn text(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: Option<&str>,
    ) -> String {
        let found = self.optional(section, key).or(default.map(str::to_owned));
        found.unwrap_or_else(|| {
            self.fault(section, key, "", "a name; it must be set");
            String::new()
        })
    }

    pub(crate) fn list(
        &mut self,
        section: &'static str,
        key: &'static str,
        required: &str,
    ) -> Vec<String> {
        let Some(value) = self.optional(section, key) else {
            return vec![required.to_owned()];
        };
        let mut names: Vec<String> = value.split(',').map(|name| name.trim().to_owned()).collect();
        names.sort();
        names.dedup();
        if !names.iter().any(|name| name == required) {
            let allowed = format!("comma-separated names that include {required:?}");
            self.fault(section, key, &value, &allowed);
        }
        names
    }

    pub(crate) fn address(&mut self, section: &'static str, key: &'static str) -> SocketAddr {
        let value = self.optional(section, key).unwrap_or_default();
        value.parse().unwrap_or_else(|_| {
            self.fault(section, key, &value, "an IP address and a port, such as 127.0.0.1:8080");
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    pub(crate) fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.optional(section, key) else {
            return default;
        };
        let number = value.parse().ok().filter(|number| range.contains(number));
        number.unwrap_or_else(|| {
            let allowed = format!("a whole number from {} to {}", range.start(), range.end());
            self.fault(section, key, &value, &allowed);
            default
        })
    }

    /// Reads a time in units of `unit`. It may be a fraction, as platforms state
    /// their limits in various units.
    pub(crate) fn time(
        &mut self,
        section: &'static str,
        key: &'static str,
        unit: Duration,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Duration {
        unit.mul_f64(self.fraction(section, key, default, range))
    }

    pub(crate) fn fraction(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let Some(value) = self.optional(section, key) else {
            return default;
        };
        let number = value.parse().ok().filter(|number| range.contains(number));
        number.unwrap_or_else(|| {
            let allowed = format!("a number from {} to {}", range.start(), range.end());
            self.fault(section, key, &value, &allowed);
            default
        })
    }

    pub(crate) fn size(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: usize,
        range: RangeInclusive<u64>,
    ) -> usize {
        let number = self.number(section, key, default as u64, range);
        usize::try_from(number).unwrap_or(default)
    }

    pub(crate) fn choice(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: &str,
        choices: &[&str],
    ) -> String {
        let value = self.optional(section, key).unwrap_or_else(|| default.to_owned());
        if choices.contains(&value.as_str()) {
            return value;
        }
        self.fault(section, key, &value, &format!("one of {}", choices.join(", ")));
        default.to_owned()
    }

    /// Reports the sections and keys that were not read.
    pub(crate) fn check_unknown(&mut self) {
        let mut unknown = vec![];
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            let is_known = |key: &str| self.known.iter().any(|known| *known == (section, key));
            let not_read = properties.iter().filter(|(key, _)| !is_known(key));
            unknown.extend(
                not_read.map(|(key, value)| (section.to_owned(), key.to_owned(), value.to_owned())),
            );
        }
        for (section, key, value) in unknown {
            let names: Vec<&str> = self
                .known
                .iter()
                .filter(|(known, _)| *known == section)
                .map(|(_, key)| *key)
                .collect();
            let allowed = match names.is_empty() {
                true => String::from("no such section"),
                false => format!("one of the keys {}", names.join(", ")),
            };
            self.fault(&section, &key, &value, &allowed);
        }
    }
}
