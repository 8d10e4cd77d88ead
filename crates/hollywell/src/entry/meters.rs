//! What an entry instance on a platform counts and times, in the Prometheus
//! exposition format.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of answer times, in seconds.
const ANSWER_SECONDS: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.4, 1.0, 2.0, 5.0, 10.0];

/// All meters of one instance.
#[derive(Clone, Debug)]
pub struct Meters {
    registry: Registry,
    /// Answers to callers, by what was asked and the status.
    pub answers: IntCounterVec,
    /// Time from a request's arrival to its answer, by what was asked.
    pub answer_seconds: HistogramVec,
    /// Ends of samples' runs, by how.
    pub runs: IntCounterVec,
    /// Runs that left their target, by why.
    pub moves: IntCounterVec,
    /// Calls of the store, by whether they went well.
    pub store_calls: IntCounterVec,
    /// Bytes of keys and values appended, by what for.
    pub appended_bytes: IntCounterVec,
    /// Appends that failed, by what for and why.
    pub failed_appends: IntCounterVec,
    /// Sends of plain requests that got no answer, by why.
    pub unanswered: IntCounterVec,
    /// Targets that ended while a request of this instance was there.
    pub targets_ended: IntCounter,
    /// Requests that were held back from all targets.
    pub held_back: IntCounter,
    /// Records of suspects that could not be read.
    pub suspects_skipped: IntCounter,
    /// Reports of usage, by what they were answered.
    pub reports: IntCounterVec,
    /// The newest window of usage that this instance reported.
    pub reported_window: IntGauge,
    /// Records of usage that could not be understood.
    pub usage_skipped: IntCounter,
    /// Records of the operator that could not be understood.
    pub commands_skipped: IntCounter,
    /// Requests of callers that are not known, by why.
    pub unauthenticated: IntCounterVec,
    /// Entries of targets that could not be understood.
    pub announcements_skipped: IntCounter,
    /// Bytes in the store, as far as is known.
    pub store_used_bytes: IntGauge,
    /// Jobs rejected for lack of room in the store.
    pub jobs_without_space: IntGauge,
    /// Jobs accepted here of which nothing was known to have begun in time, by
    /// why.
    pub unstarted_jobs: IntCounterVec,
    /// Connections opened.
    pub connections_opened: IntGauge,
    /// Runs in flight.
    pub in_flight: IntGauge,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Live instances known.
    pub members: IntGauge,
    /// 1 while the instance takes callers.
    pub ready: IntGauge,
}

impl Meters {
    /// Registers all meters.
    ///
    /// # Errors
    ///
    /// If two meters have one name, which a test would show.
    pub fn new() -> prometheus::Result<Meters> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let count = |name: &str, help: &str| {
            let count = IntCounter::new(name, help)?;
            registry.register(Box::new(count.clone()))?;
            Ok::<_, prometheus::Error>(count)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let seconds = HistogramOpts::new(
            "hollywell_entry_answer_seconds",
            "Time from a request's arrival to its answer.",
        );
        let answer_seconds = HistogramVec::new(seconds.buckets(ANSWER_SECONDS.to_vec()), &["ask"])?;
        registry.register(Box::new(answer_seconds.clone()))?;
        Ok(Meters {
            answers: counter(
                "hollywell_entry_answers_total",
                "Answers to callers.",
                &["ask", "status"],
            )?,
            answer_seconds,
            runs: counter("hollywell_entry_runs_total", "Ends of samples' runs.", &["end"])?,
            moves: counter("hollywell_entry_moves_total", "Runs that left a target.", &["why"])?,
            store_calls: counter("hollywell_entry_store_total", "Calls of the store.", &["well"])?,
            appended_bytes: counter(
                "hollywell_entry_appended_bytes_total",
                "Bytes of keys and values appended to the store.",
                &["use"],
            )?,
            failed_appends: counter(
                "hollywell_entry_appends_failed_total",
                "Appends that failed.",
                &["use", "why"],
            )?,
            unanswered: counter(
                "hollywell_entry_unanswered_total",
                "Sends of plain requests without an answer.",
                &["why"],
            )?,
            targets_ended: count(
                "hollywell_entry_targets_ended_total",
                "Targets that ended under a request.",
            )?,
            held_back: count(
                "hollywell_entry_held_total",
                "Requests held back, as they end targets.",
            )?,
            suspects_skipped: count(
                "hollywell_entry_suspects_skipped_total",
                "Records of suspects not understood.",
            )?,
            reports: counter("hollywell_entry_reports_total", "Reports of usage.", &["answer"])?,
            reported_window: gauge(
                "hollywell_entry_reported_window",
                "Newest window reported here.",
            )?,
            usage_skipped: count(
                "hollywell_entry_usage_skipped_total",
                "Records of usage not understood.",
            )?,
            commands_skipped: count(
                "hollywell_entry_plans_skipped_total",
                "Records of the operator not understood.",
            )?,
            unauthenticated: counter(
                "hollywell_entry_strangers_total",
                "Requests of unknown callers.",
                &["why"],
            )?,
            announcements_skipped: count(
                "hollywell_entry_target_entries_skipped_total",
                "Entries of targets not understood.",
            )?,
            store_used_bytes: gauge(
                "hollywell_entry_store_used_bytes",
                "Bytes in the store, as known.",
            )?,
            jobs_without_space: gauge(
                "hollywell_entry_jobs_without_room",
                "Jobs rejected for room.",
            )?,
            unstarted_jobs: counter(
                "hollywell_entry_jobs_unbegun_total",
                "Jobs accepted here that had not begun in time.",
                &["why"],
            )?,
            connections_opened: gauge("hollywell_entry_connections_opened", "Connections opened.")?,
            in_flight: gauge("hollywell_entry_runs_in_flight", "Runs in flight.")?,
            configuration_version: gauge(
                "hollywell_entry_plan_version",
                "Configuration in force.",
            )?,
            members: gauge("hollywell_entry_members", "Live instances known.")?,
            ready: gauge("hollywell_entry_ready", "Whether the instance takes callers.")?,
            registry,
        })
    }

    /// All meters as text.
    ///
    /// # Errors
    ///
    /// If the text cannot be written.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
