//! How long an answer of the store may be silent, and how long to pause
//! after a call that failed.
//!
//! All instances share the store's bandwidth. After an outage they all read
//! everything again, and answers take as long as the bytes that everybody
//! asked for. A fixed limit then does the worst: an answer that is given up
//! was sent for nothing, and is asked for again at once, so what is thrown
//! away is the load. So the limit follows what answers take, as a sender's
//! retransmission timeout does (RFC 6298), grows with each silence, and
//! pauses grow with the number of instances that pause.
//!
//! What it leaves out: the calls ([`crate::entry::reader`]).

/// Least silence that is borne, in milliseconds. A store that is well
/// answers in some milliseconds, on a slow day in some hundreds; a
/// connection that died in silence is found after so long.
const MIN_TIMEOUT_MS: f64 = 800.0;
/// Longest silence that is borne, in milliseconds: what nobody answered by
/// then, a caller will not wait for either.
const MAX_TIMEOUT_MS: f64 = 6_000.0;
/// Weights of the newest answer in the mean time and in its spread, and how
/// many spreads above the mean an answer may take (RFC 6298, section 2).
const MEAN_WEIGHT: f64 = 0.125;
/// See [`MEAN_WEIGHT`].
const VARIATION_WEIGHT: f64 = 0.25;
/// See [`MEAN_WEIGHT`].
const VARIATIONS: f64 = 4.0;
/// Doublings of the limit after timeouts in a row.
const MAX_DOUBLINGS: u32 = 3;

/// First pause after a failed call, in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;
/// Longest pause at a store that answers nobody here, in milliseconds: that
/// it is back should be noticed well within the second that its users are
/// granted.
const MAX_BACKOFF_MS: u64 = 400;
/// Instances up to which pauses do not grow with their number.
const INSTANCES_PER_STEP: usize = 30;

/// What this instance has seen of the time that the store's answers take.
///
/// # Example
///
/// ```
/// use hollywell::core::timeout::Timeout;
///
/// let mut timeout = Timeout::default();
/// timeout.answered(5);
/// assert_eq!(timeout.limit_ms(), 800);
/// // One silence may be a dead connection; several in a row are a busy
/// // store. Calls that were silent together count once.
/// timeout.timed_out(800);
/// timeout.timed_out(800);
/// assert_eq!(timeout.limit_ms(), 1_600);
/// // Answers that take long are waited for from then on.
/// timeout.answered(1_500);
/// assert!(timeout.limit_ms() > 1_500);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timeout {
    mean_ms: Option<f64>,
    variation_ms: f64,
    timeouts: u32,
}

impl Timeout {
    /// How long an answer may be silent now, in milliseconds.
    #[must_use]
    pub fn limit_ms(&self) -> u64 {
        let usual = self.mean_ms.unwrap_or_default() + VARIATIONS * self.variation_ms;
        let doubled = f64::from(1_u32 << self.timeouts.min(MAX_DOUBLINGS));
        (usual.max(MIN_TIMEOUT_MS) * doubled).min(MAX_TIMEOUT_MS) as u64
    }

    /// Notes how long an answer took, beyond what it was asked to wait.
    pub fn answered(&mut self, took_ms: u64) {
        let took = took_ms as f64;
        self.timeouts = 0;
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(took);
            self.variation_ms = took / 2.0;
            return;
        };
        self.variation_ms += VARIATION_WEIGHT * ((mean - took).abs() - self.variation_ms);
        self.mean_ms = Some(mean + MEAN_WEIGHT * (took - mean));
    }

    /// Notes that an answer was given up after so many milliseconds of
    /// silence. Only one that had the present limit counts: several calls
    /// that were under way together are one silence. With each of them
    /// counted a cut of some seconds left the limit at its most, and reads
    /// that the cut had swallowed hung for six seconds after it.
    pub fn timed_out(&mut self, limit_ms: u64) {
        if limit_ms >= self.limit_ms() {
            self.timeouts += 1;
        }
    }

    /// Notes that the store answers nobody here: silence is then an outage's,
    /// no crowd's, and its end should be noticed soon.
    pub fn unavailable(&mut self) {
        self.timeouts = 0;
    }
}

/// The longest pause after so many failures in a row, in milliseconds; the
/// pause is drawn evenly from zero up to it. At a store that is away it is
/// short. One that answers some calls and not others is crowded, and the
/// crowd is as large as the number of `instances`.
#[must_use]
pub fn max_backoff_ms(failures: u32, instances: usize, away: bool) -> u64 {
    let crowd = if away { 1 } else { instances.div_ceil(INSTANCES_PER_STEP).max(1) as u64 };
    let doubled = MIN_BACKOFF_MS << failures.saturating_sub(1).min(8);
    doubled.min(MAX_BACKOFF_MS * crowd)
}
