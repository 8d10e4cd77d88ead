//! State shared by all tasks of an instance. [`Shared::handle_event`] is the
//! only place where the dispatch reducer is stepped and its effects applied.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    sync::{Notify, watch},
    task::AbortHandle,
};

use crate::{
    account::Account,
    clock::Clock,
    core::{
        append_queue::Queues,
        availability::{self, Availability},
        batch::{self, Bundle, Change, End, Index, Manifest, Orphans, Record, Written},
        capacity,
        choice::{Load, Observations},
        configuration::{Configuration, Route, RouteKind},
        dispatch::{self, Demand, Effect, Event, JobSpec, Run, SampleId, Texts},
        ending,
        fleet::{Announcement, Fleet, Standing},
        group::GroupSize,
        hedge,
        inquiry::Inquiry,
        instances::Instances,
        interest::Interest,
        machine::Limits,
        permit::Permits,
        poison,
        relay::Following,
        roster::Roster,
        shutdown::Shutdown,
        throttle::Throttle,
        time::Time,
        unstored::Unstored,
        weight_loading::Models,
    },
    entry::{
        calls::Answers,
        codec::Codec,
        confirm,
        connection::Connections,
        ends,
        exchange::{IncomingResponse, Pool},
        feed::Feed,
        jobs::{self, WaitingReads},
        member,
        meters::Meters,
        outbox, producers,
        reader::Reader,
        relay::Relay,
        reserve, resume, run,
        run::GeneratedText,
        settings::Settings,
        store::{Client, Partition, Records},
        suspects,
        texts::TextCache,
        unidentified_ends::UnidentifiedEnds,
        unplaced, usage, versions,
    },
};

/// The topic that holds batch jobs.
pub const JOBS: &str = "keyed.jobs";
/// The topic that holds the complete texts of samples.
pub const TEXTS: &str = "keyed.texts";
/// Partitions used of each of the two topics. One would carry today's load;
/// with several, a large submission does not delay the results of other jobs.
pub const JOB_PARTITIONS: u32 = 4;

/// Time without any activity after which a process may have missed ends of jobs,
/// in milliseconds: peers remind each other of ends as often.
const STANDSTILL_MS: u64 = 2_000;
/// Time that a request may take from the last check until it is at its target.
const SEND_TIME: Duration = Duration::from_millis(500);
/// Age of what is known of the targets, in milliseconds, from which each send is
/// logged at level `info`: with a store that answers it is less.
const OLD_TARGETS_MS: u64 = 1_500;

/// One partition of batch jobs, folded from the store.
#[derive(Debug, Default)]
pub struct JobPartition {
    /// The jobs of the partition.
    pub index: Index,
    /// Sizes of the partition's logs: of jobs, and of texts.
    pub logs: [capacity::Log; 2],
    /// The offset to read next.
    pub next: u64,
    /// The partition was read from its beginning at least once.
    pub loaded: bool,
    /// When the last read that reached the end was sent; `None` before the
    /// store has answered one.
    pub read_at: Option<Time>,
    /// The reducer was last notified that the partition is stale.
    pub stale: bool,
    /// The results that wait to be stored here.
    pub unstored: Unstored,
    /// Totals of the index when `logs` was last updated.
    logged: Written,
}

impl JobPartition {
    /// Whether the local state is stale, also while the store is unavailable to
    /// this instance: others may reach it and store ends. Work known only from
    /// another instance's snapshot does not start.
    fn is_stale(&self, now: Time) -> bool {
        self.loaded && !self.is_current(now)
    }

    /// Whether the partition was read a moment ago, so that a job which is not
    /// known here was not accepted before that.
    pub fn is_current(&self, now: Time) -> bool {
        self.read_at.is_some_and(|read_at| availability::is_view_current(now, read_at))
    }

    /// Adds what was written since the last call to the sizes of the logs.
    fn update_logs(&mut self, now: Time) {
        let written = self.index.written;
        let before = std::mem::replace(&mut self.logged, written);
        self.logs[0].record(now, self.next, written.jobs - before.jobs);
        self.logs[0].set_past_record(written.jobs.checked_div(written.job_records));
        self.logs[1].record(now, written.texts_end, written.texts - before.texts);
        self.logs[1].set_past_record(written.texts.checked_div(written.text_records));
    }
}

/// The control state of one instance. Borrowed for one step at a time, never
/// across an await.
#[derive(Debug)]
pub struct Control {
    /// The configuration in force, once one has been read.
    pub configuration: Option<Rc<Configuration>>,
    /// The time up to which the operator's topic is known; `None` before it
    /// was read.
    pub configuration_read_at: Option<Time>,
    /// Who read it up to then: this instance or a peer.
    pub configuration_read_by: String,
    /// The known targets.
    pub fleet: Fleet,
    /// Observed load and faults of the targets.
    pub observations: Observations,
    /// What hedges of plain requests are decided by.
    pub hedges: hedge::State,
    /// Samples and the targets that they run on.
    pub dispatch: dispatch::State,
    /// Requested ends of jobs that are not stored yet.
    pub ending: ending::State,
    /// Ends as a configuration names their callers that is too old to identify them,
    /// with the number of requests. Their jobs don't run.
    pub presumed_ends: BTreeMap<End, usize>,
    /// Whether peers have told this instance which ends they hold.
    pub inquiry: Inquiry,
    /// When this instance last did anything.
    pub active_at: Time,
    /// The instances that exist, as recorded in the store.
    pub instances: Instances,
    /// Jobs that were open at the start and that nobody vouches for.
    pub interest: Interest,
    /// Requests suspected of ending their targets.
    pub poison: poison::State,
    /// The suspects recorded by other instances were read.
    pub poison_loaded: bool,
    /// Estimated usage of the store's capacity.
    pub capacity: capacity::State,
    /// Rate of less urgent appends while the store refuses calls for its rate.
    pub throttle: Throttle,
    /// Partitions whose appends take long.
    pub append_queues: Queues<Partition>,
    /// Sizes of the logs other than those of jobs and texts, which are written
    /// by the operator, the targets and all instances.
    pub other_logs: HashMap<Partition, capacity::Log>,
    /// The bytes read to follow the partitions of jobs.
    pub following: Following,
    /// Batch jobs, by partition.
    pub partitions: Vec<JobPartition>,
    /// The newest version of each model's weights, and the demand for it.
    pub models: Models,
    /// Partial texts of samples that have no stored result yet.
    pub partial_texts: HashMap<SampleId, GeneratedText>,
    /// Bundles of samples that this instance runs, by job and bundle number.
    pub bundles: HashMap<(String, usize), Rc<Bundle>>,
    /// Tasks of the runs in flight.
    pub runs: HashMap<Run, AbortHandle>,
    /// Jobs that wait for a configuration with a route for them, for what peers
    /// know of them, or for a caller.
    pub unopened_jobs: Vec<String>,
    /// The live instances.
    pub roster: Roster,
    /// The number of live instances, as far as the store shows it.
    pub group_size: GroupSize,
    /// The availability of the store to this instance.
    pub availability: Availability,
    /// The targets' topic was read to its end.
    pub fleet_loaded: bool,
    /// The planned stop that is under way.
    pub shutdown: Option<Shutdown>,
}

impl Control {
    /// Whether the instance is stopping.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether a sample still needs a result: its job exists in the partition
    /// `part`, lists no result of the sample, and its end was neither read nor
    /// requested.
    #[must_use]
    pub fn is_sample_open(&self, part: usize, sample_id: &SampleId) -> bool {
        let job = self.partitions[part].index.jobs.get(&sample_id.job);
        let open = job.is_some_and(|job| !job.ended && !job.done[sample_id.index]);
        open && !self.is_end_pending(part, &sample_id.job)
    }

    /// Whether the end of a job of a partition was requested, as far as is known
    /// by a caller that may end it, and not read yet.
    #[must_use]
    pub fn is_end_pending(&self, part: usize, job: &str) -> bool {
        match self.partitions[part].index.jobs.get(job) {
            Some(found) => {
                self.ending.is_pending(job, &found.manifest.organisation)
                    || self.is_end_presumed(part, job)
            }
            None => self.ending.ends_of(job).next().is_some(),
        }
    }

    /// Whether the end of a known job was requested by a caller that may end it
    /// according to a configuration that is too old to identify it.
    #[must_use]
    pub fn is_end_presumed(&self, part: usize, job: &str) -> bool {
        let Some(found) = self.partitions[part].index.jobs.get(job) else {
            return false;
        };
        let of_job = self.presumed_ends.range(End::from(job)..).map(|(end, _)| end);
        let mut of_job = of_job.take_while(|end| end.job == job);
        of_job.any(|end| end.is_allowed(&found.manifest.organisation))
    }

    /// Whether the local state of a job partition is stale. It is, too, until
    /// peers have told which jobs were ended without the store.
    #[must_use]
    pub fn is_stale(&self, now: Time, part: usize) -> bool {
        !self.inquiry.is_complete() || self.partitions[part].is_stale(now)
    }

    /// Whether this instance has just stood still for so long that it may have
    /// missed ends of jobs. It then knows no more than one that starts.
    fn has_stood_still(&mut self, now: Time) -> bool {
        let still_ms = now.since(std::mem::replace(&mut self.active_at, now));
        let has_stood_still = still_ms >= STANDSTILL_MS;
        if has_stood_still {
            log::warn!("stood still for {still_ms} ms: peers are asked for ends of jobs again");
            self.inquiry = Inquiry::default();
            self.interest.restart();
        }
        has_stood_still
    }

    /// The partitions of which samples may not begin any more, or may again, since
    /// the last call.
    fn held_back(&mut self, now: Time) -> Vec<Event> {
        let partitions = self.partitions.iter_mut().enumerate();
        let changed = partitions.filter_map(|(part, partition)| {
            let age_ms = partition.unstored.age_ms(now);
            let why = partition.unstored.why().unwrap_or("no response");
            let held_back = partition.unstored.change(now)?;
            if held_back {
                log::warn!(
                    "no result of partition {part} was stored for {age_ms} ms ({why}): none of \
                     its samples begins here, and no job is accepted"
                );
            } else {
                log::info!("results of partition {part} are stored again: its samples begin");
            }
            Some(Event::HeldBack { part, held_back })
        });
        changed.collect()
    }

    /// The partitions that became stale or current since the last call. This
    /// is checked before each event and not periodically: a process that
    /// resumes after a pause must not act on outdated state.
    fn staleness(&mut self, now: Time) -> Vec<Event> {
        let mut changed = Vec::new();
        let is_informed = self.inquiry.is_complete();
        for (part, partition) in self.partitions.iter_mut().enumerate() {
            let stale = !is_informed || partition.is_stale(now);
            if std::mem::replace(&mut partition.stale, stale) != stale {
                changed.push(Event::Stale { part, stale });
                if stale && (!is_informed || partition.read_at.is_none()) {
                    log::debug!("jobs of partition {part} are not known to be current yet");
                } else if stale {
                    log::info!(
                        "jobs of partition {part} are out of date: none of their samples starts"
                    );
                }
            }
        }
        changed
    }
}

/// State shared by all tasks of an instance.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Encoders and decoders of the platform's formats.
    pub codec: Codec,
    /// The store's client, for calls other than reads.
    pub store: Client,
    /// When the store last responded.
    pub store_answers: Rc<Answers>,
    /// Reads the store, with limits on concurrency and time.
    pub reader: Rc<Reader>,
    /// Records that followers read through this instance.
    pub feed: Feed,
    /// Snapshots of partitions that other instances of the failure domain may
    /// take instead of reading the store.
    pub relay: Relay,
    /// Connections to targets and peers.
    pub pool: Rc<Pool>,
    /// Memory of callers' requests, of answers and of kept samples together.
    pub caller_memory: Arc<Account>,
    /// Memory of callers' requests.
    pub request_memory: Arc<Account>,
    /// Memory of the plain services' responses.
    pub response_memory: Arc<Account>,
    /// What others may take of the machine.
    pub limits: Limits,
    /// Callers' connections.
    pub callers: Connections,
    /// The process's clock.
    pub clock: Clock,
    /// The identifier of this run of the instance, as used in the group.
    pub instance_id: String,
    /// A hash of `instance_id` that keeps keys of different incarnations apart.
    pub writer_id: String,
    /// Number of unique key parts issued so far.
    pub keys_issued: Cell<u64>,
    /// Metrics.
    pub meters: Meters,
    /// Control state.
    pub control: RefCell<Control>,
    /// Notified when peers have to be asked again what they hold.
    pub inquiry_restarted: Notify,
    /// Notified when the operator's topic was read, here or by a peer.
    pub configuration_read: Notify,
    /// Ends that wait until their callers are identified.
    pub unidentified_ends: UnidentifiedEnds,
    /// Notified when the group of instances changed.
    pub group_changed: Notify,
    /// The state behind answers to peers that ask for the members.
    pub membership: member::Membership,
    /// Notified when the store refused the end of a job for lack of capacity.
    pub end_without_space: Notify,
    /// Frees the reserve for ends of jobs.
    pub reserve: reserve::Reserve,
    /// Notified when a job was accepted, by partition.
    pub job_accepted: Vec<Notify>,
    /// Number of callers that wait here for results, by partition.
    pub result_waiters: Vec<Cell<usize>>,
    /// Reads that wait for results.
    pub waiting_reads: WaitingReads,
    /// Notified when records of a job partition were applied, by partition.
    pub partition_changed: Vec<Notify>,
    /// Results to be appended to the store, by partition.
    pub outbox: Vec<outbox::Outbox>,
    /// The producers of its appends.
    pub producers: producers::Producers,
    /// Complete texts that were read or written recently.
    pub text_cache: Rc<TextCache>,
    /// Suspects that are not stored yet.
    pub unsaved_suspects: suspects::UnsavedSuspects,
    /// Permits for isolated probes of suspects that this instance issues.
    pub probe_permits: RefCell<Permits>,
    /// Samples whose last request was given up without an answer on a pooled
    /// connection.
    pub unanswered: RefCell<HashSet<SampleId>>,
    /// Targets that are being asked whether they accept work.
    pub confirmations: confirm::Confirmations,
    /// Requests of organisations counted here.
    pub usage: usage::Usage,
    /// Records that were appended, or may have been, without a reference.
    pub orphans: RefCell<Orphans>,
    /// Becomes `true` when the instance stops.
    pub stop: watch::Sender<bool>,
}

impl Shared {
    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Completes when a stopping instance has to answer what is unanswered.
    pub(super) async fn last_answer_due(&self) {
        let mut stop = self.stop.subscribe();
        let _stopping = stop.wait_for(|stop| *stop).await;
        let shutdown = self.control.borrow().shutdown;
        match shutdown {
            Some(shutdown) => {
                let left_ms = shutdown.answer_by().since(self.now());
                tokio::time::sleep(Duration::from_millis(left_ms)).await;
            }
            None => std::future::pending().await,
        }
    }

    /// The partition number of a job, by a hash of its id.
    #[must_use]
    pub fn partition_of(&self, job: &str) -> usize {
        let parts = u64::from(JOB_PARTITIONS.min(self.settings.store.parts).max(1));
        usize::try_from(xxhash_rust::xxh3::xxh3_64(job.as_bytes()) % parts).unwrap_or_default()
    }

    /// A part of a key that occurs in no other record.
    #[must_use]
    pub fn unique_key_part(&self) -> String {
        self.keys_issued.set(self.keys_issued.get() + 1);
        format!("{}.{}", self.writer_id, self.keys_issued.get())
    }

    /// Records the load that came with a target's answer, and returns it.
    pub fn record_load(
        &self,
        now: Time,
        target: &str,
        response: &IncomingResponse,
    ) -> Option<Load> {
        let header = response.header(&self.codec.headers.load);
        let load = header.and_then(self.codec.load)?;
        self.control.borrow_mut().observations.record_load(now, target, load);
        Some(load)
    }

    /// Discards the observations and connections of a target that has
    /// restarted; `address` is where it was before. The reducer moves its runs.
    pub fn reset_target(&self, control: &mut Control, id: &str, address: std::net::SocketAddr) {
        log::info!("target {id}, at {address}, has restarted");
        control.observations.reset(id);
        self.pool.forget(address);
    }

    /// Steps the dispatch reducer with an event and applies its effects.
    pub fn handle_event(self: &Rc<Shared>, event: &Event) {
        self.check_standstill();
        let now = self.now();
        let effects = {
            let control = &mut *self.control.borrow_mut();
            let mut effects = Vec::new();
            let changes = [control.staleness(now), control.held_back(now)];
            for event in changes.into_iter().flatten() {
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
            Effect::Waits { sample_id, why } => {
                self.meters.waits.with_label_values(&[&format!("{why:?}")]).inc();
                log::info!("sample {}/{} waits: {why:?}", sample_id.job, sample_id.index);
            }
            Effect::Unplaced { job, cause, samples } => {
                let count = samples.len() as u64;
                self.meters.unplaced.with_label_values(&[cause.as_str()]).inc_by(count);
                unplaced::log_unplaced(self, &job, &cause, &samples);
            }
            Effect::Reassigned { job, from, to, samples } => {
                unplaced::log_reassigned(self, &job, (from.as_deref(), to.as_deref()), &samples);
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

    /// Adds records read from a log other than those of jobs to the estimate of
    /// the store's usage: they take capacity too.
    /// The records were read up to the offset `next`; a source may have left
    /// some of them out.
    pub fn account_for_read(&self, part: &Partition, read: &Records, next: u64) {
        let written = read.records.iter().map(Record::log_bytes).sum();
        let count = read.records.len() as u64;
        let now = self.now();
        let mut control = self.control.borrow_mut();
        control.other_logs.entry(part.clone()).or_default().record_read(now, next, count, written);
    }

    /// Folds records of a job partition, skipping those folded before; `end` is
    /// the offset up to which the partition is known to be read.
    pub fn apply_records(self: &Rc<Shared>, part: usize, records: &[Record], end: u64) {
        let mut changes = Vec::new();
        let now = self.now();
        {
            let partition = &mut self.control.borrow_mut().partitions[part];
            if !partition.loaded {
                self.relay.held.begin(part);
            }
            for record in records.iter().filter(|record| record.offset >= partition.next) {
                self.relay.held.add(part, record);
                match partition.index.apply(record) {
                    Ok(more) => changes.extend(more),
                    Err(skip) => log::warn!("{skip}"),
                }
            }
            let last = records.last().map_or(0, |record| record.offset + 1);
            partition.next = partition.next.max(end).max(last);
            partition.loaded = true;
            partition.update_logs(now);
        }
        for change in changes {
            self.apply_change(part, change);
        }
        self.partition_changed[part].notify_waiters();
    }

    /// Removes jobs that have no record in a snapshot: their records were
    /// deleted while this instance could not read, and the tombstones were
    /// trimmed from the log.
    pub fn remove_missing_jobs(self: &Rc<Shared>, part: usize, newest: &Records) {
        let keys = newest.keys();
        self.relay.held.retain(part, newest.end, |key| keys.contains(key));
        let deleted = {
            let partition = &mut self.control.borrow_mut().partitions[part];
            partition.index.retain(newest.end, |head| keys.contains(head))
        };
        for job in deleted {
            log::info!("job {job} was deleted while the partition was not read here");
            self.apply_change(part, Change::Deleted(job));
        }
    }

    fn apply_change(self: &Rc<Shared>, part: usize, change: Change) {
        match change {
            Change::Opened(job) => self.open_job(part, job),
            Change::Skipped(skip) => log::warn!("{skip}"),
            Change::ResultStored(job, at) => {
                self.handle_event(&Event::ResultStored(SampleId { job, index: at }));
            }
            Change::PartialStored(job, at) => {
                self.partial_text_grew(part, SampleId { job, index: at });
            }
            Change::Ended(job) | Change::Deleted(job) => {
                self.close_job(&job);
                self.control.borrow_mut().interest.forget(&job);
                ends::settle(self, &job);
            }
        }
    }

    /// Starts the inquiry anew if the process has stood still. Checked before
    /// anything is done or told on the ground of it, as a process that resumes may
    /// do that first.
    pub fn check_standstill(&self) {
        let now = self.now();
        if self.control.borrow_mut().has_stood_still(now) {
            self.inquiry_restarted.notify_waiters();
        }
    }

    /// Whether a sample may be sent to a target now: it still needs a result,
    /// and the state of its partition is not stale. Checked immediately before
    /// a send, as any length of time may have passed since the decision.
    #[must_use]
    pub fn may_send(&self, sample_id: &SampleId) -> bool {
        self.check_standstill();
        let now = self.now();
        let control = self.control.borrow();
        let part = self.partition_of(&sample_id.job);
        control.is_sample_open(part, sample_id) && !control.is_stale(now, part)
    }

    /// Whether a target may get a request now. Checked immediately before a
    /// send, as [`Shared::may_send`].
    #[must_use]
    pub fn may_send_to(&self, target: &Announcement) -> bool {
        self.standing(target) == Standing::InUse
    }

    /// Whether a target may get a request now, as far as is known. A request
    /// takes some time to reach its target.
    #[must_use]
    pub fn standing(&self, target: &Announcement) -> Standing {
        let max_age = self.settings.times.drain.saturating_sub(SEND_TIME);
        let max_age_ms = u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX);
        self.control.borrow().fleet.standing(self.now(), &target.id, max_age_ms)
    }

    /// Logs that a request or sample is sent to a target, and how old what is
    /// known of the targets is.
    pub fn log_send(&self, target: &Announcement, what: &str) {
        let age_ms = self.control.borrow().fleet.departures.age_ms(self.now());
        let age_ms = age_ms.unwrap_or(u64::MAX);
        let level = if age_ms > OLD_TARGETS_MS { log::Level::Info } else { log::Level::Debug };
        log::log!(level, "{what} is sent to {}; targets were read {age_ms} ms ago", target.id);
    }

    /// Stops all runs of a job and discards what only they need.
    pub fn close_job(self: &Rc<Shared>, job: &str) {
        {
            let mut control = self.control.borrow_mut();
            control.unopened_jobs.retain(|other| other != job);
            control.bundles.retain(|(other, _), _| other != job);
        }
        self.unanswered.borrow_mut().retain(|sample_id| sample_id.job != job);
        self.handle_event(&Event::Closed(job.to_owned()));
    }

    /// Notifies the reducer if the stored partial text of a sample is longer
    /// than this instance's own.
    fn partial_text_grew(self: &Rc<Shared>, part: usize, sample_id: SampleId) {
        let rule = versions::rule(self, &self.control.borrow(), &sample_id.job);
        if rule.single_version {
            versions::report_text(self, &sample_id);
        }
        let stored = {
            let control = self.control.borrow();
            let Some(own) = control.partial_texts.get(&sample_id).map(|text| text.last_event)
            else {
                return;
            };
            let job = control.partitions[part].index.jobs.get(&sample_id.job);
            let partial = job.and_then(|job| job.partials.get(&sample_id.index));
            let usable = partial.filter(|partial| {
                !rule.single_version || rule.allows(partial.versions.iter().copied())
            });
            usable.map(|partial| partial.last).filter(|last| *last > own)
        };
        if let Some(last) = stored.and_then(|last| u32::try_from(last).ok()) {
            self.handle_event(&Event::PartialTextStored { sample_id, last });
        }
    }

    /// Hands a job to the reducer, or keeps it until it may run: a configuration
    /// with a route for it was read, and it is not in doubt.
    pub fn open_job(self: &Rc<Shared>, part: usize, id: String) {
        let work = {
            let mut control = self.control.borrow_mut();
            let Some(job) = control.partitions[part].index.jobs.get(&id) else {
                return;
            };
            if job.ended || job.is_complete() || control.is_end_pending(part, &id) {
                return;
            }
            if !control.inquiry.is_complete() {
                control.unopened_jobs.push(id);
                return;
            }
            let configuration = control.configuration.clone();
            let route = configuration.as_ref().and_then(|configuration| {
                configuration.route(&job.manifest.host, &job.manifest.path)
            });
            let Some(route) = route.filter(|route| route.kind == RouteKind::Batch) else {
                control.unopened_jobs.push(id);
                return;
            };
            let keep_ms = batch::retention_left_ms(route.give_up_ms, job.manifest.at_ms, unix_ms());
            // Once its samples may be given up, the reducer does that.
            if keep_ms > 0 && control.interest.is_in_doubt(part, job.first_offset, &id) {
                if control.interest.doubt(&id) {
                    log::info!(
                        "job {id}, open at the start, waits for a caller: nobody vouches for it"
                    );
                }
                control.unopened_jobs.push(id);
                return;
            }
            let head = job.manifest.clone();
            let mut work = JobSpec {
                job: id,
                part,
                pools: route.used_pools(),
                model: job.manifest.model.clone(),
                min_version: job.manifest.min_version,
                max_attempts: route.max_attempts,
                keep_until: self.now().after(keep_ms),
                demand: demand(self.now(), route, configuration.as_deref(), &head),
                texts: Texts { single_version: route.single_version, ..Texts::default() },
                samples: vec![],
                done: job.done.clone(),
            };
            let tokens = head.samples.iter().map(|sample| u64::from(sample.tokens)).sum();
            control.models.record_step(&head.model, tokens, head.samples.len() as u64);
            work.samples = resume::items(&mut control.partitions, part, &work.job, &head);
            let stored = control.partitions[part].index.jobs.get(&work.job);
            let stored = stored.into_iter().flat_map(|job| &job.partials);
            let versions = stored.filter_map(|(at, text)| Some((*at, versions::of_partial(text)?)));
            work.texts.versions = versions.collect();
            work
        };
        log::debug!("job {} opened: {} samples", work.job, work.samples.len());
        self.handle_event(&Event::Opened(work));
    }

    /// Applies the routes of the configuration in force to all jobs: those that
    /// waited for a route are opened, and open ones change their pools and what
    /// is asked of their texts.
    pub fn apply_routes(self: &Rc<Shared>) {
        for event in self.changed_routes() {
            if let Event::Routed { job, pools, single_version } = &event {
                let texts = if *single_version { ", with one version for each text" } else { "" };
                log::info!("job {job} is run by {pools:?} from now on{texts}");
            }
            self.handle_event(&event);
        }
        self.open_waiting_jobs();
    }

    /// The number of jobs that wait for a caller.
    #[must_use]
    pub fn jobs_in_doubt(&self) -> usize {
        let control = self.control.borrow();
        let is_in_doubt = |id: &&String| {
            let part = self.partition_of(id);
            let job = control.partitions[part].index.jobs.get(*id);
            job.is_some_and(|job| control.interest.is_in_doubt(part, job.first_offset, id))
        };
        control.unopened_jobs.iter().filter(is_in_doubt).count()
    }

    /// Stops the jobs that are in doubt since this instance stood still.
    pub fn close_doubtful_jobs(self: &Rc<Shared>) {
        let doubtful: Vec<String> = {
            let control = self.control.borrow();
            let is_in_doubt = |id: &&str| {
                let part = self.partition_of(id);
                let job = control.partitions[part].index.jobs.get(*id);
                job.is_some_and(|job| control.interest.is_in_doubt(part, job.first_offset, id))
            };
            let open = control.dispatch.open_jobs().map(|spec| spec.job.as_str());
            open.filter(is_in_doubt).map(str::to_owned).collect()
        };
        for job in doubtful {
            self.close_job(&job);
            self.control.borrow_mut().unopened_jobs.push(job);
        }
    }

    /// Opens the jobs that waited and may run now.
    pub fn open_waiting_jobs(self: &Rc<Shared>) {
        let waiting = std::mem::take(&mut self.control.borrow_mut().unopened_jobs);
        for job in waiting {
            self.open_job(self.partition_of(&job), job);
        }
    }

    /// The routes of open jobs that say something else now. A job whose route is
    /// gone, or names no pool, keeps what it has.
    fn changed_routes(&self) -> Vec<Event> {
        let control = self.control.borrow();
        let Some(configuration) = &control.configuration else {
            return vec![];
        };
        let changed = |spec: &JobSpec| {
            let job = &spec.job;
            let manifest =
                &control.partitions[self.partition_of(job)].index.jobs.get(job)?.manifest;
            let route = configuration.route(&manifest.host, &manifest.path)?;
            let (pools, single_version) = (route.used_pools(), route.single_version);
            let is_served = route.kind == RouteKind::Batch && !pools.is_empty();
            let has_changed = pools != spec.pools || single_version != spec.texts.single_version;
            (is_served && has_changed).then(|| Event::Routed {
                job: job.clone(),
                pools,
                single_version,
            })
        };
        control.dispatch.open_jobs().filter_map(changed).collect()
    }
}

/// System time, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Who waits for a job that is opened now, and until when.
fn demand(
    now: Time,
    route: &Route,
    configuration: Option<&Configuration>,
    manifest: &Manifest,
) -> Demand {
    let directory = configuration.and_then(|configuration| configuration.organisations.as_ref());
    let priority = directory.and_then(|directory| directory.priority(&manifest.organisation));
    let age_ms = unix_ms().saturating_sub(manifest.at_ms);
    Demand {
        organisation: manifest.organisation.clone(),
        priority: priority.unwrap_or(route.priority),
        due: (route.due_ms > 0).then(|| now.after(route.due_ms.saturating_sub(age_ms))),
        groups_wanted: usize::try_from(manifest.groups_wanted).unwrap_or(usize::MAX),
    }
}
