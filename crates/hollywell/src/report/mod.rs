//! Burn rates of service level objectives: how fast their error budgets are used up.
//!
//! The input is scraped metrics of all instances, one file per scrape. The burn
//! rate of an objective over a window is the ratio of bad events divided by the
//! ratio that the objective allows. An alarm requires that a long and a short
//! window both burn too fast, so that it neither fires on a brief spike nor
//! continues after the incident ("The Site Reliability Workbook", chapter 5,
//! "Multiwindow, Multi-Burn-Rate Alerts").
//!
//! Collecting scrapes is left to the operators' monitoring or to `hollywell report
//! collect`.

pub mod page;
pub mod scrape;
pub mod steps;
pub mod traced;

use serde::Serialize;

use scrape::Scrape;

/// A service level objective.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Objective {
    /// Its name.
    pub name: &'static str,
    /// Which events are bad, as shown in the report.
    pub bad: &'static str,
    /// Minimum ratio of good events to all events.
    pub target: f64,
    #[serde(skip)]
    count: fn(&Scrape) -> Tally,
}

/// Numbers of bad events and of all events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Bad events.
    pub bad: f64,
    /// All events.
    pub all: f64,
}

/// Threshold of the latency objective, in seconds. Slower answers are bad events. It
/// must equal a bucket bound of `hollywell_answer_seconds`, from which they are counted.
pub const LATENCY_THRESHOLD_S: f64 = 0.25;

/// The objectives, in the order of the report.
pub const OBJECTIVES: [Objective; 3] = [
    Objective {
        name: "steps on time",
        bad: "a step whose samples were not whole by its deadline",
        target: 0.99,
        count: late_steps,
    },
    Objective {
        name: "live latency",
        bad: "an answer of a target that took more than 250 ms",
        target: 0.99,
        count: slow_answers,
    },
    Objective {
        name: "truthful refusals",
        bad: "a request that could only be answered with 'unknown'",
        target: 0.995,
        count: unknown_answers,
    },
];

fn late_steps(scrape: &Scrape) -> Tally {
    let steps = |result: &str| scrape.counter("hollywell_steps_total", "result", result);
    let late = steps("late");
    Tally { bad: late, all: late + steps("whole") }
}

fn slow_answers(scrape: &Scrape) -> Tally {
    let (fast, all) =
        scrape.histogram("hollywell_answer_seconds", "class", "target", LATENCY_THRESHOLD_S);
    Tally { bad: all - fast, all }
}

fn unknown_answers(scrape: &Scrape) -> Tally {
    let answers = |class: &str| scrape.counter("hollywell_answers_total", "class", class);
    let unknown = answers("unknown");
    Tally { bad: unknown, all: unknown + answers("target") + answers("not-run") }
}

/// A long and a short window, and the burn rate that triggers an alarm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Windows {
    /// The long window, in seconds.
    pub long_s: u64,
    /// The short window, in seconds.
    pub short_s: u64,
    /// Alarm threshold: the minimum burn rate over both windows.
    pub alarm: f64,
}

/// The usual window pairs for an error budget of 30 days: they alarm when 2% of it is
/// used up within 1 h, or 5% within 6 h.
pub const WINDOWS: [Windows; 2] = [
    Windows { long_s: 3_600, short_s: 300, alarm: 14.4 },
    Windows { long_s: 21_600, short_s: 1_800, alarm: 6.0 },
];

/// Burn rates of one objective over one pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRates {
    /// The objective's name.
    pub objective: &'static str,
    /// The windows.
    pub windows: Windows,
    /// Events in the long window.
    pub long: Tally,
    /// Burn rate over the long window.
    pub long_burn: f64,
    /// Burn rate over the short window.
    pub short_burn: f64,
    /// True if both burn rates reach the alarm threshold.
    pub alarms: bool,
}

/// Computes the burn rates of all objectives at the time of the last scrape.
///
/// # Example
///
/// ```
/// use hollywell::report::{burn_rates, scrape::Scrape};
///
/// let text = |late: u32, whole: u32| format!(
///     "hollywell_steps_total{{result=\"late\"}} {late}\n\
///      hollywell_steps_total{{result=\"whole\"}} {whole}\n"
/// );
/// let scrapes = [
///     Scrape::parse(0, "h1", &text(0, 0))?,
///     Scrape::parse(3_000, "h1", &text(0, 90))?,
///     // The instance was restarted, which reset its counters.
///     Scrape::parse(3_500, "h1", &text(2, 8))?,
/// ];
/// let steps = &burn_rates(&scrapes)[0];
/// assert_eq!((steps.long.bad, steps.long.all), (2.0, 100.0));
/// assert!((steps.long_burn - 2.0).abs() < 1e-9);
/// # Ok::<(), std::io::Error>(())
/// ```
#[must_use]
pub fn burn_rates(scrapes: &[Scrape]) -> Vec<BurnRates> {
    let end = scrapes.iter().map(|scrape| scrape.at_s).max().unwrap_or_default();
    let compute = |objective: &Objective, windows: Windows| {
        let long = tally(scrapes, objective, end.saturating_sub(windows.long_s), end);
        let short = tally(scrapes, objective, end.saturating_sub(windows.short_s), end);
        let (long_burn, short_burn) = (burn_rate(objective, long), burn_rate(objective, short));
        let alarms = long_burn >= windows.alarm && short_burn >= windows.alarm;
        BurnRates { objective: objective.name, windows, long, long_burn, short_burn, alarms }
    };
    OBJECTIVES
        .iter()
        .flat_map(|objective| WINDOWS.iter().map(move |windows| compute(objective, *windows)))
        .collect()
}

/// Returns the burn rate for a tally, or 0 if there were no events.
fn burn_rate(objective: &Objective, tally: Tally) -> f64 {
    match tally.all > 0.0 {
        true => tally.bad / tally.all / (1.0 - objective.target),
        false => 0.0,
    }
}

/// Counts the events of all instances after `from_s` and up to `to_s`, by the increase
/// of their counters. The increase between two scrapes counts at the time of the later
/// one. A counter that decreased was reset by a restart and counts from zero.
fn tally(scrapes: &[Scrape], objective: &Objective, from_s: u64, to_s: u64) -> Tally {
    let mut total = Tally::default();
    let mut instances: Vec<&str> = scrapes.iter().map(|scrape| scrape.instance.as_str()).collect();
    instances.sort_unstable();
    instances.dedup();
    for instance in instances {
        let mut history: Vec<&Scrape> =
            scrapes.iter().filter(|scrape| scrape.instance == instance).collect();
        history.sort_by_key(|scrape| scrape.at_s);
        for pair in history.windows(2) {
            if pair[1].at_s <= from_s || pair[1].at_s > to_s {
                continue;
            }
            let (earlier, later) = ((objective.count)(pair[0]), (objective.count)(pair[1]));
            let was_reset = later.all < earlier.all || later.bad < earlier.bad;
            let earlier = if was_reset { Tally::default() } else { earlier };
            total.bad += later.bad - earlier.bad;
            total.all += later.all - earlier.all;
        }
    }
    total
}

/// Returns the burn rate of an objective at each scrape time, over windows of
/// `window_s` seconds.
#[must_use]
pub fn burn_rate_series(
    scrapes: &[Scrape],
    objective: &Objective,
    window_s: u64,
) -> Vec<(u64, f64)> {
    let mut times: Vec<u64> = scrapes.iter().map(|scrape| scrape.at_s).collect();
    times.sort_unstable();
    times.dedup();
    let at = |time: u64| {
        let window = tally(scrapes, objective, time.saturating_sub(window_s), time);
        (time, burn_rate(objective, window))
    };
    times.into_iter().map(at).collect()
}
