//! One run of a sample at an engine: the request, its stream of events, and
//! the text that has come so far.
//!
//! The text outlives the run, so that another engine can go on after its
//! last whole event. What it leaves out: when and where to run.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;

use crate::{
    core::{
        batch::{Partial, Sample, TextRef},
        dispatch::{End, Event, Run, Slot},
        fleet::Announcement,
        poison::{Digest, Verdict},
    },
    entry::{
        codec::Chunk,
        exchange::{Error, IncomingResponse},
        lines::EventSplitter,
        samples,
        shared::Shared,
        suspects::{self, ProbeTarget},
        texts,
    },
};

/// Longest time that a run may take. Silence ends it far sooner.
const RUN_LIMIT: Duration = Duration::from_secs(60);

/// What has come of a sample's text.
#[derive(Clone, Debug, Default)]
pub struct GeneratedText {
    /// Number of the last whole event; 0 before the first.
    pub last_event: u64,
    /// The data of all events, separated by line feeds.
    pub data: String,
    /// All versions that generated an event.
    pub versions: BTreeSet<u64>,
    /// The signature of its score, once there is one.
    pub score: Option<String>,
    /// Number of the last event that the store has.
    pub saved_event: u64,
    /// Where the store has the data up to it, and how many bytes that is.
    pub stored: Vec<TextRef>,
    /// See `stored`.
    pub stored_bytes: usize,
    /// Tells this text from another one of the same sample, begun anew.
    pub identity: Rc<()>,
}

impl GeneratedText {
    fn take(&mut self, piece: &Chunk, version: u64) {
        if self.last_event > 0 {
            self.data.push('\n');
        }
        self.data.push_str(&piece.data);
        self.last_event = piece.id;
        self.versions.insert(version);
    }
}

/// Starts a run as a task of its own.
pub fn start(shared: &Rc<Shared>, run: Run, slot: Slot, target: &str, priority: u8) {
    let said = {
        let control = shared.control.borrow();
        control.fleet.targets.get(target).map(|target| target.announcement.clone())
    };
    let Some(said) = said else {
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            shared.handle_event(&Event::Ended { run, end: End::Misdirected });
        });
        return;
    };
    let task = tokio::task::spawn_local({
        let shared = shared.clone();
        async move {
            let end = go(&shared, run, &slot, &said, priority).await;
            let events = || {
                shared.control.borrow().partial_texts.get(&slot).map_or(0, |text| text.last_event)
            };
            let (job, at, id) = (&slot.job, slot.at, &said.id);
            log::debug!("sample {job}/{at} at {id}: {end:?}, {} events", events());
            shared.meters.runs.with_label_values(&[&format!("{end:?}")]).inc();
            shared.control.borrow_mut().runs.remove(&run);
            shared.handle_event(&Event::Ended { run, end });
        }
    });
    shared.control.borrow_mut().runs.insert(run, task.abort_handle());
}

/// Takes over the text that another instance, or an earlier run of this one,
/// left in the store, where it goes further than what is known here.
async fn recall(shared: &Rc<Shared>, slot: &Slot) {
    let part = shared.partition_of(&slot.job);
    let Some(partial) = kept(shared, part, slot) else {
        return;
    };
    let data = match texts::fetch(shared, &partial.texts).await {
        Ok(texts) => texts.concat(),
        // A longer one has taken its place, or the store is away; then the
        // sample begins anew, or where this instance knows.
        Err(fault) => {
            log::info!("unfinished text of {}/{}: {fault}", slot.job, slot.at);
            return;
        }
    };
    let Ok(data) = String::from_utf8(data) else {
        log::error!("unfinished text of {}/{} is not UTF-8", slot.job, slot.at);
        return;
    };
    let mut control = shared.control.borrow_mut();
    let known = control.partial_texts.get(slot).map_or(0, |text| text.last_event);
    if partial.last > known {
        // What an earlier job kept goes with that job, and is kept anew.
        let own = partial.belongs_to(&slot.job);
        let text = GeneratedText {
            last_event: partial.last,
            versions: partial.versions.into_iter().collect(),
            score: None,
            saved_event: if own { partial.last } else { 0 },
            stored_bytes: if own { data.len() } else { 0 },
            stored: if own { partial.texts } else { vec![] },
            data,
            identity: Rc::default(),
        };
        control.partial_texts.insert(slot.clone(), text);
    }
}

/// What the store keeps of a sample's text, if that is of use here.
fn kept(shared: &Shared, part: usize, slot: &Slot) -> Option<Partial> {
    let control = shared.control.borrow();
    let job = control.partitions[part].index.jobs.get(&slot.job)?;
    let partial = job.partials.get(&slot.at)?;
    let known = control.partial_texts.get(slot).map_or(0, |text| text.last_event);
    let allowed = partial.is_allowed(job.manifest.min_version);
    (partial.last > known && allowed).then(|| partial.clone())
}

async fn go(
    shared: &Rc<Shared>,
    run: Run,
    slot: &Slot,
    target: &Announcement,
    priority: u8,
) -> End {
    let Some(sample) = samples::get(shared, slot).await else {
        return End::Unready;
    };
    recall(shared, slot).await;
    let Some(request) = request(shared, slot, &sample, target, priority) else {
        return End::Impossible;
    };
    let digest = digest(shared, slot, &sample);
    // Asked last: whoever ran it before may have told of it meanwhile.
    let held = match suspects::verdict(shared, || digest) {
        Verdict::Free => false,
        Verdict::Suspect => {
            suspects::probe_target(shared, &target.pool, digest) == ProbeTarget::Nowhere
        }
        Verdict::Held(_) => true,
    };
    if held {
        shared.meters.held_back.inc();
        return End::Held;
    }
    let last_event =
        || shared.control.borrow().partial_texts.get(slot).map_or(0, |text| text.last_event);
    let before = last_event();
    let end = exchange(shared, run, slot, target, digest, request).await;
    // A sample that has got further is none that ends its targets.
    let may_have_ended = matches!(end, End::Broken | End::Stale) && last_event() == before;
    if may_have_ended && suspects::check_ended(shared, target, digest, false).await {
        return End::Broken;
    }
    end
}

/// What a sample has in common with the same sample of another job.
fn digest(shared: &Shared, slot: &Slot, sample: &Sample) -> Digest {
    let control = shared.control.borrow();
    let job = control.partitions[shared.partition_of(&slot.job)].index.jobs.get(&slot.job);
    let (host, organisation) =
        job.map_or(("", ""), |job| (&job.manifest.host, &job.manifest.organisation));
    Digest::of(&["POST", host, &sample.path, organisation], &sample.body)
}

async fn exchange(
    shared: &Rc<Shared>,
    run: Run,
    slot: &Slot,
    target: &Announcement,
    digest: Digest,
    request: Request<Full<Bytes>>,
) -> End {
    let wanted = || shared.may_send(slot) && shared.may_send_to(target);
    let sent = shared.pool.send_if(target.address, request, RUN_LIMIT, wanted).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(Error::Cancelled) => return End::Unready,
        Err(Error::StaleConnection) => return End::Stale,
        Err(error) => {
            log::info!("sample {}/{} at {}: {error}", slot.job, slot.at, target.id);
            return if error.is_not_sent() { End::Unreached } else { End::Broken };
        }
    };
    let headers = &shared.codec.headers;
    if let Some(load) = answer.header(&headers.load).and_then(shared.codec.load) {
        let now = shared.now();
        shared.control.borrow_mut().observations.record_load(now, &target.id, load);
    }
    match answer.head.status {
        StatusCode::OK => stream(shared, run, slot, target, digest, answer).await,
        StatusCode::MISDIRECTED_REQUEST => End::Misdirected,
        StatusCode::UNPROCESSABLE_ENTITY => End::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => End::Failed,
        status => {
            let refused = answer.head.headers.contains_key(&headers.not_run);
            log::debug!("sample {}/{} at {}: {status}", slot.job, slot.at, target.id);
            if refused { End::Full } else { End::Broken }
        }
    }
}

fn request(
    shared: &Shared,
    slot: &Slot,
    sample: &Sample,
    target: &Announcement,
    priority: u8,
) -> Option<Request<Full<Bytes>>> {
    let control = shared.control.borrow();
    let job = control.partitions[shared.partition_of(&slot.job)].index.jobs.get(&slot.job)?;
    let headers = &shared.codec.headers;
    let mut request = Request::post(sample.path.as_str())
        .header(http::header::HOST, job.manifest.host.as_str())
        .header(&headers.request_id, sample.id.as_str())
        .header(&headers.target, target.id.as_str())
        .header(&headers.priority, HeaderValue::from(u16::from(priority)));
    if !job.manifest.organisation.is_empty() {
        request = request.header(&headers.organisation, job.manifest.organisation.as_str());
    }
    for header in &sample.headers {
        request = request.header(header.name.as_str(), header.value.as_str());
    }
    let last = control.partial_texts.get(slot).map_or(0, |text| text.last_event);
    if last > 0 {
        request = request.header(&headers.last_event, HeaderValue::from(last));
    }
    log::debug!("sample {}/{} starts at {} after event {last}", slot.job, slot.at, target.id);
    request.body(Full::new(sample.body.clone())).ok()
}

/// What a run needs to know of its sample while events come.
struct Context<'a> {
    shared: &'a Rc<Shared>,
    run: Run,
    slot: &'a Slot,
    target: &'a Announcement,
    digest: Digest,
    model: String,
    min_version: u64,
    /// The sample's id.
    id: String,
}

impl Context<'_> {
    /// Notes why a run ends early, for the log.
    fn broken(&self, why: &dyn std::fmt::Display) -> End {
        log::info!("sample {}/{} at {}: {why}", self.slot.job, self.slot.at, self.target.id);
        End::Broken
    }

    /// Notes that the target has a version of the model.
    fn saw(&self, version: u64) {
        let Announcement { id, born, .. } = self.target;
        self.shared.control.borrow_mut().fleet.record_version(id, *born, &self.model, version);
    }

    /// Takes one whole event into the sample's text. `version` is the one
    /// that made the event before.
    fn take(&self, event: &[u8], version: &mut Option<u64>) -> Result<(), End> {
        let text = std::str::from_utf8(event).map_err(|error| self.broken(&error))?;
        let piece = (self.shared.codec.chunk)(text).map_err(|why| self.broken(&why))?;
        if let Some(newer) = piece.version {
            *version = Some(newer);
            self.saw(newer);
        }
        let Some(version) = *version else {
            return Err(self.broken(&"an event without a version"));
        };
        if version < self.min_version {
            return Err(End::WrongVersion);
        }
        {
            let mut control = self.shared.control.borrow_mut();
            let text = control.partial_texts.entry(self.slot.clone()).or_default();
            if piece.id != text.last_event + 1 {
                return Err(self.broken(&format!("event {} after {}", piece.id, text.last_event)));
            }
            text.take(&piece, version);
        }
        suspects::record_served(self.shared, || self.digest);
        self.shared.handle_event(&Event::StreamEvent { run: self.run });
        Ok(())
    }
}

async fn stream(
    shared: &Rc<Shared>,
    run: Run,
    slot: &Slot,
    target: &Announcement,
    digest: Digest,
    answer: IncomingResponse,
) -> End {
    let context = {
        let control = shared.control.borrow();
        let Some(job) =
            control.partitions[shared.partition_of(&slot.job)].index.jobs.get(&slot.job)
        else {
            return End::Broken;
        };
        let (model, min_version) = (job.manifest.model.clone(), job.manifest.min_version);
        let id = job.manifest.samples[slot.at].id.clone();
        Context { shared, run, slot, target, digest, model, min_version, id }
    };
    match events(&context, answer).await {
        Ok(()) => End::Whole,
        Err(end) => end,
    }
}

/// Takes events in until the answer ends.
async fn events(context: &Context<'_>, mut answer: IncomingResponse) -> Result<(), End> {
    let headers = &context.shared.codec.headers;
    if answer.header(&headers.request_id) != Some(context.id.as_str()) {
        return Err(context.broken(&"another request's answer"));
    }
    // Whoever asks for what follows the last event gets an answer that no
    // version made, without events: the text lacked only its end.
    let mut version = answer.header(&headers.version).and_then(|v| v.parse::<u64>().ok());
    if let Some(version) = version {
        context.saw(version);
    }
    if version.is_some_and(|version| version < context.min_version) {
        return Err(End::WrongVersion);
    }
    context.shared.handle_event(&Event::AnswerStarted { run: context.run });
    let mut splitter = EventSplitter::default();
    while let Some(data) = answer.chunk().await.map_err(|error| context.broken(&error))? {
        splitter.push(&data);
        while let Some(event) = splitter.next_event() {
            context.take(&event, &mut version)?;
        }
    }
    if !splitter.is_empty() {
        return Err(context.broken(&"ends within an event"));
    }
    let control = context.shared.control.borrow();
    match control.partial_texts.contains_key(context.slot) {
        true => Ok(()),
        false => Err(context.broken(&"ends without any event")),
    }
}
