//! Recorded traces: the events that one instance processed, as lines of JSON.
//!
//! The first line holds the instance's configuration. Since the reducer has no
//! other input, a trace can be replayed by itself.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};

use crate::core::{
    effect::Effect,
    event::Event,
    reducer::{Config, State},
    time::Time,
};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// The configuration at the start of the instance; the first line.
    Config(Box<Config>),
    /// A processed event.
    Event {
        /// Time at which it was processed.
        now: Time,
        /// The event.
        event: Box<Event>,
    },
}

impl Line {
    /// Writes the line with a line break, and flushes.
    ///
    /// # Errors
    ///
    /// Those of the writer.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut *to, self)?;
        to.write_all(b"\n")?;
        to.flush()
    }
}

/// Feeds a trace to a reducer and returns the effects of each event.
///
/// # Errors
///
/// If a line cannot be read, with its number, or if the first line is not the
/// configuration.
///
/// # Example
///
/// ```
/// use hollywell::{prelude::*, trace::{Line, replay}};
///
/// let config = Config::new(Instance::new("a", 1), "ruwi-hall", &["ruwi-hall"]);
/// let mut trace = vec![];
/// Line::Config(Box::new(config)).write(&mut trace)?;
/// Line::Event { now: Time(5), event: Box::new(Event::Drain) }.write(&mut trace)?;
/// // A shutdown begins with the next tick.
/// assert_eq!(replay(trace.as_slice())?, [vec![]]);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn replay(trace: impl BufRead) -> io::Result<Vec<Vec<Effect>>> {
    let mut all = vec![];
    replay_each(trace, |_, _, effects| all.push(effects.to_vec()))?;
    Ok(all)
}

/// Feeds a trace to a reducer and calls `each` with the time, event and effects of
/// each step.
///
/// # Errors
///
/// Those of [`replay`].
pub fn replay_each(
    trace: impl BufRead,
    mut each: impl FnMut(Time, &Event, &[Effect]),
) -> io::Result<()> {
    let mut state = None;
    for (index, line) in trace.lines().enumerate() {
        let invalid = |text: &str| {
            let text = format!("line {}: {text}", index + 1);
            io::Error::new(io::ErrorKind::InvalidData, text)
        };
        let line: Line =
            serde_json::from_str(&line?).map_err(|error| invalid(&error.to_string()))?;
        match (line, &mut state) {
            (Line::Config(config), state) => *state = Some(State::new(*config)),
            (Line::Event { now, event }, Some(state)) => {
                let effects = state.step(now, &event);
                each(now, &event, &effects);
            }
            (Line::Event { .. }, None) => return Err(invalid("event before the configuration")),
        }
    }
    Ok(())
}
