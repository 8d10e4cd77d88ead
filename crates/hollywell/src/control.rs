//! The one control thread: it owns the reducer's state, feeds it events and
//! hands its effects out.
//!
//! Traffic threads hand events in through a [`Handle`] on a bounded queue
//! and get effects on another. A full queue is the caller's to refuse; the
//! control thread itself never waits for traffic longer than it takes to
//! pass an effect on.

use std::{
    fs::File,
    io::BufWriter,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use tokio::sync::{mpsc, watch};

use crate::{
    clock::Clock,
    core::{
        effect::Effect,
        event::Event,
        reducer::{Config, State},
        time::Time,
    },
    metrics::Metrics,
    trace::Line,
    view::View,
};

/// Time between ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Longest time for which a [`View`] is out of date, in milliseconds.
const VIEW_MS: u64 = 200;

/// The queue was full, or the control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Where traffic hands its events in.
#[derive(Clone, Debug)]
pub struct Handle {
    events: mpsc::Sender<Event>,
    view: watch::Receiver<Arc<View>>,
}

impl Handle {
    /// Hands an event in if there is room for it.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if there is none; the caller refuses what it stands for.
    pub fn try_send(&self, event: Event) -> Result<(), QueueFull> {
        self.events.try_send(event).map_err(|_| QueueFull)
    }

    /// Hands an event in, waiting for room: for events that must not be
    /// lost, such as the end of an attempt.
    pub async fn send(&self, event: Event) {
        // A closed queue means that the process ends; nobody is left to tell.
        let _closed = self.events.send(event).await;
    }

    /// What the reducer's state looked like a moment ago.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }
}

/// What the control thread is started with.
#[derive(Debug)]
pub struct Options<'a> {
    /// The reducer's configuration.
    pub config: Config,
    /// Room in each queue.
    pub queue: usize,
    /// File to record events to, if any.
    pub trace: Option<&'a Path>,
    /// Where to count.
    pub metrics: Metrics,
    /// The process's clock.
    pub clock: Clock,
}

/// Starts the control thread.
///
/// # Errors
///
/// If the trace file cannot be created or the thread cannot be started.
pub fn start(options: Options<'_>) -> std::io::Result<(Handle, mpsc::Receiver<Effect>)> {
    let (events, events_in) = mpsc::channel(options.queue);
    let (effects_out, effects) = mpsc::channel(options.queue);
    let mut trace = options.trace.map(File::create).transpose()?.map(BufWriter::new);
    if let Some(trace) = &mut trace {
        Line::Config(Box::new(options.config.clone())).write(trace)?;
    }
    let state = State::new(options.config);
    let (view_out, view) = watch::channel(Arc::new(View::new(&state)));
    let mut thread = Control {
        state,
        clock: options.clock,
        metrics: options.metrics,
        trace,
        view_out,
        viewed_at: Time(0),
    };
    thread::Builder::new()
        .name(String::from("control"))
        .spawn(move || thread.run(events_in, &effects_out))?;
    Ok((Handle { events, view }, effects))
}

struct Control {
    state: State,
    clock: Clock,
    metrics: Metrics,
    trace: Option<BufWriter<File>>,
    view_out: watch::Sender<Arc<View>>,
    viewed_at: Time,
}

impl Control {
    fn run(&mut self, mut events: mpsc::Receiver<Event>, effects: &mpsc::Sender<Effect>) {
        while let Some(event) = events.blocking_recv() {
            let now = self.clock.now();
            self.record(now, &event);
            let started = Instant::now();
            let step_effects = self.state.step(now, &event);
            self.metrics.step(&event, started.elapsed());
            for effect in step_effects {
                if effects.blocking_send(effect).is_err() {
                    return;
                }
            }
            self.publish(now, &event);
        }
    }

    fn record(&mut self, now: Time, event: &Event) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let line = Line::Event { now, event: Box::new(event.clone()) };
        let written = line.write(trace);
        if let Err(error) = written {
            log::warn!("trace recording stops: {error}");
            self.trace = None;
        }
    }

    fn publish(&mut self, now: Time, event: &Event) {
        let changed = matches!(event, Event::LogRead { records, .. } if !records.is_empty());
        if changed || now.since(self.viewed_at) >= VIEW_MS {
            self.viewed_at = now;
            self.view_out.send_replace(Arc::new(View::new(&self.state)));
        }
    }
}
