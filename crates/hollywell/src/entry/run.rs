//! One run of a sample at an engine: the request, its stream of events, and
//! the text generated so far.
//!
//! The text outlives the run, so that another engine can resume after its last
//! complete event. When and where samples run is decided in
//! [`crate::core::dispatch`].

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

use crate::{
    core::{
        batch::{Partial, Sample, TextRef},
        dispatch::{End, Event, Run, SampleId},
        fleet::Announcement,
        versions::{Rule, Verdict},
    },
    entry::{
        codec::Chunk,
        confirm,
        event_stream::EventStream,
        exchange::{Checkout, Error, IncomingResponse, Reuse},
        samples,
        shared::Shared,
        texts, versions,
    },
};

/// Timeout of a response's head and of each event. A stream that stalls leaves
/// its target long before that if another one has room.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a run. The text that it made is resumed by the next one.
const RUN_TIMEOUT: Duration = Duration::from_secs(600);

/// Attempts in a row to continue a text, at targets that have another version
/// than is known, until it is generated again: what is known of the targets may
/// be out of date for as long as the store is unavailable.
const MAX_FAILED_RESUMPTIONS: u32 = 3;

/// The text of a sample, as far as it was generated.
#[derive(Clone, Debug, Default)]
pub struct GeneratedText {
    /// Number of the last complete event; 0 before the first.
    pub last_event: u64,
    /// The data of all events, separated by line feeds.
    pub data: String,
    /// All versions of the weights that generated an event.
    pub versions: BTreeSet<u64>,
    /// The signature of the sample's score, once it is scored.
    pub score: Option<String>,
    /// Number of the last event that is in the store.
    pub saved_event: u64,
    /// Where the data up to that event is stored, in order.
    pub stored: Vec<TextRef>,
    /// The size of that data, in bytes.
    pub stored_bytes: usize,
    /// Attempts in a row to continue it that added no event, because the target
    /// had another version.
    pub failed_resumptions: u32,
    /// Distinguishes this text from one of the same sample that was generated
    /// from scratch.
    pub identity: Rc<()>,
}

impl GeneratedText {
    /// Whether a target that has this version of the weights may continue the
    /// text.
    fn may_continue(&self, rule: Rule, target: Option<u64>) -> bool {
        let is_hopeless = rule.single_version && self.failed_resumptions >= MAX_FAILED_RESUMPTIONS;
        !is_hopeless && rule.may_continue(self.versions.iter().copied(), target)
    }

    /// Appends an event. Returns whether its version generated none before.
    fn append(&mut self, chunk: &Chunk, version: u64) -> bool {
        if self.last_event > 0 {
            self.data.push('\n');
        }
        self.data.push_str(&chunk.data);
        self.last_event = chunk.id;
        self.failed_resumptions = 0;
        self.versions.insert(version)
    }
}

/// Starts a run in a task of its own.
pub fn start(shared: &Rc<Shared>, run: Run, sample_id: SampleId, target: &str, priority: u8) {
    let announcement = {
        let control = shared.control.borrow();
        control.fleet.targets.get(target).map(|target| target.announcement.clone())
    };
    let Some(announcement) = announcement else {
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            shared.handle_event(&Event::Ended { run, end: End::Misdirected });
        });
        return;
    };
    let task = tokio::task::spawn_local({
        let shared = shared.clone();
        async move {
            let end = execute(&shared, run, &sample_id, &announcement, priority).await;
            let events = || {
                shared
                    .control
                    .borrow()
                    .partial_texts
                    .get(&sample_id)
                    .map_or(0, |text| text.last_event)
            };
            let (job, at, id) = (&sample_id.job, sample_id.index, &announcement.id);
            log::debug!("sample {job}/{at} at {id}: {end:?}, {} events", events());
            shared.meters.runs.with_label_values(&[&format!("{end:?}")]).inc();
            shared.control.borrow_mut().runs.remove(&run);
            shared.handle_event(&Event::Ended { run, end });
        }
    });
    shared.control.borrow_mut().runs.insert(run, task.abort_handle());
}

/// Loads the partial text that another instance, or an earlier run of this one,
/// left in the store, if it is longer than the text in memory and the target may
/// continue it.
async fn load_partial(shared: &Rc<Shared>, sample_id: &SampleId, target: &Announcement) {
    let part = shared.partition_of(&sample_id.job);
    let Some(partial) = stored_partial(shared, part, sample_id, target) else {
        return;
    };
    let fetched = texts::fetch(&shared.reader, &shared.text_cache, &partial.texts).await;
    let data = match fetched.map(|texts| texts.into_iter().collect::<Option<Vec<Bytes>>>()) {
        Ok(Some(texts)) => texts.concat(),
        Ok(None) => {
            log::info!(
                "the partial text of {}/{} is no longer stored",
                sample_id.job,
                sample_id.index
            );
            return;
        }
        // The run resumes from the text in memory, or starts from scratch.
        Err(error) => {
            log::info!(
                "failed to read the partial text of {}/{}: {error}",
                sample_id.job,
                sample_id.index
            );
            return;
        }
    };
    let Ok(data) = String::from_utf8(data) else {
        log::error!("the partial text of {}/{} is not UTF-8", sample_id.job, sample_id.index);
        return;
    };
    let mut control = shared.control.borrow_mut();
    let in_memory = control.partial_texts.get(sample_id).map_or(0, |text| text.last_event);
    let is_longer = partial.last > in_memory;
    if is_longer {
        // Records of an earlier job are deleted with that job, so the text has
        // to be stored again under this one.
        let is_own = partial.belongs_to(&sample_id.job);
        let text = GeneratedText {
            last_event: partial.last,
            versions: partial.versions.into_iter().collect(),
            score: None,
            saved_event: if is_own { partial.last } else { 0 },
            stored_bytes: if is_own { data.len() } else { 0 },
            stored: if is_own { partial.texts } else { vec![] },
            data,
            failed_resumptions: 0,
            identity: Rc::default(),
        };
        control.partial_texts.insert(sample_id.clone(), text);
    }
    drop(control);
    if is_longer {
        versions::report_text(shared, sample_id);
    }
}

/// The partial text of a sample in the store, if it is longer than the text in
/// memory and the target may continue it.
fn stored_partial(
    shared: &Shared,
    part: usize,
    sample_id: &SampleId,
    target: &Announcement,
) -> Option<Partial> {
    let control = shared.control.borrow();
    let job = control.partitions[part].index.jobs.get(&sample_id.job)?;
    let partial = job.partials.get(&sample_id.index)?;
    let in_memory = control.partial_texts.get(sample_id).map_or(0, |text| text.last_event);
    let rule = versions::rule(shared, &control, &sample_id.job);
    let target = versions::of_target(shared, &control, &sample_id.job, target);
    let allowed = rule.may_continue(partial.versions.iter().copied(), target);
    (partial.last > in_memory && allowed).then(|| partial.clone())
}

async fn execute(
    shared: &Rc<Shared>,
    run: Run,
    sample_id: &SampleId,
    target: &Announcement,
    priority: u8,
) -> End {
    let Some(sample) = samples::get(shared, sample_id).await else {
        return End::Unready;
    };
    load_partial(shared, sample_id, target).await;
    let Some(request) = request(shared, sample_id, &sample, target, priority) else {
        return End::Impossible;
    };
    let last_event =
        || shared.control.borrow().partial_texts.get(sample_id).map_or(0, |text| text.last_event);
    let last_before = last_event();
    let end = exchange(shared, run, sample_id, target, request).await;
    if matches!(end, End::Misdirected | End::VersionChanged) && last_event() == last_before {
        let mut control = shared.control.borrow_mut();
        if let Some(text) = control.partial_texts.get_mut(sample_id) {
            text.failed_resumptions += 1;
        }
    }
    // A target that crashed says nothing about the sample, which stays owed.
    let may_have_ended = matches!(end, End::Broken | End::Stale) && last_event() == last_before;
    if may_have_ended && shared.pool.has_exited(target.address).await {
        shared.meters.targets_ended.inc();
        log::info!(
            "target {} has ended while sample {}/{} was there",
            target.incarnation(),
            sample_id.job,
            sample_id.index
        );
        return End::Broken;
    }
    end
}

async fn exchange(
    shared: &Rc<Shared>,
    run: Run,
    sample_id: &SampleId,
    target: &Announcement,
    TextRequest { request, resumed_after }: TextRequest,
) -> End {
    let started = shared.now();
    if !confirm::is_usable(shared, target).await {
        return End::Full;
    }
    let sent = timeout(EVENT_TIMEOUT, send(shared, run, sample_id, target, request)).await;
    let response = match sent.unwrap_or(Err(Error::TimedOut)) {
        Ok(response) => response,
        Err(Error::Cancelled) => return End::Unready,
        Err(Error::StaleConnection) => return End::Stale,
        Err(error) => {
            log::info!("sample {}/{} at {}: {error}", sample_id.job, sample_id.index, target.id);
            return if error.is_not_sent() { End::Unreached } else { End::Broken };
        }
    };
    confirm::record_answer(shared, started, target, &response);
    let headers = &shared.codec.headers;
    let _load = shared.record_load(shared.now(), &target.id, &response);
    match response.head.status {
        StatusCode::OK => stream(shared, (run, resumed_after), sample_id, target, response).await,
        StatusCode::MISDIRECTED_REQUEST => End::Misdirected,
        StatusCode::UNPROCESSABLE_ENTITY => End::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => End::Failed,
        status => {
            let was_not_run = response.head.headers.contains_key(&headers.not_run);
            let load = response.header(&headers.load);
            log::debug!(
                "sample {}/{} at {}: {status}, load {}",
                sample_id.job,
                sample_id.index,
                target.id,
                load.unwrap_or("not stated")
            );
            if was_not_run { End::Full } else { End::Broken }
        }
    }
}

/// A run's request that is sent on a connection. One that is given up without an
/// answer on a pooled connection may not have reached its target: the sample's
/// next run uses a new connection.
struct Attempt<'a> {
    shared: &'a Shared,
    sample_id: &'a SampleId,
    checkout: Checkout,
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.checkout.is_unanswered() {
            self.shared.unanswered.borrow_mut().insert(self.sample_id.clone());
        }
    }
}

async fn send(
    shared: &Rc<Shared>,
    run: Run,
    sample_id: &SampleId,
    target: &Announcement,
    request: Request<Full<Bytes>>,
) -> Result<IncomingResponse, Error> {
    let was_unanswered = shared.unanswered.borrow_mut().remove(sample_id);
    let reuse = if was_unanswered { Reuse::Avoided } else { Reuse::Allowed };
    let checkout = shared.pool.check_out(target.address, reuse).await?;
    if !(shared.may_send(sample_id) && shared.may_send_to(target)) {
        shared.pool.give_back(checkout);
        return Err(Error::Cancelled);
    }
    shared.log_send(target, &format!("{}/{}", sample_id.job, sample_id.index));
    shared.handle_event(&Event::Sent { run });
    let mut attempt = Attempt { shared, sample_id, checkout };
    shared.pool.send_on(&mut attempt.checkout, request).await
}

/// A request for a sample's text.
struct TextRequest {
    request: Request<Full<Bytes>>,
    /// The event after which the text is continued; 0 if it is generated from
    /// the start.
    resumed_after: u64,
}

fn request(
    shared: &Shared,
    sample_id: &SampleId,
    sample: &Sample,
    target: &Announcement,
    priority: u8,
) -> Option<TextRequest> {
    let control = shared.control.borrow();
    let job =
        control.partitions[shared.partition_of(&sample_id.job)].index.jobs.get(&sample_id.job)?;
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
    let rule = versions::rule(shared, &control, &sample_id.job);
    let version = versions::of_target(shared, &control, &sample_id.job, target);
    let text = control.partial_texts.get(sample_id);
    let text = text.filter(|text| text.may_continue(rule, version));
    let last = text.map_or(0, |text| text.last_event);
    if last > 0 {
        request = request.header(&headers.last_event, HeaderValue::from(last));
    }
    log::debug!(
        "sample {}/{} starts at {} after event {last}",
        sample_id.job,
        sample_id.index,
        target.id
    );
    let mut request = request.body(Full::new(sample.body.clone())).ok()?;
    if let Some(version) = version.filter(|_| last > 0 && rule.single_version) {
        request.headers_mut().insert(&headers.expected_version, HeaderValue::from(version));
    }
    Some(TextRequest { request, resumed_after: last })
}

/// What a run needs while it reads its stream of events.
struct Context<'a> {
    shared: &'a Rc<Shared>,
    run: Run,
    sample_id: &'a SampleId,
    target: &'a Announcement,
    model: String,
    /// The event after which the run continues the text; 0 if it generates it
    /// from the start.
    resumed_after: u64,
    /// Size of the longest text that can be stored, in bytes.
    max_text_bytes: usize,
}

impl Context<'_> {
    /// Logs why a run failed and returns its end.
    fn broken(&self, why: &dyn std::fmt::Display) -> End {
        log::info!(
            "sample {}/{} at {}: {why}",
            self.sample_id.job,
            self.sample_id.index,
            self.target.id
        );
        End::Broken
    }

    /// Records that the target serves a version of the model.
    fn saw(&self, version: u64) {
        let Announcement { id, start_ms, .. } = self.target;
        self.shared.control.borrow_mut().fleet.record_version(id, *start_ms, &self.model, version);
    }

    /// Why an event of a version, which the text would have next, ends the run.
    fn check_version(&self, version: u64) -> Result<(), End> {
        let SampleId { job, index } = self.sample_id;
        let verdict = {
            let control = self.shared.control.borrow();
            let rule = versions::rule(self.shared, &control, job);
            let text = control.partial_texts.get(self.sample_id);
            rule.judge(text.map_or(&BTreeSet::new(), |text| &text.versions), version)
        };
        let end = match verdict {
            Verdict::Append => return Ok(()),
            Verdict::TooOld => return Err(End::WrongVersion),
            Verdict::Changed => End::VersionChanged,
            Verdict::Mixed => End::MixedVersions,
        };
        let id = &self.target.id;
        log::info!("sample {job}/{index} at {id} is cut: version {version}, {end:?}");
        Err(end)
    }

    /// Why a response that begins with a version ends the run. It concerns the
    /// text in memory only if the run continues that.
    fn check_head(&self, version: u64) -> Result<(), End> {
        if self.resumed_after > 0 {
            return self.check_version(version);
        }
        let control = self.shared.control.borrow();
        let rule = versions::rule(self.shared, &control, &self.sample_id.job);
        if rule.allows([version]) { Ok(()) } else { Err(End::WrongVersion) }
    }

    /// Discards the text that the run does not continue.
    fn begin_text(&self) {
        let discarded = {
            let mut control = self.shared.control.borrow_mut();
            let is_continued = self.resumed_after > 0;
            if is_continued { None } else { control.partial_texts.remove(self.sample_id) }
        };
        if let Some(text) = discarded {
            log::info!(
                "sample {}/{} is generated again at {}: {} events of {:?} are discarded",
                self.sample_id.job,
                self.sample_id.index,
                self.target.id,
                text.last_event,
                text.versions
            );
            self.shared.handle_event(&Event::Restarted { run: self.run });
        }
    }

    /// Appends one complete event to the sample's text. `version` is the version
    /// that generated the previous event, and is updated.
    fn append(&self, event: &[u8], version: &mut Option<u64>) -> Result<(), End> {
        let text = std::str::from_utf8(event).map_err(|error| self.broken(&error))?;
        let chunk = (self.shared.codec.chunk)(text).map_err(|why| self.broken(&why))?;
        if let Some(new_version) = chunk.version {
            *version = Some(new_version);
            self.saw(new_version);
        }
        let Some(version) = *version else {
            return Err(self.broken(&"event without a weight version"));
        };
        self.check_version(version)?;
        let new_version = {
            let mut control = self.shared.control.borrow_mut();
            let text = control.partial_texts.entry(self.sample_id.clone()).or_default();
            if chunk.id != text.last_event + 1 {
                return Err(
                    self.broken(&format!("event {} follows event {}", chunk.id, text.last_event))
                );
            }
            let is_new = text.append(&chunk, version);
            if text.data.len() > self.max_text_bytes {
                self.broken(&format!("the text has more than {} bytes", self.max_text_bytes));
                return Err(End::Oversized);
            }
            is_new.then(|| text.versions.first().copied().filter(|_| text.versions.len() == 1))
        };
        if let Some(version) = new_version {
            let sample_id = self.sample_id.clone();
            self.shared.handle_event(&Event::TextVersion { sample_id, version });
        }
        self.shared.handle_event(&Event::StreamEvent { run: self.run });
        Ok(())
    }
}

async fn stream(
    shared: &Rc<Shared>,
    (run, resumed_after): (Run, u64),
    sample_id: &SampleId,
    target: &Announcement,
    response: IncomingResponse,
) -> End {
    let context = {
        let control = shared.control.borrow();
        let Some(job) =
            control.partitions[shared.partition_of(&sample_id.job)].index.jobs.get(&sample_id.job)
        else {
            return End::Broken;
        };
        let model = job.manifest.model.clone();
        let max_text_bytes = texts::max_bytes(&shared.settings.store);
        Context { shared, run, sample_id, target, model, resumed_after, max_text_bytes }
    };
    match timeout(RUN_TIMEOUT, events(&context, response)).await {
        Ok(Ok(())) => End::Whole,
        Ok(Err(end)) => end,
        Err(_) => context.broken(&Error::TimedOut),
    }
}

/// Reads events until the response ends.
async fn events(context: &Context<'_>, response: IncomingResponse) -> Result<(), End> {
    let headers = &context.shared.codec.headers;
    // A resumed stream whose text was already complete ends without an event
    // and states no version.
    let mut version = response.header(&headers.version).and_then(|v| v.parse::<u64>().ok());
    if let Some(version) = version {
        context.saw(version);
        context.check_head(version)?;
    }
    context.begin_text();
    context.shared.handle_event(&Event::AnswerStarted { run: context.run });
    let mut stream = EventStream::new(response, EVENT_TIMEOUT);
    while let Some(event) = stream.next().await.map_err(|error| context.broken(&error))? {
        context.append(&event, &mut version)?;
    }
    let control = context.shared.control.borrow();
    let rule = versions::rule(context.shared, &control, &context.sample_id.job);
    match control.partial_texts.get(context.sample_id) {
        Some(text) if rule.allows(text.versions.iter().copied()) => Ok(()),
        Some(_) => Err(End::MixedVersions),
        None => Err(context.broken(&"the stream ends without any event")),
    }
}
