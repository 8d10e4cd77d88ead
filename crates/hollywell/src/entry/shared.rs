//! What all tasks of an instance share, and the one place where events are
//! taken in and effects are carried out.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, watch},
    task::AbortHandle,
};

use crate::{
    clock::Clock,
    core::{
        batch::{self, Bundle, Change, Index, Record, Written},
        capacity,
        choice::Observations,
        configuration::{Configuration, RouteKind},
        dispatch::{self, Effect, Event, JobSpec, Run, SampleId},
        ending,
        fleet::{Announcement, Fleet},
        group::GroupSize,
        permit::Permits,
        poison,
        roster::Roster,
        time::Time,
        weight_loading::Models,
    },
    entry::{
        codec::Codec,
        ends,
        exchange::Pool,
        feed::Feed,
        garbage, jobs, member,
        meters::Meters,
        outbox,
        reader::Reader,
        relay::Relay,
        resume, run,
        run::GeneratedText,
        settings::Settings,
        store::{Append, Appended, Client, Partition, Records, StoreError},
        suspects,
        texts::TextCache,
        usage,
    },
};

/// The topic that holds batch jobs.
pub const JOBS: &str = "keyed.jobs";
/// The topic that holds the whole texts of samples.
pub const TEXTS: &str = "keyed.texts";
/// Partitions of each in use. One would do at today's size; several keep one
/// big submission from holding up another job's results.
pub const JOB_PARTS: u32 = 4;
/// A partition of jobs that was not read for so long while the store answers
/// other calls is out of date, in milliseconds: its job may have been ended,
/// and an ended job's samples may go nowhere three seconds after that.
const STALE_MS: u64 = 2_000;
/// A store that failed for so long is away, in milliseconds; one refused
/// call is not an outage.
const AWAY_MS: u64 = 700;

/// One partition of batch jobs as this instance has folded it.
#[derive(Debug, Default)]
pub struct JobPartition {
    /// The jobs.
    pub index: Index,
    /// The logs of jobs and of texts.
    pub logs: [capacity::Log; 2],
    /// The offset to read next.
    pub next: u64,
    /// The partition was read from its beginning.
    pub loaded: bool,
    /// When the last read to its end was sent; `None` if the store has not
    /// answered one yet.
    pub read_at: Option<Time>,
    /// The reducer was told that it is out of date.
    pub stale: bool,
    /// What was written to the logs when that was last noted.
    noted: Written,
}

impl JobPartition {
    /// Whether what is known of the partition is out of date. While the store
    /// answers nobody here, nothing can be ended here either, and work that
    /// is known goes on; but not what only another instance has told of.
    fn is_stale(&self, now: Time, fleet: &Fleet) -> bool {
        match self.read_at {
            None => self.loaded,
            Some(read_at) => !fleet.store_unavailable && now.since(read_at) > STALE_MS,
        }
    }

    /// Notes how much was written to the logs since the last note.
    fn note(&mut self, now: Time) {
        let written = self.index.written;
        let before = std::mem::replace(&mut self.noted, written);
        self.logs[0].record(now, self.next, written.jobs - before.jobs);
        self.logs[1].record(now, written.texts_end, written.texts - before.texts);
    }
}

/// Mutable state. Borrowed for the length of one step, never across a wait.
#[derive(Debug)]
pub struct Control {
    /// The configuration in force, once one was read.
    pub configuration: Option<Rc<Configuration>>,
    /// When the operator's topic was as this instance knows it; `None` before
    /// it was read.
    pub configuration_read_at: Option<Time>,
    /// The targets.
    pub fleet: Fleet,
    /// What was seen of them.
    pub observations: Observations,
    /// What runs where.
    pub dispatch: dispatch::State,
    /// Ends that are not in the store yet.
    pub ending: ending::State,
    /// What is known against requests.
    pub poison: poison::State,
    /// What others know against requests was read.
    pub poison_loaded: bool,
    /// What is known of the store's room.
    pub capacity: capacity::State,
    /// Logs that others write to: the operator, the targets, all instances.
    pub other_logs: HashMap<Partition, capacity::Log>,
    /// Batch jobs, by partition.
    pub partitions: Vec<JobPartition>,
    /// Newest weights of each model, and how much of it is asked for.
    pub models: Models,
    /// Text of samples that are not listed.
    pub partial_texts: HashMap<SampleId, GeneratedText>,
    /// Bundles of samples that this instance runs.
    pub bundles: HashMap<(String, usize), Rc<Bundle>>,
    /// Runs in flight.
    pub runs: HashMap<Run, AbortHandle>,
    /// Jobs that wait for a configuration that has their route.
    pub unopened_jobs: Vec<String>,
    /// Live instances.
    pub roster: Roster,
    /// How many of them there are, as far as the store shows.
    pub group_size: GroupSize,
    /// Since when it has failed, if the last call failed.
    pub store_failing_since: Option<Time>,
    /// Targets were read to the end of their topic.
    pub fleet_loaded: bool,
    /// The instance is stopping.
    pub stopping: bool,
}

impl Control {
    /// Whether a sample, whose job lies in a partition, is still to be
    /// listed: its job is there, and no end of it was read or asked for.
    #[must_use]
    pub fn is_sample_open(&self, part: usize, sample_id: &SampleId) -> bool {
        let job = self.partitions[part].index.jobs.get(&sample_id.job);
        let open = job.is_some_and(|job| !job.ended && !job.done[sample_id.index]);
        open && !self.ending.is_pending(&sample_id.job)
    }

    /// Whether what is known of a partition of jobs is out of date.
    #[must_use]
    pub fn is_stale(&self, now: Time, part: usize) -> bool {
        self.partitions[part].is_stale(now, &self.fleet)
    }

    /// Which partitions became out of date or are so no longer. It is asked before each event, not now and then: an instance that
    /// wakes up from a pause must not act on what it knew before.
    fn staleness(&mut self, now: Time) -> Vec<Event> {
        let mut changed = Vec::new();
        for (part, partition) in self.partitions.iter_mut().enumerate() {
            let stale = partition.is_stale(now, &self.fleet);
            if std::mem::replace(&mut partition.stale, stale) != stale {
                changed.push(Event::Stale { part, stale });
                if stale && partition.read_at.is_none() {
                    log::debug!("jobs of partition {part} are not known to be current yet");
                } else if stale {
                    log::info!("jobs of partition {part} are out of date: nothing of them starts");
                }
            }
        }
        changed
    }
}

/// What all tasks share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// How the platform spells things.
    pub codec: Codec,
    /// The store, for what is not a read.
    pub store: Client,
    /// Reads of the store.
    pub reader: Reader,
    /// What others follow through this instance.
    pub feed: Feed,
    /// What others of the failure domain may take instead of reading it.
    pub relay: Relay,
    /// Connections to targets and peers.
    pub pool: Rc<Pool>,
    /// The process's clock.
    pub clock: Clock,
    /// This run of the instance, as others name it.
    pub instance_id: String,
    /// Tells incarnations apart in keys.
    pub writer_id: String,
    /// Counter for keys.
    pub keys_issued: Cell<u64>,
    /// What is counted and timed.
    pub meters: Meters,
    /// Mutable state.
    pub control: RefCell<Control>,
    /// Told when the operator's topic was read, here or by a peer.
    pub configuration_read: Notify,
    /// Told when the group of instances changed.
    pub group_changed: Notify,
    /// What others are told of the group.
    pub membership: member::Membership,
    /// Told when a job was accepted in a partition of jobs.
    pub job_accepted: Vec<Notify>,
    /// Callers that wait here for results of a partition.
    pub result_waiters: Vec<Cell<usize>>,
    /// Told when a partition of jobs changed.
    pub partition_changed: Vec<Notify>,
    /// Results on their way to the store, by partition.
    pub outbox: Vec<outbox::Outbox>,
    /// Whole texts that were read or written lately.
    pub text_cache: TextCache,
    /// What is known against requests and not in the store yet.
    pub unsaved_suspects: suspects::UnsavedSuspects,
    /// Permits to try suspects that this instance gives out.
    pub probe_permits: RefCell<Permits>,
    /// What is counted here of organisations' requests.
    pub usage: usage::Usage,
    /// Records that nothing may name.
    pub orphans: garbage::Orphans,
    /// Permits true when the instance stops.
    pub stop: watch::Sender<bool>,
}

impl Shared {
    /// The instant now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The partition of a job.
    #[must_use]
    pub fn partition_of(&self, job: &str) -> usize {
        let parts = u64::from(JOB_PARTS.min(self.settings.store.parts).max(1));
        usize::try_from(xxhash_rust::xxh3::xxh3_64(job.as_bytes()) % parts).unwrap_or_default()
    }

    /// A key part that no other record has.
    #[must_use]
    pub fn unique_key_part(&self) -> String {
        self.keys_issued.set(self.keys_issued.get() + 1);
        format!("{}.{}", self.writer_id, self.keys_issued.get())
    }

    /// Notes whether a call of the store went well.
    pub fn record_store_result(&self, well: bool) {
        self.meters.store_calls.with_label_values(&[if well { "yes" } else { "no" }]).inc();
        let now = self.now();
        let mut control = self.control.borrow_mut();
        if well {
            let since = control.store_failing_since.take();
            control.fleet.record_store_state(now, false);
            self.reader.set_store_unavailable(false);
            if since.is_some_and(|since| now.since(since) > AWAY_MS) {
                log::info!("store regained");
            }
            return;
        }
        let since = *control.store_failing_since.get_or_insert(now);
        let away = now.since(since) > AWAY_MS;
        if away && !control.fleet.store_unavailable {
            log::warn!("store lost: no good answer for {} ms", now.since(since));
        }
        control.fleet.record_store_state(now, away);
        self.reader.set_store_unavailable(away);
    }

    /// Appends records, counts them, and notes whether the store is there.
    /// All appends go through here.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn append(&self, append: Append) -> Result<Appended, StoreError> {
        let (purpose, bytes) = (append.purpose.as_str(), append.bytes());
        let stored = append.stored();
        let allowed = self.control.borrow().capacity.allows(self.now(), append.purpose, stored);
        if !allowed {
            self.meters.failed_appends.with_label_values(&[purpose, "kept_back"]).inc();
            return Err(StoreError::Full);
        }
        let appended = (self.store.append)(append).await;
        // A store that is full, or has another end, is there all the same.
        self.record_store_result(matches!(
            appended,
            Ok(_) | Err(StoreError::Full | StoreError::EndMismatch(_))
        ));
        match &appended {
            Ok(_) => {
                self.control.borrow_mut().capacity.appended(stored);
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                self.meters.appended_bytes.with_label_values(&[purpose]).inc_by(bytes);
            }
            Err(fault) => {
                if *fault == StoreError::Full {
                    let now = self.now();
                    self.control.borrow_mut().capacity.record_refusal(now);
                }
                self.meters.failed_appends.with_label_values(&[purpose, fault.as_str()]).inc();
            }
        }
        appended
    }

    /// Forgets what was believed of a target that has started again, which
    /// was at an address before: what was seen of it, and its connections. Its
    /// runs are moved by the reducer.
    pub fn reset_target(&self, control: &mut Control, id: &str, address: std::net::SocketAddr) {
        log::info!("target {id}, at {address}, has started again");
        control.observations.reset(id);
        self.pool.forget(address);
    }

    /// Takes an event in and carries its effects out.
    pub fn handle_event(self: &Rc<Shared>, event: &Event) {
        let now = self.now();
        let effects = {
            let control = &mut *self.control.borrow_mut();
            let mut effects = Vec::new();
            for event in control.staleness(now) {
                effects.extend(control.dispatch.step(
                    now,
                    &event,
                    &control.fleet,
                    &mut control.observations,
                ));
            }
            effects.extend(control.dispatch.step(
                now,
                event,
                &control.fleet,
                &mut control.observations,
            ));
            effects
        };
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(self: &Rc<Shared>, effect: Effect) {
        match effect {
            Effect::Start { run, sample_id, target, priority } => {
                run::start(self, run, sample_id, &target, priority);
            }
            Effect::Cancel(run) => {
                let handle = self.control.borrow_mut().runs.remove(&run);
                if let Some(handle) = handle {
                    handle.abort();
                }
            }
            Effect::Moved { sample_id, target, why } => {
                self.meters.moves.with_label_values(&[&format!("{why:?}")]).inc();
                log::info!("sample {}/{} leaves {target}: {why:?}", sample_id.job, sample_id.index);
            }
            Effect::Discard(sample_id) => {
                self.control.borrow_mut().partial_texts.remove(&sample_id);
            }
            Effect::Score(sample_id) => {
                tokio::task::spawn_local(jobs::score(self.clone(), sample_id));
            }
            Effect::Deliver(sample_id) => outbox::deliver(self, &sample_id, false),
            Effect::GiveUp(sample_id) => outbox::deliver(self, &sample_id, true),
        }
    }

    /// Counts what was read of a log that is not of jobs: it takes room too.
    pub fn account_for_read(&self, part: &Partition, read: &Records) {
        let bytes = |record: &Record| {
            (record.key.len() + record.value.as_ref().map_or(0, Bytes::len)) as u64
                + capacity::LOG_OVERHEAD
        };
        let written = read.records.iter().map(bytes).sum();
        let last = read.records.last().map_or(0, |record| record.offset + 1);
        let now = self.now();
        let mut control = self.control.borrow_mut();
        control.other_logs.entry(part.clone()).or_default().record(now, last, written);
    }

    /// Folds records of a partition of jobs, skipping those folded before.
    pub fn apply_records(self: &Rc<Shared>, part: usize, records: &[Record], end: u64) {
        let mut changes = Vec::new();
        let now = self.now();
        {
            let partition = &mut self.control.borrow_mut().partitions[part];
            for record in records.iter().filter(|record| record.offset >= partition.next) {
                match partition.index.apply(record) {
                    Ok(more) => changes.extend(more),
                    Err(skip) => log::warn!("{skip}"),
                }
            }
            let last = records.last().map_or(0, |record| record.offset + 1);
            partition.next = partition.next.max(end).max(last);
            partition.loaded = true;
            partition.note(now);
        }
        for change in changes {
            self.apply_change(part, change);
        }
        self.partition_changed[part].notify_waiters();
    }

    /// Drops jobs that are not among the newest records: theirs were dropped
    /// while this instance could not read, and the log that told so is gone.
    pub fn remove_missing_jobs(self: &Rc<Shared>, part: usize, newest: &Records) {
        let read = newest.records.iter().map(|record| record.key.as_str());
        let keys: HashSet<&str> = read.chain(newest.beyond.iter().map(String::as_str)).collect();
        let dropped = {
            let partition = &mut self.control.borrow_mut().partitions[part];
            partition.index.retain(newest.end, |head| keys.contains(head))
        };
        for job in dropped {
            log::info!("job {job} was dropped while nothing was read here");
            self.apply_change(part, Change::Deleted(job));
        }
    }

    fn apply_change(self: &Rc<Shared>, part: usize, change: Change) {
        match change {
            Change::Opened(job) => self.open_job(part, job),
            Change::Skipped(skip) => log::warn!("{skip}"),
            Change::ResultStored(job, at) => {
                self.handle_event(&Event::ResultStored(SampleId { job, index: at }))
            }
            Change::PartialStored(job, at) => {
                self.partial_text_grew(part, SampleId { job, index: at })
            }
            Change::Ended(job) | Change::Deleted(job) => {
                self.close_job(&job);
                ends::handle_event(self, &ending::Event::Settled(job));
            }
        }
    }

    /// Whether a sample may be sent to a target at this moment, by what is
    /// known and how old that is. It is asked last of all before a send:
    /// between a decision and its send there may be a pause of any length.
    #[must_use]
    pub fn may_send(&self, sample_id: &SampleId) -> bool {
        let now = self.now();
        let control = self.control.borrow();
        let part = self.partition_of(&sample_id.job);
        control.is_sample_open(part, sample_id) && !control.is_stale(now, part)
    }

    /// Whether a target's failure domain may get something new. It is asked
    /// last before a send, as [`Shared::may_send`] is.
    #[must_use]
    pub fn may_send_to(&self, target: &Announcement) -> bool {
        !self.control.borrow().fleet.evacuated().contains(&target.domain)
    }

    /// Runs nothing more of a job, and forgets what only its runs need.
    pub fn close_job(self: &Rc<Shared>, job: &str) {
        {
            let mut control = self.control.borrow_mut();
            control.unopened_jobs.retain(|other| other != job);
            control.bundles.retain(|(other, _), _| other != job);
        }
        self.handle_event(&Event::Closed(job.to_owned()));
    }

    /// Tells the reducer how far a sample's kept text goes, where that is
    /// further than this instance's own.
    fn partial_text_grew(self: &Rc<Shared>, part: usize, sample_id: SampleId) {
        let kept = {
            let control = self.control.borrow();
            let Some(own) = control.partial_texts.get(&sample_id).map(|text| text.last_event)
            else {
                return;
            };
            let job = control.partitions[part].index.jobs.get(&sample_id.job);
            let kept = job.and_then(|job| job.partials.get(&sample_id.index));
            kept.map(|kept| kept.last).filter(|last| *last > own)
        };
        if let Some(last) = kept.and_then(|last| u32::try_from(last).ok()) {
            self.handle_event(&Event::PartialTextStored { sample_id, last });
        }
    }

    /// Hands a job to the reducer, or keeps it until a configuration with
    /// its route is read.
    pub fn open_job(self: &Rc<Shared>, part: usize, id: String) {
        let work = {
            let mut control = self.control.borrow_mut();
            let Some(job) = control.partitions[part].index.jobs.get(&id) else {
                return;
            };
            if job.ended || job.is_complete() || control.ending.is_pending(&id) {
                return;
            }
            let plan = control.configuration.clone();
            let route =
                plan.as_ref().and_then(|plan| plan.route(&job.manifest.host, &job.manifest.path));
            let Some(route) = route.filter(|route| route.kind == RouteKind::Batch) else {
                control.unopened_jobs.push(id);
                return;
            };
            let keep_ms = batch::retention_left_ms(route.give_up_ms, job.manifest.at_ms, unix_ms());
            let head = job.manifest.clone();
            let mut work = JobSpec {
                job: id,
                part,
                pool: route.pools.first().map(|(pool, _)| pool.clone()).unwrap_or_default(),
                model: job.manifest.model.clone(),
                min_version: job.manifest.min_version,
                max_attempts: route.max_attempts,
                keep_until: self.now().after(keep_ms),
                samples: vec![],
                done: job.done.clone(),
            };
            let tokens = head.samples.iter().map(|sample| u64::from(sample.tokens)).sum();
            control.models.record_step(&head.model, tokens, head.samples.len() as u64);
            work.samples = resume::items(&mut control.partitions, part, &work.job, &head);
            work
        };
        log::debug!("job {} opened: {} samples", work.job, work.samples.len());
        self.handle_event(&Event::Opened(work));
    }

    /// Tries again to open jobs whose route was not known.
    pub fn open_waiting_jobs(self: &Rc<Shared>) {
        let waiting = std::mem::take(&mut self.control.borrow_mut().unopened_jobs);
        for job in waiting {
            self.open_job(self.partition_of(&job), job);
        }
    }
}

/// Time of day, in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
