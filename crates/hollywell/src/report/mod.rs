//! Service-level burn: how fast the error budgets are being used up.
//!
//! It reads scraped metrics of all instances, each scrape a file, and works
//! out for each objective and window how many times faster than allowed its
//! budget burns: the share of bad events over the share that the objective
//! allows. A pair of windows, a long and a short one, must both burn before
//! it alarms, so that it neither cries at a blip nor goes on after the end
//! ("The Site Reliability Workbook", chapter 5, "Multiwindow, Multi-Burn-Rate
//! Alerts").
//!
//! What it leaves out: keeping scrapes, which is whatever the operators
//! already run, or `hollywell report collect`.

pub mod page;
pub mod scrape;
pub mod steps;
pub mod traced;

use serde::Serialize;

use scrape::Scrape;

/// What a service level is about, and how much of it may be bad.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Objective {
    /// Its name.
    pub name: &'static str,
    /// What counts as bad, for a person.
    pub bad: &'static str,
    /// Share of events that must be good.
    pub target: f64,
    #[serde(skip)]
    count: fn(&Scrape) -> Tally,
}

/// Bad events among all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Bad events.
    pub bad: f64,
    /// All events.
    pub all: f64,
}

/// Answers slower than this count against the latency objective, in seconds;
/// a bound of the histogram.
pub const SLOW_S: f64 = 0.25;

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
    let (fast, all) = scrape.histogram("hollywell_answer_seconds", "class", "target", SLOW_S);
    Tally { bad: all - fast, all }
}

fn unknown_answers(scrape: &Scrape) -> Tally {
    let answers = |class: &str| scrape.counter("hollywell_answers_total", "class", class);
    let unknown = answers("unknown");
    Tally { bad: unknown, all: unknown + answers("target") + answers("not-run") }
}

/// A pair of windows and the burn at which both alarm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Windows {
    /// The long window, in seconds.
    pub long_s: u64,
    /// The short window, in seconds.
    pub short_s: u64,
    /// Burn from which on it alarms.
    pub alarm: f64,
}

/// The usual pairs for a budget of thirty days: a fiftieth of it in an hour,
/// a twentieth in six.
pub const WINDOWS: [Windows; 2] = [
    Windows { long_s: 3_600, short_s: 300, alarm: 14.4 },
    Windows { long_s: 21_600, short_s: 1_800, alarm: 6.0 },
];

/// Burn of one objective over one pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// The objective's name.
    pub objective: &'static str,
    /// The windows.
    pub windows: Windows,
    /// Events in the long window.
    pub long: Tally,
    /// Burn over the long window.
    pub long_burn: f64,
    /// Burn over the short window.
    pub short_burn: f64,
    /// True if both burn at or above the alarm.
    pub alarms: bool,
}

/// Works out the burn of all objectives at the time of the last scrape.
///
/// # Example
///
/// ```
/// use hollywell::report::{burns, scrape::Scrape};
///
/// let text = |late: u32, whole: u32| format!(
///     "hollywell_steps_total{{result=\"late\"}} {late}\n\
///      hollywell_steps_total{{result=\"whole\"}} {whole}\n"
/// );
/// let scrapes = [
///     Scrape::parse(0, "h1", &text(0, 0))?,
///     Scrape::parse(3_000, "h1", &text(0, 90))?,
///     // The instance was replaced: its counters began anew.
///     Scrape::parse(3_500, "h1", &text(2, 8))?,
/// ];
/// let steps = &burns(&scrapes)[0];
/// assert_eq!((steps.long.bad, steps.long.all), (2.0, 100.0));
/// assert!((steps.long_burn - 2.0).abs() < 1e-9);
/// # Ok::<(), std::io::Error>(())
/// ```
#[must_use]
pub fn burns(scrapes: &[Scrape]) -> Vec<Burn> {
    let end = scrapes.iter().map(|scrape| scrape.at_s).max().unwrap_or_default();
    let one = |objective: &Objective, windows: Windows| {
        let long = tally(scrapes, objective, end.saturating_sub(windows.long_s), end);
        let short = tally(scrapes, objective, end.saturating_sub(windows.short_s), end);
        let (long_burn, short_burn) = (burn(objective, long), burn(objective, short));
        let alarms = long_burn >= windows.alarm && short_burn >= windows.alarm;
        Burn { objective: objective.name, windows, long, long_burn, short_burn, alarms }
    };
    OBJECTIVES
        .iter()
        .flat_map(|objective| WINDOWS.iter().map(move |windows| one(objective, *windows)))
        .collect()
}

fn burn(objective: &Objective, tally: Tally) -> f64 {
    match tally.all > 0.0 {
        true => tally.bad / tally.all / (1.0 - objective.target),
        false => 0.0,
    }
}

/// Events of all instances between two times, from the counters' increases.
/// A counter that went back belongs to a new run and counts from zero.
fn tally(scrapes: &[Scrape], objective: &Objective, from_s: u64, to_s: u64) -> Tally {
    let mut total = Tally::default();
    let mut instances: Vec<&str> = scrapes.iter().map(|scrape| scrape.instance.as_str()).collect();
    instances.sort_unstable();
    instances.dedup();
    for instance in instances {
        let mut own: Vec<&Scrape> =
            scrapes.iter().filter(|scrape| scrape.instance == instance).collect();
        own.sort_by_key(|scrape| scrape.at_s);
        for pair in own.windows(2) {
            if pair[1].at_s <= from_s || pair[1].at_s > to_s {
                continue;
            }
            let (before, after) = ((objective.count)(pair[0]), (objective.count)(pair[1]));
            let began_anew = after.all < before.all || after.bad < before.bad;
            let before = if began_anew { Tally::default() } else { before };
            total.bad += after.bad - before.bad;
            total.all += after.all - before.all;
        }
    }
    total
}

/// Burn of one objective at each scrape time, over windows of `window_s`
/// seconds, for a plot.
#[must_use]
pub fn course(scrapes: &[Scrape], objective: &Objective, window_s: u64) -> Vec<(u64, f64)> {
    let mut times: Vec<u64> = scrapes.iter().map(|scrape| scrape.at_s).collect();
    times.sort_unstable();
    times.dedup();
    let at = |time: u64| {
        let window = tally(scrapes, objective, time.saturating_sub(window_s), time);
        (time, burn(objective, window))
    };
    times.into_iter().map(at).collect()
}
