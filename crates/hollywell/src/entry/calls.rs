//! Records the calls of the store: their number by kind and outcome, the bytes that
//! were read by topic, reads that it refuses for their rate, and when it last
//! responded.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use prometheus::IntCounterVec;

use crate::{
    clock::Clock,
    core::{batch::Record, time::Time},
    entry::store::{Call, Client, Page, Records, StoreError},
};

/// Minimum interval between two lines about refused reads.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// The outcome of a call that succeeded, in metrics.
const OK: &str = "ok";

/// A kind of call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Append,
    Read,
    Newest,
    Join,
    Leave,
    Members,
    Trim,
}

impl Kind {
    const fn as_str(self) -> &'static str {
        match self {
            Kind::Append => "append",
            Kind::Read => "read",
            Kind::Newest => "newest",
            Kind::Join => "join",
            Kind::Leave => "leave",
            Kind::Members => "members",
            Kind::Trim => "trim",
        }
    }

    const fn is_read(self) -> bool {
        matches!(self, Kind::Read | Kind::Newest | Kind::Members)
    }
}

/// Reads that were refused for their rate.
#[derive(Debug, Default)]
struct RefusedReads {
    /// Number of refusals since the last line.
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl RefusedReads {
    fn record(&self, kind: Kind) {
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_some_and(|at| at.elapsed() < LINE_INTERVAL) {
            return;
        }
        log::info!(
            "the store refuses reads for the rate of calls: {} since the last such line, the last a {}",
            self.unlogged.take(),
            kind.as_str()
        );
        self.logged_at.set(Some(Instant::now()));
    }
}

/// When the store last responded to a call.
#[derive(Debug)]
pub struct Answers {
    clock: Clock,
    last: Cell<Option<Time>>,
}

impl Answers {
    pub(super) const fn new(clock: Clock) -> Answers {
        Answers { clock, last: Cell::new(None) }
    }

    /// When the store last responded, be it with a refusal; `None` if it never did.
    #[must_use]
    pub const fn last(&self) -> Option<Time> {
        self.last.get()
    }
}

/// Counters of the calls.
#[derive(Clone, Debug)]
pub(super) struct Counters {
    /// Calls, by kind and outcome.
    pub calls: IntCounterVec,
    /// Bytes of the records that were read, by kind of call and topic.
    pub read_bytes: IntCounterVec,
}

/// What is recorded of the calls.
#[derive(Debug)]
struct Recorder {
    counters: Counters,
    refused_reads: RefusedReads,
    answers: Rc<Answers>,
}

impl Recorder {
    fn record(&self, kind: Kind, error: Option<&StoreError>) {
        let outcome = error.map_or(OK, StoreError::as_str);
        if error.is_none_or(StoreError::is_answer) {
            self.answers.last.set(Some(self.answers.clock.now()));
        }
        self.counters.calls.with_label_values(&[kind.as_str(), outcome]).inc();
        if kind.is_read() && error == Some(&StoreError::RateLimited) {
            self.refused_reads.record(kind);
        }
    }

    fn record_bytes(&self, kind: Kind, topic: &str, records: &[Record]) {
        let bytes = records.iter().map(Record::log_bytes).sum();
        self.counters.read_bytes.with_label_values(&[kind.as_str(), topic]).inc_by(bytes);
    }
}

/// A client whose calls are counted in `counters` and recorded in `answers`. A call
/// whose future is dropped before it completes is not recorded.
pub(super) fn recorded(client: Client, counters: Counters, answers: &Rc<Answers>) -> Client {
    let refused_reads = RefusedReads::default();
    let recorder = Rc::new(Recorder { counters, refused_reads, answers: answers.clone() });
    let read = counted_call(&recorder, client.read, |recorder, input, read: &Records| {
        recorder.record_bytes(Kind::Read, &input.read.part.topic, &read.records);
    });
    let newest = counted_call(&recorder, client.newest, |recorder, input, page: &Page| {
        recorder.record_bytes(Kind::Newest, &input.read.0.topic, &page.records);
    });
    Client {
        append: recorded_call(&recorder, Kind::Append, client.append),
        read: recorded_call(&recorder, Kind::Read, read),
        newest: recorded_call(&recorder, Kind::Newest, newest),
        join: recorded_call(&recorder, Kind::Join, client.join),
        leave: recorded_call(&recorder, Kind::Leave, client.leave),
        members: recorded_call(&recorder, Kind::Members, client.members),
        trim: recorded_call(&recorder, Kind::Trim, client.trim),
    }
}

fn recorded_call<I: 'static, O: 'static>(
    recorder: &Rc<Recorder>,
    kind: Kind,
    call: Call<I, O>,
) -> Call<I, O> {
    let recorder = recorder.clone();
    Rc::new(move |input| {
        let (recorder, answer) = (recorder.clone(), call(input));
        Box::pin(async move {
            let answer = answer.await;
            recorder.record(kind, answer.as_ref().err());
            answer
        })
    })
}

/// A call whose results are passed to `count`.
fn counted_call<I: Clone + 'static, O: 'static>(
    recorder: &Rc<Recorder>,
    call: Call<I, O>,
    count: fn(&Recorder, &I, &O),
) -> Call<I, O> {
    let recorder = recorder.clone();
    Rc::new(move |input| {
        let (recorder, answer) = (recorder.clone(), call(I::clone(&input)));
        Box::pin(async move {
            let answer = answer.await;
            if let Ok(read) = &answer {
                count(&recorder, &input, read);
            }
            answer
        })
    })
}
