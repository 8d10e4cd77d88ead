//! The platform's wire formats: names of headers, and functions that decode and
//! encode bodies. An adapter provides them.
//!
//! They are plain function pointers, because an adapter has no state and takes
//! no decisions.

use bytes::Bytes;
use http::{HeaderName, Method};

use crate::core::{
    batch::{Outcome, Submission},
    choice::Load,
    configuration::Configuration,
    fleet::Announcement,
    usage::Counts,
};

/// Names of headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id that a caller gives each attempt; targets echo it.
    pub request_id: HeaderName,
    /// How long the sender waits for the response, in milliseconds.
    pub deadline: HeaderName,
    /// The incarnation of the target that may run the request.
    pub target: HeaderName,
    /// The id of the target that answers a health check.
    pub instance: HeaderName,
    /// A target's signature of its response.
    pub signature: HeaderName,
    /// Marks a response of a target that did not run the request.
    pub not_run: HeaderName,
    /// A target's load.
    pub load: HeaderName,
    /// The version of the weights with which a stream begins.
    pub version: HeaderName,
    /// The version that a target must have to run a request.
    pub expected_version: HeaderName,
    /// The last event that the client received, to resume a stream after it.
    pub last_event: HeaderName,
    /// The request's priority at the target.
    pub priority: HeaderName,
    /// The longest wait of a long poll, in milliseconds.
    pub wait: HeaderName,
    /// The caller's organisation, as targets are told.
    pub organisation: HeaderName,
    /// The holder of the lease of a duty.
    pub holder: HeaderName,
    /// The holder's fencing token.
    pub fence: HeaderName,
}

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Checks whether this instance is ready.
    Ready,
    /// Reads a job's results from a position.
    Results {
        /// The job.
        job: String,
        /// The number of results to skip.
        after: usize,
    },
    /// Reads the body of a sample that has no result yet.
    SampleBody {
        /// The job.
        job: String,
        /// The sample.
        sample: String,
    },
    /// Ends a job.
    EndJob {
        /// The job.
        job: String,
    },
    /// Any other request, handled according to the routes.
    Routed,
}

/// A page of a job's results.
#[derive(Clone, Debug)]
pub struct Results {
    /// The number of samples in the job.
    pub total: usize,
    /// The position after the last of these results.
    pub next: usize,
    /// The results.
    pub results: Vec<Delivered>,
}

/// A sample's result with its text.
#[derive(Clone, Debug)]
pub struct Delivered {
    /// The result.
    pub outcome: Outcome,
    /// The data of all events in order, separated by line feeds.
    pub text: Bytes,
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct VersionOrder {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The holder of the lease under which the order is given.
    pub holder: String,
    /// The fencing token of the lease.
    pub fence: u64,
    /// The number of orders that the engine has accepted, as it reported last.
    pub expected: u64,
    /// Running requests finish under the version with which they began, instead
    /// of continuing under the new one.
    pub runs_finish: bool,
}

/// An engine's status report.
#[derive(Clone, Debug)]
pub struct Report {
    /// The loaded version of each model.
    pub versions: std::collections::BTreeMap<String, u64>,
    /// An order is in progress.
    pub busy: bool,
    /// The number of orders accepted since the engine started.
    pub orders: u64,
    /// When the engine started, in Unix milliseconds, if it reports that.
    pub born: Option<u64>,
}

/// A command that the operator wrote to its topic.
#[derive(Clone, Debug)]
pub enum Command {
    /// A complete configuration.
    Configuration(Configuration),
    /// The newest version of a model's weights.
    Version {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Whether a failure domain is evacuated: its targets get no new requests.
    Evacuation {
        /// The failure domain.
        domain: String,
        /// False if the evacuation was cancelled.
        is_on: bool,
    },
}

/// The command in a record of the operator's topic; `None` if the record does
/// not concern this product, or why it cannot be decoded.
pub type DecodedCommand = Result<Option<Command>, String>;

/// One event of a stream of generated text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The event's number, counted from 1.
    pub id: u64,
    /// The text.
    pub data: String,
    /// The version of the weights from this event on, if it changed.
    pub version: Option<u64>,
}

/// Why a submission was not decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionError {
    /// It is not valid; with the reason, for the log.
    Malformed(String),
    /// There is no memory for what is decoded.
    NoMemory,
}

/// Called with the bytes of memory that are about to be taken; false if there
/// are none.
pub type TakeMemory<'a> = &'a mut dyn FnMut(usize) -> bool;

/// The platform's names and formats.
#[derive(Clone, Debug)]
pub struct Codec {
    /// Names of headers.
    pub headers: Headers,
    /// The topic that holds the operator's commands.
    pub operator_topic: &'static str,
    /// The topic that holds the targets' announcements.
    pub announcements: &'static str,
    /// Maps a method and a path with its query to an operation.
    pub operation: fn(&Method, &http::Uri) -> Operation,
    /// Decodes the submission of a job. Its samples may take much more memory
    /// than its bytes.
    pub submission: fn(&[u8], TakeMemory<'_>) -> Result<Submission, SubmissionError>,
    /// Encodes a page of results.
    pub results: fn(&Results) -> Bytes,
    /// Decodes a record of the operator's topic from its key and value. The
    /// value is `None` if the key was deleted.
    pub command: fn(&str, Option<&[u8]>) -> DecodedCommand,
    /// Decodes a target's announcement from its key and value.
    pub announcement: fn(&str, &[u8]) -> Result<Announcement, String>,
    /// Decodes the value of the load header.
    pub load: fn(&str) -> Option<Load>,
    /// Decodes the lines of one event of a stream of text.
    pub chunk: fn(&str) -> Result<Chunk, String>,
    /// The path to which usage is reported.
    pub usage_path: &'static str,
    /// Encodes a window's usage. The encoding is deterministic: the same counts
    /// give the same bytes.
    pub usage: fn(u64, &Counts) -> Bytes,
    /// The path and body of an order.
    pub order: fn(&VersionOrder) -> (&'static str, Bytes),
    /// The path of an engine's status report.
    pub report_path: &'static str,
    /// Decodes a status report.
    pub report: fn(&[u8]) -> Result<Report, String>,
}
