//! Keeps the local state folded from the store's partitions up to date.
//!
//! A keyed partition is first read as a snapshot, the newest record of each
//! key, and then incrementally from the snapshot's end. If records were trimmed
//! before they were read, it is read as a snapshot again; the newest record of
//! a key is never trimmed.

use std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    core::{
        batch::Record,
        fleet::{AnnounceOutcome, Announcement},
        read_rate::ReadPurpose,
        time::Time,
    },
    entry::{
        capacity,
        codec::Command,
        configuration,
        feed::{self, Batch},
        relay,
        settings::Settings,
        shared::{Control, JOBS, Shared},
        store::{Newest, Partition, Read, Records, StoreError},
    },
};

/// How long a read waits for a record. A connection that was cut without a
/// reset is noticed only when a response is overdue, so with a long wait this
/// instance would learn nothing for as long after the network has healed; one
/// call a second is cheap in comparison. Two waits in a row, with their
/// overhead, must end within the two seconds after which a partition is stale:
/// one without new records must not become stale.
const READ_WAIT: Duration = Duration::from_millis(900);
/// The same for an instance with followers, whose own waits add to it.
const SOURCE_READ_WAIT: Duration = Duration::from_millis(450);
/// Minimum interval between reads of a job partition: a balance between the
/// cost of a read and knowing a result sooner. It grows with the number of
/// instances beyond [`JOBS_INSTANCES`], as all share the store's rate of reads,
/// except while a caller waits for results here: few instances have one, and
/// they are the ones that delay a step.
const JOBS_INTERVAL: Duration = Duration::from_millis(40);
/// See [`JOBS_INTERVAL`]: 20 instances that read four busy partitions make
/// 2,000 calls a second.
const JOBS_INSTANCES: f64 = 20.0;
/// Number of followers of one source up to which each uses [`JOBS_INTERVAL`].
/// A busy partition changes all the time, and each response costs the source
/// time.
const JOBS_FOLLOWERS: f64 = 8.0;
/// Maximum interval of a follower: together with the source's own read, the end
/// of a job must be known well before its partition is stale.
const MAX_JOBS_INTERVAL: Duration = Duration::from_millis(600);
/// How long a starting instance retries at its sources while they have not read
/// a partition themselves.
const NOT_READY_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay between these retries.
const NOT_READY_RETRY: Duration = Duration::from_millis(250);
/// Minimum interval between reads of the targets' announcements. Each heartbeat
/// is a record; a leaving target must get no request after `drain_ms`.
const TARGETS_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between reads of the operator's commands.
const COMMANDS_INTERVAL: Duration = Duration::from_millis(20);

/// How a batch of records was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    /// The records are a snapshot of the whole partition.
    pub is_snapshot: bool,
    /// When the store was asked for them. The time of the response would be too
    /// late: it may have waited unprocessed, and says nothing of what happened
    /// since. `None` for a snapshot: it takes seconds to read with many
    /// instances, or came from another one, and is current only after the next
    /// incremental read. `None` too if more records were left.
    pub requested_at: Option<Time>,
    /// The time up to which the records are complete, for snapshots as well;
    /// `None` if more were left at the partition's end.
    pub known_at: Option<Time>,
}

/// How far a partition is read, and the parameters of the next read.
struct Position {
    /// The offset to read from; `None` to begin with a snapshot.
    next: Option<u64>,
    /// The furthest offset read to: what ends before it is out of date.
    reached: u64,
    /// Pages of the snapshot that were read so far.
    newest: Newest,
    /// When the first of these pages was requested.
    newest_at: Time,
    /// How long the next read waits for a record.
    wait: Duration,
    /// Number of failed reads in a row.
    failures: u32,
    /// An incremental read has succeeded since the start.
    is_current: bool,
}

impl Position {
    fn new(keyed: bool) -> Position {
        let next = (!keyed).then_some(0);
        Position {
            next,
            reached: 0,
            newest: Newest::default(),
            newest_at: Time(0),
            wait: READ_WAIT,
            failures: 0,
            is_current: false,
        }
    }

    /// Reads the next batch, from another instance if this one follows any.
    async fn read(
        &mut self,
        shared: &Rc<Shared>,
        part: &Partition,
        may_follow: bool,
    ) -> Result<Batch, StoreError> {
        shared.reader.set_shared(is_shared(shared));
        if may_follow && let Some(batch) = self.read_from_source(shared, part).await {
            return Ok(batch);
        }
        match self.next {
            Some(from) => self.read_on(shared, part, may_follow, from).await,
            None => self.read_snapshot(shared, part, may_follow).await,
        }
    }

    /// Reads from a source. For a partition that was not read yet, only a
    /// snapshot is accepted.
    async fn read_from_source(&mut self, shared: &Rc<Shared>, part: &Partition) -> Option<Batch> {
        if self.next.is_none() && part.topic != shared.codec.announcements {
            return None;
        }
        let batch = self.ask_sources(shared, part).await?;
        if self.next.is_none() && !batch.is_snapshot {
            return None;
        }
        if batch.records.end < self.reached {
            log::info!("a source is at {} of {part:?}, behind {}", batch.records.end, self.reached);
            return None;
        }
        // A source leaves out heartbeats without a change, so the last record
        // does not say how far the batch goes.
        self.next = Some(batch.records.end);
        self.newest = Newest::default();
        Some(batch)
    }

    /// Asks the sources of this instance. At a start it waits while they have
    /// not read the partition themselves: if their followers read the store
    /// instead, the sources would only wait longer for it.
    async fn ask_sources(&self, shared: &Rc<Shared>, part: &Partition) -> Option<Batch> {
        let timeout = if self.is_current { Duration::ZERO } else { NOT_READY_TIMEOUT };
        let until = Instant::now() + timeout;
        loop {
            match feed::fetch(shared, part, self.next.unwrap_or(0)).await {
                feed::Fetched::Batch(batch) => return Some(batch),
                feed::Fetched::NotReady if Instant::now() < until => {
                    sleep_until(Instant::now() + NOT_READY_RETRY).await;
                }
                feed::Fetched::NotReady | feed::Fetched::NoSource => return None,
            }
        }
    }

    /// Reads a snapshot, the newest record of each key, from the store.
    async fn read_snapshot(
        &mut self,
        shared: &Rc<Shared>,
        part: &Partition,
        may_follow: bool,
    ) -> Result<Batch, StoreError> {
        if self.newest.is_empty() {
            self.newest_at = shared.now();
        }
        let purpose = purpose(shared, part);
        shared.reader.resume_newest_for(purpose, part, &mut self.newest).await?;
        shared.record_store_result(true);
        // Nothing after the first page is known, however late the last is read.
        let requested_at = self.newest_at;
        let records = std::mem::take(&mut self.newest).into_records();
        if may_follow {
            feed::start(shared, part, &records);
        }
        if relay::is_relayed(shared, part) {
            relay::keep(shared, part, &records, requested_at);
        }
        Ok(Batch { records, requested_at, is_snapshot: true, is_complete: true })
    }

    /// Reads incrementally from the store.
    async fn read_on(
        &self,
        shared: &Rc<Shared>,
        part: &Partition,
        may_follow: bool,
        from: u64,
    ) -> Result<Batch, StoreError> {
        let requested_at = Cell::new(shared.now());
        let is_source = may_follow && feed::is_source(shared);
        let wait = if is_source { self.wait.min(SOURCE_READ_WAIT) } else { self.wait };
        let read = Read { part: part.clone(), from, wait, max_kb: None };
        let on_send = || requested_at.set(shared.now());
        let records = shared.reader.read_noting(purpose(shared, part), read, on_send).await?;
        shared.record_store_result(true);
        let is_complete = records.records.last().is_none_or(|last| last.offset + 1 >= records.end);
        let requested_at = requested_at.get();
        let batch = Batch { records, requested_at, is_snapshot: false, is_complete };
        if is_source {
            feed::record(shared, part, from, &batch);
        }
        Ok(batch)
    }

    /// Moves the position behind what was read: an incremental read ends at its
    /// last record, a snapshot at the partition's end.
    fn advance(&mut self, records: &Records) {
        let last = records.records.last().map_or(0, |record| record.offset + 1);
        let next = self.next.map_or(records.end, |from| last.max(from));
        // A snapshot may be outdated by now: the next read must not wait.
        self.wait = if self.next.is_none() { Duration::ZERO } else { READ_WAIT };
        self.next = Some(next);
        self.reached = self.reached.max(next);
        self.failures = 0;
    }

    fn fail(&mut self) {
        // It may be only waiting reads that get no response.
        self.wait = Duration::ZERO;
        self.failures += 1;
    }
}

/// Reads a partition until the process ends, and passes each batch of records
/// to `on_records`. A keyed partition begins with a snapshot, another with the
/// oldest record left. Reads are at least `interval` apart, unless `wake` is
/// notified.
pub(super) async fn follow(
    shared: Rc<Shared>,
    part: Partition,
    interval: impl Fn(&Shared) -> Duration,
    wake: Option<&Notify>,
    keyed: bool,
    on_records: impl Fn(&Rc<Shared>, Records, Origin),
) {
    let is_relayed = relay::is_relayed(&shared, &part);
    // Every instance reads the operator's topic itself, besides asking peers:
    // nothing works without the configuration.
    let may_follow = part.topic != shared.codec.operator_topic;
    let mut position = Position::new(keyed);
    if is_relayed && let Some((records, known_at)) = relay::fetch(&shared, &part).await {
        relay::keep(&shared, &part, &records, known_at);
        position.advance(&records);
        account(&shared, &part, &records, position.reached, true);
        let origin = Origin { is_snapshot: true, requested_at: None, known_at: Some(known_at) };
        on_records(&shared, records, origin);
    }
    loop {
        let started = Instant::now();
        match position.read(&shared, &part, may_follow).await {
            Ok(Batch { records, requested_at, is_snapshot, is_complete }) => {
                position.advance(&records);
                account(&shared, &part, &records, position.reached, is_snapshot);
                position.is_current |= !is_snapshot;
                let known_at = is_complete.then_some(requested_at);
                let requested_at = known_at.filter(|_| !is_snapshot);
                on_records(&shared, records, Origin { is_snapshot, requested_at, known_at });
                if is_snapshot {
                    continue;
                }
                let next = started + interval(&shared);
                match wake {
                    Some(wake) => drop(timeout_at(next, wake.notified()).await),
                    None => sleep_until(next).await,
                }
            }
            Err(StoreError::Trimmed(first)) => {
                shared.record_store_result(true);
                log::warn!("records of {}/{} before {first} were trimmed", part.topic, part.number);
                position.next = (!keyed).then_some(first);
            }
            Err(error) => {
                shared.record_store_result(false);
                log::info!("reading {}/{}: {error}", part.topic, part.number);
                position.fail();
                if !shared.reader.repeats(&part, &error) || is_shared(&shared) {
                    shared.reader.back_off(position.failures).await;
                }
            }
        }
    }
}

/// Counts what was read of a log up to `next`, unless it is one of jobs, which
/// are counted as they are folded.
fn account(shared: &Rc<Shared>, part: &Partition, records: &Records, next: u64, is_snapshot: bool) {
    if part.topic == JOBS {
        return;
    }
    if !shared.control.borrow().other_logs.contains_key(part) {
        capacity::estimate_past(shared, part, records, is_snapshot);
    }
    shared.account_for_read(part, records, next);
}

/// Whether a few instances read the partitions for all.
fn is_shared(shared: &Shared) -> bool {
    feed::is_source(shared) || feed::is_follower(shared)
}

/// What reads that follow a partition are for.
fn purpose(shared: &Shared, part: &Partition) -> ReadPurpose {
    let topic = part.topic.as_str();
    if topic == JOBS {
        ReadPurpose::Jobs
    } else if topic == shared.codec.operator_topic || topic == shared.codec.announcements {
        ReadPurpose::State
    } else {
        ReadPurpose::Background
    }
}

fn jobs_interval(shared: &Shared, part: usize) -> Duration {
    if shared.result_waiters[part].get() > 0 {
        return JOBS_INTERVAL;
    }
    if feed::is_follower(shared) {
        let factor = feed::followers(shared) as f64 / JOBS_FOLLOWERS;
        return JOBS_INTERVAL.mul_f64(factor.max(1.0)).min(MAX_JOBS_INTERVAL);
    }
    JOBS_INTERVAL.mul_f64((feed::readers(shared) as f64 / JOBS_INSTANCES).max(1.0))
}

/// Follows a partition of batch jobs.
pub async fn jobs(shared: Rc<Shared>, part: usize) {
    let notifies = shared.clone();
    let interval = move |shared: &Shared| jobs_interval(shared, part);
    let wake = Some(&notifies.job_accepted[part]);
    follow(
        shared,
        Partition::at(JOBS, part),
        interval,
        wake,
        true,
        move |shared, records, origin| {
            let end = if origin.is_snapshot { records.end } else { 0 };
            if origin.is_snapshot || origin.requested_at.is_some() {
                shared.control.borrow_mut().partitions[part].read_at = origin.requested_at;
            }
            if origin.requested_at.is_some() {
                shared.control.borrow_mut().interest.record_end(part, records.end);
            }
            if origin.is_snapshot {
                shared.remove_missing_jobs(part, &records);
            } else {
                feed::count_followed(shared, &records.records);
            }
            shared.apply_records(part, &records.records, end);
        },
    )
    .await;
}

/// Follows the targets' announcements.
pub async fn targets(shared: Rc<Shared>) {
    let part = Partition::new(shared.codec.announcements, 0);
    follow(
        shared,
        part,
        |_| TARGETS_INTERVAL,
        None,
        true,
        |shared, records, origin| {
            let now = shared.now();
            {
                let control = &mut *shared.control.borrow_mut();
                if origin.is_snapshot {
                    control.fleet.restart(now, records.end, &records.keys());
                }
                for record in &records.records {
                    apply_entry(shared, control, now, record);
                }
                if let Some(known_at) = origin.known_at {
                    control.fleet.departures.mark_known(known_at, records.end);
                }
                control.fleet_loaded |= origin.requested_at.is_some();
            }
            shared.handle_event(&crate::core::dispatch::Event::Tick);
        },
    )
    .await;
}

/// Applies the newest entry of a target.
fn apply_entry(shared: &Shared, control: &mut Control, now: Time, record: &Record) {
    let (id, offset) = (&record.key, record.offset);
    let Some(value) = &record.value else {
        log::info!("target {id} vanished, by record {offset}");
        control.fleet.record_end(now, offset, id);
        return;
    };
    let decoded = (shared.codec.announcement)(id, value);
    match decoded.and_then(|announcement| check_address(shared, announcement)) {
        Ok(announcement) => {
            let known = control.fleet.targets.get(id);
            if announcement.draining && known.is_none_or(|known| !known.announcement.draining) {
                log::info!("target {id} drains, by record {offset}");
            }
            apply_announcement(shared, control, now, offset, announcement);
        }
        Err(why) => {
            shared.meters.announcements_skipped.inc();
            if control.fleet.record_invalid(id, &why) {
                log::warn!("entry of {id} names no target to use: {why}");
            }
        }
    }
}

/// An instance is no target: requests that it sent to itself would be sent on
/// again and again.
fn check_address(shared: &Shared, announcement: Announcement) -> Result<Announcement, String> {
    let Settings { listen, ready_listen, peer_listen, peer_address, metrics_listen, .. } =
        &shared.settings;
    let own = [listen, ready_listen, peer_listen, peer_address, metrics_listen];
    match own.contains(&&announcement.address) {
        true => Err(format!("address {}, that of this instance", announcement.address)),
        false => Ok(announcement),
    }
}

fn apply_announcement(
    shared: &Shared,
    control: &mut Control,
    now: Time,
    offset: u64,
    announcement: Announcement,
) {
    let (id, born) = (announcement.id.clone(), announcement.start_ms);
    match control.fleet.announce_at(now, offset, announcement) {
        AnnounceOutcome::Accepted => {}
        AnnounceOutcome::Outdated => log::info!("entry of {id}, start {born:?}, is out of date"),
        AnnounceOutcome::Restarted(address) => shared.reset_target(control, &id, address),
    }
}

/// Follows the operator's commands: the configuration, the newest weights and
/// evacuations of failure domains.
pub async fn commands(shared: Rc<Shared>) {
    let part = Partition::new(shared.codec.operator_topic, 0);
    follow(
        shared,
        part,
        |_| COMMANDS_INTERVAL,
        None,
        true,
        |shared, records, origin| {
            for record in &records.records {
                apply_command(shared, record);
            }
            if origin.is_snapshot {
                end_withdrawn_evacuations(shared, &records);
            }
            if let Some(requested_at) = origin.requested_at {
                configuration::mark_current(shared, requested_at, "this instance");
            }
            shared.apply_routes();
        },
    )
    .await;
}

/// Ends evacuations that were withdrawn while the topic was not read here.
fn end_withdrawn_evacuations(shared: &Rc<Shared>, newest: &Records) {
    let domain = |key: &str| match (shared.codec.command)(key, None) {
        Ok(Some(Command::Evacuation { domain, .. })) => Some(domain),
        _ => None,
    };
    let on = newest.records.iter().filter_map(|record| domain(&record.key)).collect();
    // Records beyond the snapshot's end are read next.
    let unread: BTreeSet<String> = newest.beyond.iter().filter_map(|key| domain(key)).collect();
    configuration::replace_evacuated(shared, &on, |domain| unread.contains(domain));
}

fn apply_command(shared: &Rc<Shared>, record: &Record) {
    match (shared.codec.command)(&record.key, record.value.as_deref()) {
        Ok(Some(Command::Configuration(new))) => configuration::adopt(shared, new, "the store"),
        Ok(Some(Command::Version { model, version })) => {
            configuration::adopt_version(shared, &model, version);
        }
        Ok(Some(Command::Evacuation { domain, is_on })) => {
            configuration::set_evacuated(shared, &domain, is_on);
        }
        Ok(None) => {}
        Err(why) => {
            shared.meters.commands_skipped.inc();
            log::warn!("record {:?} of the operator skipped: {why}", record.key);
        }
    }
}
