//! Metrics in the Prometheus exposition format.
//!
//! Their names are documented in `docs/INTERFACES.md`. Clones are cheap and share
//! their state between threads.

use std::time::Duration;

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::{
    core::{effect::Counted, event::Event},
    error::Kind,
    view::View,
};

/// Histogram buckets of response times, in seconds.
const ANSWER_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];
/// Histogram buckets of the reducer's step times, in seconds.
const STEP_SECONDS: [f64; 9] = [1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 1e-3, 1e-2];

/// All metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    answer_seconds: HistogramVec,
    refusals: IntCounterVec,
    steps: IntCounterVec,
    step_seconds: HistogramVec,
    events: IntCounterVec,
    folded: IntGauge,
    ready: IntGauge,
    claims: IntGauge,
    in_flight: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let histogram = |name: &str, help: &str, label: &str, bounds: &[f64]| {
            let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            let histogram = HistogramVec::new(opts, &[label])?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Metrics {
            answers: counter("hollywell_answers_total", "Answers by class.", "class")?,
            answer_seconds: histogram(
                "hollywell_answer_seconds",
                "Time from a request's arrival to its answer.",
                "class",
                &ANSWER_SECONDS,
            )?,
            refusals: counter("hollywell_refusals_total", "Refusals by kind.", "kind")?,
            steps: counter("hollywell_steps_total", "Ended steps by result.", "result")?,
            step_seconds: histogram(
                "hollywell_reducer_step_seconds",
                "Processor time of one step of the reducer.",
                "event",
                &STEP_SECONDS,
            )?,
            events: counter("hollywell_counted_total", "Things counted by kind.", "kind")?,
            folded: gauge("hollywell_folded_offset", "Offset before which all is in force.")?,
            ready: gauge("hollywell_ready", "1 if the instance takes work.")?,
            claims: gauge("hollywell_claims", "Keys whose claims are known.")?,
            in_flight: gauge("hollywell_in_flight", "Calls and steps in flight.")?,
            registry,
        })
    }

    /// Records a target's response that was passed on.
    pub fn answered(&self, elapsed: Duration) {
        self.answers.with_label_values(&["target"]).inc();
        self.answer_seconds.with_label_values(&["target"]).observe(elapsed.as_secs_f64());
    }

    /// Records a refusal.
    pub fn refused(&self, kind: Kind, elapsed: Duration) {
        let outcome = kind.answer().outcome.as_str();
        self.answers.with_label_values(&[outcome]).inc();
        self.answer_seconds.with_label_values(&[outcome]).observe(elapsed.as_secs_f64());
        self.refusals.with_label_values(&[kind.as_str()]).inc();
    }

    /// Records the end of a trainer's step, which is on time if no sample is
    /// missing.
    pub fn step_ended(&self, missing: usize, reason: Option<Kind>) {
        let result = match (missing, reason) {
            (0, _) => "whole",
            (_, Some(Kind::Draining)) => "handed_over",
            (_, Some(Kind::DeadlinePassed)) => "late",
            _ => "refused",
        };
        self.steps.with_label_values(&[result]).inc();
    }

    /// Records the duration of one reducer step.
    pub fn step(&self, event: &Event, elapsed: Duration) {
        self.step_seconds.with_label_values(&[event_name(event)]).observe(elapsed.as_secs_f64());
    }

    /// Counts an occurrence that callers cannot observe.
    pub fn count(&self, counted: Counted) {
        self.events.with_label_values(&[counted_name(counted)]).inc();
    }

    /// Encodes the metrics as text, with gauges set from `view`.
    ///
    /// # Errors
    ///
    /// If a metric cannot be encoded.
    pub fn render(&self, view: &View) -> prometheus::Result<Vec<u8>> {
        let gauge = |gauge: &IntGauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        gauge(&self.folded, view.next);
        gauge(&self.ready, u64::from(view.ready));
        gauge(&self.claims, view.claims as u64);
        gauge(&self.in_flight, view.in_flight as u64);
        let mut text = vec![];
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Returns the name of an event in metrics and benchmarks.
#[must_use]
pub const fn event_name(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Listed(_) => "listed",
        Event::LogRead { .. } => "log_read",
        Event::Peer { .. } => "peer",
        Event::Call { .. } => "call",
        Event::Forwarded { .. } => "forwarded",
        Event::ForwardEnded { .. } => "forward_ended",
        Event::TargetEnded { .. } => "target_ended",
        Event::CallerGone { .. } => "caller_gone",
        Event::Loaded { .. } => "loaded",
        Event::Version { .. } => "version",
        Event::StepOpened { .. } => "step_opened",
        Event::SampleEnded { .. } => "sample_ended",
        Event::Edit { .. } => "edit",
        Event::OrderEnded { .. } => "order_ended",
        Event::Drain => "drain",
    }
}

const fn counted_name(counted: Counted) -> &'static str {
    match counted {
        Counted::SampleDuplicate => "sample_duplicate",
        Counted::SampleStale => "sample_stale",
        Counted::SampleUnversioned => "sample_unversioned",
        Counted::SampleFailed => "sample_failed",
        Counted::SampleDelivered => "sample_delivered",
        Counted::Hedge => "hedge",
        Counted::Retry => "retry",
        Counted::Replay => "replay",
        Counted::Activation => "activation",
    }
}
