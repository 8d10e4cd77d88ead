//! Keeps this instance's folds of the store's partitions up to date.
//!
//! Each partition is read from its beginning once, by the newest record of
//! each key, and then on from there. Where records that were not read yet
//! are gone, it starts over: keyed records are never gone for good.

use std::{
    collections::{BTreeSet, HashSet},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    core::{
        batch::Record,
        fleet::{AnnounceOutcome, Announcement},
        time::Time,
    },
    entry::{
        codec::Command,
        configuration,
        feed::{self, Batch},
        relay,
        shared::{Control, JOBS, Shared},
        store::{Newest, Partition, Read, Records, StoreError},
    },
};

/// How long a read waits for a record. A connection that died in silence is
/// noticed only when an answer is overdue, so a long wait would leave this
/// instance ignorant for as long after a cut has healed; a call a second is
/// cheap beside that. Two waits in a row, with what they take beside, must
/// end within the two seconds after which a partition is out of date: one
/// that nobody writes to is not.
const READ_WAIT: Duration = Duration::from_millis(900);
/// The same for an instance that others follow: theirs comes on top.
const SOURCE_READ_WAIT: Duration = Duration::from_millis(450);
/// Least time between reads of a partition of jobs: what one read more costs
/// against what a result that is known sooner earns. It grows with the
/// number of instances beyond [`JOBS_INSTANCES`], as all share the store's
/// rate of reads, but not where a caller waits for results: few instances
/// have one, and it is they who hold a step up.
const JOBS_INTERVAL: Duration = Duration::from_millis(40);
/// See [`JOBS_INTERVAL`]: 20 instances that read four busy partitions make 2,000
/// calls a second.
const JOBS_INSTANCES: f64 = 20.0;
/// Followers of one source up to which each asks as often as that. A busy
/// partition changes all the time, and each answer takes the source's time.
const JOBS_FOLLOWERS: f64 = 8.0;
/// Longest pause of a follower: with what a source's own read takes, the end
/// of a job must be known well before its partition is out of date.
const MAX_JOBS_INTERVAL: Duration = Duration::from_millis(600);
/// How long those that are followed are asked again at a start, while they have
/// not read a partition themselves.
const NOT_READY_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time between two such questions.
const NOT_READY_RETRY: Duration = Duration::from_millis(250);
/// Least time between reads of the targets' announcements. Each heartbeat is
/// a record; a leaving target must get nothing after two seconds.
const TARGETS_INTERVAL: Duration = Duration::from_millis(300);
/// Least time between reads of the operator's wishes.
const COMMANDS_INTERVAL: Duration = Duration::from_millis(20);

/// Where a batch of records comes from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    /// These are all there is from the beginning.
    pub is_snapshot: bool,
    /// When the store was asked for them: an answer may have lain here
    /// unread, and says nothing of what happened since. `None` for what is
    /// read from the beginning: that takes seconds among many instances, or
    /// was another instance's, and is current only once it was read on from.
    pub requested_at: Option<Time>,
}

/// How far a partition is read, and what the next read should look like.
struct Position {
    /// The offset to read from; `None` to begin with the newest of each key.
    next: Option<u64>,
    /// Pages of newest records so far.
    newest: Newest,
    /// How long the next read waits for a record.
    wait: Duration,
    /// Reads that failed in a row.
    failures: u32,
    /// It was read on from its beginning.
    is_current: bool,
}

impl Position {
    fn new(keyed: bool) -> Position {
        let next = (!keyed).then_some(0);
        Position {
            next,
            newest: Newest::default(),
            wait: READ_WAIT,
            failures: 0,
            is_current: false,
        }
    }

    /// Reads on: through another instance where this one follows any.
    async fn read(
        &mut self,
        shared: &Rc<Shared>,
        part: &Partition,
        may_follow: bool,
    ) -> Result<Batch, StoreError> {
        if may_follow && let Some(batch) = self.read_from_source(shared, part).await {
            return Ok(batch);
        }
        match self.next {
            Some(from) => self.read_on(shared, part, may_follow, from).await,
            None => self.read_snapshot(shared, part, may_follow).await,
        }
    }

    /// Takes what another instance hands on; of a partition that is not read
    /// yet, only where all of it is.
    async fn read_from_source(&mut self, shared: &Rc<Shared>, part: &Partition) -> Option<Batch> {
        if self.next.is_none() && part.topic != shared.codec.announcements {
            return None;
        }
        let batch = self.ask_sources(shared, part).await?;
        if self.next.is_none() && !batch.is_snapshot {
            return None;
        }
        // Records that say nothing new are left out.
        self.next = Some(batch.records.end);
        self.newest = Newest::default();
        Some(batch)
    }

    /// Asks those that this instance follows. While they live and have not
    /// read the partition themselves, all that follow them would only make them
    /// wait longer at the store.
    async fn ask_sources(&self, shared: &Rc<Shared>, part: &Partition) -> Option<Batch> {
        let patience = if self.is_current { Duration::ZERO } else { NOT_READY_TIMEOUT };
        let until = Instant::now() + patience;
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

    /// Reads the newest record of each key from the store.
    async fn read_snapshot(
        &mut self,
        shared: &Rc<Shared>,
        part: &Partition,
        may_follow: bool,
    ) -> Result<Batch, StoreError> {
        let requested_at = shared.now();
        shared.reader.resume_newest(part, &mut self.newest).await?;
        shared.record_store_result(true);
        let records = std::mem::take(&mut self.newest).into_records();
        if may_follow {
            feed::start(shared, part, &records);
        }
        if relay::is_relayed(shared, part) {
            relay::keep(shared, part, &records, shared.now().since(requested_at));
        }
        Ok(Batch { records, requested_at, is_snapshot: true })
    }

    /// Reads on in the store.
    async fn read_on(
        &self,
        shared: &Rc<Shared>,
        part: &Partition,
        may_follow: bool,
        from: u64,
    ) -> Result<Batch, StoreError> {
        let requested_at = shared.now();
        let is_source = may_follow && feed::is_source(shared);
        let wait = if is_source { self.wait.min(SOURCE_READ_WAIT) } else { self.wait };
        let read = Read { part: part.clone(), from, wait, max_kb: None };
        let records = shared.reader.read(read).await?;
        shared.record_store_result(true);
        if is_source {
            feed::record(shared, part, from, &records, requested_at);
        }
        Ok(Batch { records, requested_at, is_snapshot: false })
    }

    /// Goes on behind what was read. A read ends at its last record, the
    /// newest of all keys at the partition's end.
    fn advance(&mut self, records: &Records) {
        let last = records.records.last().map_or(0, |record| record.offset + 1);
        let next = self.next.map_or(records.end, |from| last.max(from));
        // What came from the beginning is not known to be current.
        self.wait = if self.next.is_none() { Duration::ZERO } else { READ_WAIT };
        self.next = Some(next);
        self.failures = 0;
    }

    fn fail(&mut self) {
        // A read that waits may be the only kind that gets no answer.
        self.wait = Duration::ZERO;
        self.failures += 1;
    }
}

/// Reads a partition for good and hands every batch of records to `take`,
/// with the partition's end and where they come from. A keyed partition is
/// read from its newest records, another from whatever is left of it. Between
/// reads there is a `pause`, which `sooner` ends.
pub(super) async fn follow(
    shared: Rc<Shared>,
    part: Partition,
    pause: impl Fn(&Shared) -> Duration,
    sooner: Option<&Notify>,
    keyed: bool,
    take: impl Fn(&Rc<Shared>, Records, Origin),
) {
    let is_relayed = relay::is_relayed(&shared, &part);
    // The configuration is vital: everybody reads it, beside what peers tell.
    let may_follow = part.topic != shared.codec.operator_topic;
    let mut position = Position::new(keyed);
    if is_relayed && let Some((records, age_ms)) = relay::fetch(&shared, &part).await {
        relay::keep(&shared, &part, &records, age_ms);
        position.advance(&records);
        take(&shared, records, Origin { is_snapshot: true, requested_at: None });
    }
    loop {
        let started = Instant::now();
        match position.read(&shared, &part, may_follow).await {
            Ok(Batch { records, requested_at, is_snapshot }) => {
                if part.topic != JOBS {
                    shared.account_for_read(&part, &records);
                }
                position.advance(&records);
                position.is_current |= !is_snapshot;
                let requested_at = (!is_snapshot).then_some(requested_at);
                take(&shared, records, Origin { is_snapshot, requested_at });
                if is_snapshot {
                    continue;
                }
                let next = started + pause(&shared);
                match sooner {
                    Some(sooner) => drop(timeout_at(next, sooner.notified()).await),
                    None => sleep_until(next).await,
                }
            }
            Err(StoreError::Trimmed(first)) => {
                shared.record_store_result(true);
                log::warn!("records of {}/{} before {first} are gone", part.topic, part.number);
                position.next = (!keyed).then_some(first);
            }
            Err(fault) => {
                shared.record_store_result(false);
                log::info!("reading {}/{}: {fault}", part.topic, part.number);
                position.fail();
                shared.reader.back_off(position.failures).await;
            }
        }
    }
}

fn jobs_interval(shared: &Shared, part: usize) -> Duration {
    if shared.result_waiters[part].get() > 0 {
        return JOBS_INTERVAL;
    }
    if feed::is_follower(shared) {
        let crowd = feed::followers(shared) as f64 / JOBS_FOLLOWERS;
        return JOBS_INTERVAL.mul_f64(crowd.max(1.0)).min(MAX_JOBS_INTERVAL);
    }
    JOBS_INTERVAL.mul_f64((feed::readers(shared) as f64 / JOBS_INSTANCES).max(1.0))
}

/// Follows one partition of batch jobs.
pub async fn jobs(shared: Rc<Shared>, part: usize) {
    let hurry = shared.clone();
    let pause = move |shared: &Shared| jobs_interval(shared, part);
    let sooner = Some(&hurry.job_accepted[part]);
    follow(shared, Partition::at(JOBS, part), pause, sooner, true, move |shared, records, from| {
        let end = if from.is_snapshot { records.end } else { 0 };
        shared.control.borrow_mut().partitions[part].read_at = from.requested_at;
        if from.is_snapshot {
            shared.remove_missing_jobs(part, &records);
        }
        shared.apply_records(part, &records.records, end);
    })
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
        |shared, records, from| {
            let now = shared.now();
            {
                let control = &mut *shared.control.borrow_mut();
                if from.is_snapshot {
                    // Whatever is not among the newest has vanished unseen.
                    let listed: HashSet<&str> =
                        records.records.iter().map(|record| record.key.as_str()).collect();
                    let ids: Vec<String> = control.fleet.targets.keys().cloned().collect();
                    for id in ids.iter().filter(|id| !listed.contains(id.as_str())) {
                        control.fleet.record_expiry(now, id);
                    }
                }
                for record in &records.records {
                    apply_entry(shared, control, now, record);
                }
                control.fleet_loaded |= from.requested_at.is_some();
            }
            shared.handle_event(&crate::core::dispatch::Event::Tick);
        },
    )
    .await;
}

/// Takes one entry of a target in.
fn apply_entry(shared: &Shared, control: &mut Control, now: Time, record: &Record) {
    let id = &record.key;
    let Some(value) = &record.value else {
        log::info!("target {id} vanished");
        control.fleet.record_expiry(now, id);
        return;
    };
    match (shared.codec.announcement)(id, value) {
        Ok(said) => apply_announcement(shared, control, now, said),
        Err(why) => {
            shared.meters.announcements_skipped.inc();
            if control.fleet.record_invalid(id, &why) {
                log::warn!("entry of {id} names no target to use: {why}");
            }
        }
    }
}

fn apply_announcement(shared: &Shared, control: &mut Control, now: Time, said: Announcement) {
    let (id, born) = (said.id.clone(), said.start_ms);
    match control.fleet.announce(now, said) {
        AnnounceOutcome::Accepted => {}
        AnnounceOutcome::Outdated => log::info!("entry of {id}, start {born:?}, is out of date"),
        AnnounceOutcome::Restarted(address) => shared.reset_target(control, &id, address),
    }
}

/// Follows the operator's wishes: the configuration and the newest weights.
pub async fn commands(shared: Rc<Shared>) {
    let part = Partition::new(shared.codec.operator_topic, 0);
    follow(
        shared,
        part,
        |_| COMMANDS_INTERVAL,
        None,
        true,
        |shared, records, from| {
            for record in &records.records {
                apply_command(shared, record);
            }
            if from.is_snapshot {
                end_withdrawn_evacuations(shared, &records);
            }
            if let Some(requested_at) = from.requested_at {
                configuration::mark_current(shared, requested_at);
            }
            shared.open_waiting_jobs();
        },
    )
    .await;
}

/// Ends evacuations that were taken back while nothing was read here.
fn end_withdrawn_evacuations(shared: &Rc<Shared>, newest: &Records) {
    let domain = |key: &str| match (shared.codec.command)(key, None) {
        Ok(Some(Command::Evacuation { domain, .. })) => Some(domain),
        _ => None,
    };
    let on = newest.records.iter().filter_map(|record| domain(&record.key)).collect();
    // What was written since the reading began is read next.
    let unread: BTreeSet<String> = newest.beyond.iter().filter_map(|key| domain(key)).collect();
    configuration::replace_evacuated(shared, &on, |domain| unread.contains(domain));
}

fn apply_command(shared: &Rc<Shared>, record: &Record) {
    match (shared.codec.command)(&record.key, record.value.as_deref()) {
        Ok(Some(Command::Configuration(plan))) => configuration::adopt(shared, plan, "the store"),
        Ok(Some(Command::Version { model, version })) => {
            configuration::adopt_version(shared, &model, version)
        }
        Ok(Some(Command::Evacuation { domain, is_on })) => {
            configuration::set_evacuated(shared, &domain, is_on)
        }
        Ok(None) => {}
        Err(why) => {
            shared.meters.commands_skipped.inc();
            log::warn!("record {:?} of the operator skipped: {why}", record.key);
        }
    }
}
