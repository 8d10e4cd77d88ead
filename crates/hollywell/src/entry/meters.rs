//! Metrics of an entry instance on a platform, in the Prometheus exposition
//! format.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Bucket bounds of response times, in seconds.
const ANSWER_SECONDS: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.4, 1.0, 2.0, 5.0, 10.0];

/// All metrics of one instance.
#[derive(Clone, Debug)]
pub struct Meters {
    registry: Registry,
    /// Responses to callers, by operation and status.
    pub answers: IntCounterVec,
    /// Time from a request's arrival to its response, by operation.
    pub answer_seconds: HistogramVec,
    /// Finished runs of samples, by how they ended.
    pub runs: IntCounterVec,
    /// Runs that were moved away from their target, by reason.
    pub moves: IntCounterVec,
    /// Times that samples began to wait for a target with room, by reason.
    pub waits: IntCounterVec,
    /// Samples that had been at no target for a second or more, by reason; counted
    /// again each second.
    pub unplaced: IntCounterVec,
    /// Tokens of the targets' memory that are expected to stay free, by pool.
    pub free_tokens: IntGaugeVec,
    /// Calls of the store, by success.
    pub store_calls: IntCounterVec,
    /// Calls of the store, by kind and outcome.
    pub store_calls_by_kind: IntCounterVec,
    /// Bytes of the records that were read from the store, by kind of call and
    /// topic.
    pub read_bytes: IntCounterVec,
    /// Bytes that the store sent, including those of responses that were given up.
    pub received_bytes: IntCounter,
    /// Bytes of texts that were read because they lay between those wanted.
    pub unused_bytes: IntCounter,
    /// Bytes of keys and values appended to the store, by purpose.
    pub appended_bytes: IntCounterVec,
    /// Failed appends, by purpose and reason.
    pub failed_appends: IntCounterVec,
    /// Requested ends of jobs that are not stored, by reason.
    pub ends_unstored: IntGaugeVec,
    /// Age of the oldest of them in milliseconds, by reason.
    pub end_unstored_ms: IntGaugeVec,
    /// Requests to end a job that are reading whether the job exists.
    pub ends_reading: IntGauge,
    /// Attempts at plain requests that got no response, by reason.
    pub unanswered: IntCounterVec,
    /// Plain requests sent to a second target while the first had them, by what
    /// became of that: each is counted as sent, and once more at its end.
    pub hedges: IntCounterVec,
    /// Plain requests that were due for a second target but not sent to one, by
    /// reason.
    pub hedges_withheld: IntCounterVec,
    /// Load reports of plain services whose values were not believed.
    pub loads_skipped: IntCounter,
    /// Targets that exited while they had a request of this instance.
    pub targets_ended: IntCounter,
    /// Requests that were held back from all targets as poison.
    pub held_back: IntCounter,
    /// Records of suspects that could not be decoded.
    pub suspects_skipped: IntCounter,
    /// Usage reports, by the platform's response.
    pub reports: IntCounterVec,
    /// The newest usage window that this instance reported.
    pub reported_window: IntGauge,
    /// Records of usage that could not be decoded.
    pub usage_skipped: IntCounter,
    /// Records of the operator that could not be decoded.
    pub commands_skipped: IntCounter,
    /// Requests that failed authentication, by reason.
    pub unauthenticated: IntCounterVec,
    /// Announcements of targets that could not be decoded.
    pub announcements_skipped: IntCounter,
    /// Bytes used in the store, as far as known.
    pub store_used_bytes: IntGauge,
    /// Bytes used in the store beyond that, as its refusals showed.
    pub store_unaccounted_bytes: IntGauge,
    /// Jobs rejected because the store was full.
    pub jobs_without_space: IntGauge,
    /// Jobs rejected because too many samples are kept.
    pub jobs_without_memory: IntCounter,
    /// Jobs rejected because the store served no more calls.
    pub jobs_without_rate: IntCounter,
    /// Jobs rejected because they could not be complete in time.
    pub late_jobs: IntCounter,
    /// Jobs accepted by this instance that had not started in time, by reason.
    pub unstarted_jobs: IntCounterVec,
    /// Request bodies that were refused, by reason.
    pub bodies_refused: IntCounterVec,
    /// Grounds on which jobs run here after a start.
    pub inquiries: IntCounterVec,
    /// Jobs that were open at the start and that nobody vouched for, and turned
    /// out to be wanted, by on whose word.
    pub doubts_settled: IntCounterVec,
    /// Jobs that are in doubt.
    pub jobs_in_doubt: IntGauge,
    /// Connections of callers that were closed, by reason.
    pub connections_closed: IntCounterVec,
    /// Open connections of callers.
    pub callers: IntGauge,
    /// Bytes that callers' requests hold.
    pub request_bytes: IntGauge,
    /// Connections opened to targets and peers.
    pub connections_opened: IntGauge,
    /// Waiting samples that cannot be complete in time.
    pub late_samples: IntGauge,
    /// Runs in flight.
    pub in_flight: IntGauge,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Health checks of targets, by outcome.
    pub health_checks: IntCounterVec,
    /// Age of what is known of the targets, in milliseconds; -1 before they were
    /// read.
    pub targets_age_ms: IntGauge,
    /// Number of live instances.
    pub members: IntGauge,
    /// 1 while the instance is ready.
    pub ready: IntGauge,
}

impl Meters {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name, which any test would reveal.
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
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        Ok(Meters {
            answers: counter(
                "hollywell_entry_answers_total",
                "Answers to callers.",
                &["ask", "status"],
            )?,
            answer_seconds,
            runs: counter("hollywell_entry_runs_total", "Ends of samples' runs.", &["end"])?,
            moves: counter("hollywell_entry_moves_total", "Runs that left a target.", &["why"])?,
            waits: counter(
                "hollywell_entry_waits_total",
                "Samples that began to wait for room.",
                &["why"],
            )?,
            unplaced: counter(
                "hollywell_entry_unplaced_total",
                "Samples at no target for a second or more, counted each second.",
                &["why"],
            )?,
            free_tokens: gauges(
                "hollywell_entry_free_tokens",
                "Memory of targets expected to stay free, in tokens.",
                "pool",
            )?,
            store_calls: counter("hollywell_entry_store_total", "Calls of the store.", &["well"])?,
            store_calls_by_kind: counter(
                "hollywell_entry_store_calls_total",
                "Calls of the store by kind and outcome.",
                &["call", "outcome"],
            )?,
            read_bytes: counter(
                "hollywell_entry_store_read_bytes_total",
                "Bytes of records read from the store by kind of call and topic.",
                &["call", "topic"],
            )?,
            received_bytes: count(
                "hollywell_entry_store_received_bytes_total",
                "Bytes that the store sent, including responses that were given up.",
            )?,
            unused_bytes: count(
                "hollywell_entry_store_unused_bytes_total",
                "Bytes of texts read only because they lay between those wanted.",
            )?,
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
            ends_unstored: gauges(
                "hollywell_entry_ends_unstored",
                "Requested ends of jobs that are not in the store.",
                "why",
            )?,
            end_unstored_ms: gauges(
                "hollywell_entry_end_unstored_ms",
                "Age of the oldest end that is not in the store, in milliseconds.",
                "why",
            )?,
            ends_reading: gauge(
                "hollywell_entry_ends_reading",
                "Requests to end a job that read whether it exists.",
            )?,
            unanswered: counter(
                "hollywell_entry_unanswered_total",
                "Sends of plain requests without an answer.",
                &["why"],
            )?,
            hedges: counter(
                "hollywell_entry_hedges_total",
                "Second sends of plain requests.",
                &["end"],
            )?,
            hedges_withheld: counter(
                "hollywell_entry_hedges_withheld_total",
                "Second sends of plain requests that were due and withheld.",
                &["why"],
            )?,
            loads_skipped: count(
                "hollywell_entry_loads_skipped_total",
                "Load reports of plain services not believed.",
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
            store_unaccounted_bytes: gauge(
                "hollywell_entry_store_unaccounted_bytes",
                "Bytes in the store beyond those known, by its refusals.",
            )?,
            jobs_without_space: gauge(
                "hollywell_entry_jobs_without_room",
                "Jobs rejected for room.",
            )?,
            jobs_without_memory: count(
                "hollywell_entry_jobs_without_memory_total",
                "Jobs rejected, as too many samples are kept.",
            )?,
            jobs_without_rate: count(
                "hollywell_entry_jobs_without_rate_total",
                "Jobs rejected, as the store serves no more calls.",
            )?,
            late_jobs: count(
                "hollywell_entry_jobs_late_total",
                "Jobs rejected, as they would be late.",
            )?,
            health_checks: counter(
                "hollywell_entry_health_checks_total",
                "Health checks of targets of which too little was known.",
                &["outcome"],
            )?,
            unstarted_jobs: counter(
                "hollywell_entry_jobs_unbegun_total",
                "Jobs accepted here that had not begun in time.",
                &["why"],
            )?,
            inquiries: counter(
                "hollywell_entry_inquiries_total",
                "Grounds on which jobs run after a start.",
                &["grounds"],
            )?,
            doubts_settled: counter(
                "hollywell_entry_doubts_settled_total",
                "Jobs open at the start that turned out to be wanted.",
                &["by"],
            )?,
            jobs_in_doubt: gauge(
                "hollywell_entry_jobs_in_doubt",
                "Jobs open at the start that wait for a caller.",
            )?,
            bodies_refused: counter(
                "hollywell_entry_bodies_refused_total",
                "Request bodies refused.",
                &["why"],
            )?,
            connections_closed: counter(
                "hollywell_entry_connections_closed_total",
                "Connections of callers that were overdue or made room.",
                &["why"],
            )?,
            callers: gauge("hollywell_entry_callers", "Open connections of callers.")?,
            request_bytes: gauge("hollywell_entry_request_bytes", "Memory held by requests.")?,
            connections_opened: gauge("hollywell_entry_connections_opened", "Connections opened.")?,
            late_samples: gauge(
                "hollywell_entry_samples_late",
                "Waiting samples that cannot be in time.",
            )?,
            in_flight: gauge("hollywell_entry_runs_in_flight", "Runs in flight.")?,
            configuration_version: gauge(
                "hollywell_entry_plan_version",
                "Configuration in force.",
            )?,
            targets_age_ms: gauge(
                "hollywell_entry_targets_age_ms",
                "Age of what is known of the targets, in milliseconds; -1 before they were read.",
            )?,
            members: gauge("hollywell_entry_members", "Live instances known.")?,
            ready: gauge("hollywell_entry_ready", "Whether the instance takes callers.")?,
            registry,
        })
    }

    /// All metrics in the text exposition format.
    ///
    /// # Errors
    ///
    /// If encoding fails.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
