//! Settings: an INI file, checked and turned into typed values.
//!
//! Every fault is reported, not just the first, each with file, line,
//! section, key, value and what is allowed. Unknown sections and keys are
//! faults: a misspelt limit must not silently keep its default. The keys are
//! documented in `docs/operators/settings.md`.

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

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// By a log4rs pattern, for people.
    Text,
}

/// Settings of logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logs {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// How lines are written.
    pub format: LogFormat,
    /// The log4rs pattern of text lines.
    pub pattern: String,
}

/// Sizes and times that bound what one caller can take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Room in each queue between traffic and control.
    pub queue: usize,
    /// Largest body of a request or an answer, in bytes.
    pub body_bytes: usize,
    /// Targets' answers kept for keys that are sent again, in bytes.
    pub answer_bytes: usize,
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// How long a caller may take to send a request's head or body, in
    /// milliseconds.
    pub receive_ms: u64,
    /// How long a caller waits that does not say, in milliseconds.
    pub timeout_ms: u64,
    /// Longest time that a caller may ask to wait, in milliseconds.
    pub max_timeout_ms: u64,
}

/// Where the platform is, and how often it is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Time between readings of the list and of the newest versions, in
    /// milliseconds.
    pub list_ms: u64,
    /// Time between readings of the engines' load, in milliseconds.
    pub load_ms: u64,
    /// How long a reading of the log's end waits for a record, in
    /// milliseconds.
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
    /// Where the platform is.
    pub platform: Platform,
    /// What one caller can take up.
    pub limits: Limits,
    /// Logging.
    pub logs: Logs,
    /// File to record events to, if any.
    pub trace: Option<PathBuf>,
}

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line, 0 if the key is missing.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The key; empty where the section or the file is at fault.
    pub key: String,
    /// The value found; empty if there is none.
    pub value: String,
    /// What is allowed.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Every [`Fault`] found.
    pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
        Settings::parse(path, &read(path)?)
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
    /// use hollywell::settings::Settings;
    ///
    /// let text = "[instance]\nname = a\nlisten = 127.0.0.1:80\nqueue = 3\n";
    /// let faults = Settings::parse("a.ini".as_ref(), text).unwrap_err();
    /// // A key in the wrong section is a fault like a misspelt one.
    /// let unknown = faults.iter().find(|fault| fault.key == "queue").unwrap();
    /// assert_eq!(unknown.line, 4);
    /// ```
    pub fn parse(path: &Path, text: &str) -> Result<Settings, Vec<Fault>> {
        checked(path, text, read_all)
    }
}

/// What `read` makes of a settings file's text.
///
/// # Errors
///
/// Every [`Fault`] that it found, and the keys that it did not read.
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

/// The text of a settings file.
///
/// # Errors
///
/// One [`Fault`] of the whole file.
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

/// Time since the epoch in milliseconds: larger for every later run on a
/// machine whose clock is roughly right.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Longest time that any setting may name, in milliseconds: a day.
const MAX_MS: u64 = 86_400_000;

fn read_times(reader: &mut Reader<'_>, config: &mut Config) {
    let usual = owner::Config::default();
    let own = "ownership";
    config.ownership = owner::Config {
        lease_ms: reader.number(own, "lease_ms", usual.lease_ms, 300..=60_000),
        guard_ms: reader.number(own, "guard_ms", usual.guard_ms, 10..=60_000),
        log_away_ms: reader.number(own, "log_away_ms", usual.log_away_ms, 1_000..=MAX_MS),
        horizon_ms: reader.number(own, "horizon_ms", usual.horizon_ms, 1_000..=MAX_MS),
    };
    config.replica_timeout_ms =
        reader.number(own, "deputy_ms", config.replica_timeout_ms, 10..=60_000);
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

/// Reads values and collects faults and the names of the keys in use.
pub(crate) struct Reader<'a> {
    path: &'a Path,
    text: &'a str,
    ini: Ini,
    used: BTreeSet<(&'static str, &'static str)>,
    pub(crate) faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(path: &'a Path, text: &'a str) -> Result<Reader<'a>, Vec<Fault>> {
        match Ini::load_from_str(text) {
            Ok(ini) => Ok(Reader { path, text, ini, used: BTreeSet::new(), faults: vec![] }),
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

    /// The line of a key, or of its section where the key is missing. The
    /// INI library keeps no line numbers.
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
        self.used.insert((section, key));
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
        must_have: &str,
    ) -> Vec<String> {
        let Some(value) = self.optional(section, key) else {
            return vec![must_have.to_owned()];
        };
        let mut names: Vec<String> = value.split(',').map(|name| name.trim().to_owned()).collect();
        names.sort();
        names.dedup();
        if !names.iter().any(|name| name == must_have) {
            let allowed = format!("names with commas between them, {must_have:?} among them");
            self.fault(section, key, &value, &allowed);
        }
        names
    }

    pub(crate) fn address(&mut self, section: &'static str, key: &'static str) -> SocketAddr {
        let value = self.optional(section, key).unwrap_or_default();
        value.parse().unwrap_or_else(|_| {
            self.fault(section, key, &value, "an IP number and a port, as 127.0.0.1:8080");
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

    /// A time in units of `unit`, which may be a fraction: platforms state
    /// their bounds as they like.
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

    /// Reports the sections and keys that nothing has asked for.
    pub(crate) fn check_unknown(&mut self) {
        let mut unknown = vec![];
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            let known = |key: &str| self.used.iter().any(|used| *used == (section, key));
            let strange = properties.iter().filter(|(key, _)| !known(key));
            unknown.extend(
                strange.map(|(key, value)| (section.to_owned(), key.to_owned(), value.to_owned())),
            );
        }
        for (section, key, value) in unknown {
            let names: Vec<&str> = self
                .used
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
