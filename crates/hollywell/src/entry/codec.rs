//! How the platform spells what the product says: names of headers, and
//! functions that decode and encode bodies. An adapter fills it in.
//!
//! Plain function pointers: an adapter has nothing to remember and nothing
//! to decide.

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
    /// The id of a caller's attempt; targets echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// The target's incarnation that may run the request.
    pub target: HeaderName,
    /// A target's signature of its answer.
    pub signature: HeaderName,
    /// Marks an answer of a target that did not run the request.
    pub not_run: HeaderName,
    /// A target's load.
    pub load: HeaderName,
    /// The version of the weights under which a stream begins.
    pub version: HeaderName,
    /// The last event that the asker has.
    pub last_event: HeaderName,
    /// Rank among the target's requests.
    pub priority: HeaderName,
    /// How long a read may be held.
    pub wait: HeaderName,
    /// The organisation that asks, for targets.
    pub organisation: HeaderName,
    /// Who holds a duty.
    pub holder: HeaderName,
    /// The holder's fencing number.
    pub fence: HeaderName,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Whether this instance takes callers.
    Ready,
    /// A job's results from a position on.
    Results {
        /// The job.
        job: String,
        /// The first position wanted.
        after: usize,
    },
    /// The body of a sample that is not listed.
    SampleBody {
        /// The job.
        job: String,
        /// The sample.
        sample: String,
    },
    /// To end a job.
    EndJob {
        /// The job.
        job: String,
    },
    /// Whatever the routes say.
    Routed,
}

/// A page of a job's results.
#[derive(Clone, Debug)]
pub struct Results {
    /// Samples in the job.
    pub total: usize,
    /// The position after the last of these results.
    pub next: usize,
    /// The results.
    pub results: Vec<Delivered>,
}

/// A result with its text.
#[derive(Clone, Debug)]
pub struct Delivered {
    /// The result.
    pub outcome: Outcome,
    /// The data of all events, in order, separated by line feeds.
    pub text: Bytes,
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct VersionOrder {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// Who orders.
    pub holder: String,
    /// The fencing number.
    pub fence: u64,
    /// Orders that the engine has accepted so far, as it reported.
    pub expected: u64,
}

/// An engine's report about itself.
#[derive(Clone, Debug)]
pub struct Report {
    /// Versions of its models.
    pub versions: std::collections::BTreeMap<String, u64>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Unix millisecond of its start, where it tells.
    pub born: Option<u64>,
}

/// A record of the operator's topic.
#[derive(Clone, Debug)]
pub enum Command {
    /// A whole configuration.
    Configuration(Configuration),
    /// A trainer's newest weights.
    Version {
        /// The model.
        model: String,
        /// Its version.
        version: u64,
    },
    /// Whether a failure domain's targets are to get nothing new.
    Evacuation {
        /// The failure domain.
        domain: String,
        /// False where that was taken back.
        is_on: bool,
    },
}

/// What a record of the operator's topic says to this product, if anything, or
/// why it cannot be understood.
pub type DecodedCommand = Result<Option<Command>, String>;

/// One event of a stream of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Its number, counted from 1.
    pub id: u64,
    /// Its data.
    pub data: String,
    /// The version of the weights from this event on, if it changes.
    pub version: Option<u64>,
}

/// How the platform spells it.
#[derive(Clone, Debug)]
pub struct Codec {
    /// Names of headers.
    pub headers: Headers,
    /// The topic of the operator's wishes.
    pub operator_topic: &'static str,
    /// The topic of the targets' announcements.
    pub announcements: &'static str,
    /// What a method and a path with its query ask for.
    pub operation: fn(&Method, &http::Uri) -> Operation,
    /// Decodes a submission.
    pub submission: fn(&[u8]) -> Result<Submission, String>,
    /// Encodes a page of results.
    pub results: fn(&Results) -> Bytes,
    /// Decodes a record of the operator's topic, without a value where its
    /// key was dropped; `None` if it says nothing to this product.
    pub command: fn(&str, Option<&[u8]>) -> DecodedCommand,
    /// Decodes an announcement.
    pub announcement: fn(&str, &[u8]) -> Result<Announcement, String>,
    /// Decodes a load header.
    pub load: fn(&str) -> Option<Load>,
    /// Decodes one event of a stream of text: its lines.
    pub chunk: fn(&str) -> Result<Chunk, String>,
    /// Where usage is reported.
    pub usage_path: &'static str,
    /// Encodes a window's usage; the same counts give the same bytes.
    pub usage: fn(u64, &Counts) -> Bytes,
    /// Where and how an order is sent.
    pub order: fn(&VersionOrder) -> (&'static str, Bytes),
    /// Where an engine reports.
    pub report_path: &'static str,
    /// Decodes a report.
    pub report: fn(&[u8]) -> Result<Report, String>,
}
