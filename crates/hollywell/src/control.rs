//! The control thread, which owns the reducer's state, feeds it events and
//! publishes its effects.
//!
//! Traffic threads submit events through a [`Handle`] to a bounded queue and
//! receive effects from another. If the queue is full, the submitter refuses the
//! request. The control thread blocks on traffic only while the queue of effects
//! is full.

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
/// Maximum age of a [`View`] while events arrive, in milliseconds.
const VIEW_MS: u64 = 200;

/// The queue is full, or the control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Submits events to the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    events: mpsc::Sender<Event>,
    view: watch::Receiver<Arc<View>>,
}

impl Handle {
    /// Submits an event without waiting.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue has no capacity; the caller then refuses the
    /// request that the event stands for.
    pub fn try_send(&self, event: Event) -> Result<(), QueueFull> {
        self.events.try_send(event).map_err(|_| QueueFull)
    }

    /// Submits an event, waiting for capacity. Used for events that must not be
    /// lost, such as the end of an attempt.
    pub async fn send(&self, event: Event) {
        // A closed queue means that the process is exiting.
        let _closed = self.events.send(event).await;
    }

    /// Returns the latest published view of the reducer's state.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }
}

/// Options of the control thread.
#[derive(Debug)]
pub struct Options<'a> {
    /// The reducer's configuration.
    pub config: Config,
    /// Capacity of each queue.
    pub queue: usize,
    /// File to record events to, if any.
    pub trace: Option<&'a Path>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Clock of the process.
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
        published_at: Time(0),
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
    published_at: Time,
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
            log::warn!("trace recording stopped: {error}");
            self.trace = None;
        }
    }

    fn publish(&mut self, now: Time, event: &Event) {
        let changed = matches!(event, Event::LogRead { records, .. } if !records.is_empty());
        if changed || now.since(self.published_at) >= VIEW_MS {
            self.published_at = now;
            self.view_out.send_replace(Arc::new(View::new(&self.state)));
        }
    }
}
