//! Keeps this instance's folds of the store's partitions up to date.
//!
//! Each partition is read from its beginning once, by the newest record of
//! each key, and then on from there. Where records that were not read yet
//! are gone, it starts over: keyed records are never gone for good.

use std::{rc::Rc, time::Duration};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    core::{
        batch::Record,
        fleet::{Announcement, Heard},
        time::Time,
    },
    entry::{
        dialect::Wish,
        feed, plans, relay,
        shared::{JOBS, Shared, World},
        store::{Fault, Newest, Part, Read, Records},
    },
};

/// How long a read waits for a record. A connection that died in silence is
/// noticed only when an answer is overdue, so a long wait would leave this
/// instance ignorant for as long after a cut has healed; a call a second is
/// cheap beside that. Two waits in a row, with what they take beside, must
/// end within the two seconds after which a partition is out of date: one
/// that nobody writes to is not.
const WAIT: Duration = Duration::from_millis(900);
/// The same for an instance that others follow: theirs comes on top.
const SOURCE_WAIT: Duration = Duration::from_millis(450);
/// Least time between reads of a partition of jobs: what one read more costs
/// against what a result that is known sooner earns. It grows with the
/// number of instances beyond [`JOBS_MEMBERS`], as all share the store's
/// rate of reads, but not where a caller waits for results: few instances
/// have one, and it is they who hold a step up.
const JOBS_PAUSE: Duration = Duration::from_millis(40);
/// See [`JOBS_PAUSE`]: 20 instances that read four busy partitions make 2,000
/// calls a second.
const JOBS_MEMBERS: f64 = 20.0;
/// Least time between reads of the targets' announcements. Each heartbeat is
/// a record; a leaving target must get nothing after two seconds.
const FLEET_PAUSE: Duration = Duration::from_millis(300);
/// Least time between reads of the operator's wishes.
const WISHES_PAUSE: Duration = Duration::from_millis(20);

/// Where a batch of records comes from.
#[derive(Clone, Copy, Debug)]
pub(super) struct From {
    /// These are all there is from the beginning.
    pub anew: bool,
    /// When the store was asked for them: an answer may have lain here
    /// unread, and says nothing of what happened since. `None` for what is
    /// read from the beginning: that takes seconds among many instances, or
    /// was another instance's, and is current only once it was read on from.
    pub asked_at: Option<Time>,
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
}

impl Position {
    fn new(keyed: bool) -> Position {
        let next = (!keyed).then_some(0);
        Position { next, newest: Newest::default(), wait: WAIT, failures: 0 }
    }

    /// Reads on, and returns when the store was asked: through another
    /// instance where this one follows any.
    async fn read(
        &mut self,
        shared: &Rc<Shared>,
        part: &Part,
        is_fed: bool,
    ) -> Result<(Records, Time), Fault> {
        let asked_at = shared.now();
        let Some(from) = self.next else {
            shared.reader.newest_on(part, &mut self.newest).await?;
            shared.store_did(true);
            return Ok((std::mem::take(&mut self.newest).into_records(), asked_at));
        };
        if is_fed && let Some((records, asked_at)) = feed::ask(shared, part, from).await {
            // Records that say nothing new are left out.
            self.next = Some(records.end);
            return Ok((records, asked_at));
        }
        let is_source = is_fed && feed::is_source(shared);
        let wait = if is_source { self.wait.min(SOURCE_WAIT) } else { self.wait };
        let read = Read { part: part.clone(), from, wait, most_kb: None };
        let records = shared.reader.read(read).await?;
        shared.store_did(true);
        if is_source {
            feed::keep(shared, part, from, &records, asked_at);
        }
        Ok((records, asked_at))
    }

    /// Goes on behind what was read. A read ends at its last record, the
    /// newest of all keys at the partition's end.
    fn advance(&mut self, records: &Records) {
        let last = records.records.last().map_or(0, |record| record.offset + 1);
        let next = self.next.map_or(records.end, |from| last.max(from));
        // What came from the beginning is not known to be current.
        self.wait = if self.next.is_none() { Duration::ZERO } else { WAIT };
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
    part: Part,
    pause: impl Fn(&Shared) -> Duration,
    sooner: Option<&Notify>,
    keyed: bool,
    take: impl Fn(&Rc<Shared>, Records, From),
) {
    // Jobs are what is large at a start.
    let is_relayed = part.topic == JOBS;
    // The configuration is vital: everybody reads it, beside what peers tell.
    let is_fed = part.topic != shared.dialect.wishes;
    let mut position = Position::new(keyed);
    if is_relayed && let Some((records, age_ms)) = relay::ask(&shared, &part).await {
        relay::keep(&shared, &part, &records, age_ms);
        position.advance(&records);
        take(&shared, records, From { anew: true, asked_at: None });
    }
    loop {
        let started = Instant::now();
        let anew = position.next.is_none();
        match position.read(&shared, &part, is_fed).await {
            Ok((records, asked_at)) => {
                if part.topic != JOBS {
                    shared.read_of(&part, &records);
                }
                position.advance(&records);
                if anew && is_relayed {
                    relay::keep(&shared, &part, &records, shared.now().since(asked_at));
                }
                let asked_at = (!anew).then_some(asked_at);
                take(&shared, records, From { anew, asked_at });
                if anew {
                    continue;
                }
                let next = started + pause(&shared);
                match sooner {
                    Some(sooner) => drop(timeout_at(next, sooner.notified()).await),
                    None => sleep_until(next).await,
                }
            }
            Err(Fault::Gone(first)) => {
                shared.store_did(true);
                log::warn!("records of {}/{} before {first} are gone", part.topic, part.number);
                position.next = (!keyed).then_some(first);
            }
            Err(fault) => {
                shared.store_did(false);
                log::info!("reading {}/{}: {fault}", part.topic, part.number);
                position.fail();
                shared.reader.pause(position.failures).await;
            }
        }
    }
}

fn jobs_pause(shared: &Shared, part: usize) -> Duration {
    if shared.readers[part].get() > 0 || feed::is_follower(shared) {
        return JOBS_PAUSE;
    }
    JOBS_PAUSE.mul_f64((feed::readers(shared) as f64 / JOBS_MEMBERS).max(1.0))
}

/// Follows one partition of batch jobs.
pub async fn jobs(shared: Rc<Shared>, part: usize) {
    let hurry = shared.clone();
    let pause = move |shared: &Shared| jobs_pause(shared, part);
    let sooner = Some(&hurry.accepted[part]);
    follow(shared, Part::at(JOBS, part), pause, sooner, true, move |shared, records, from| {
        let end = if from.anew { records.end } else { 0 };
        shared.world.borrow_mut().shelves[part].read_at = from.asked_at;
        if from.anew {
            shared.drop_missing(part, &records);
        }
        shared.absorb(part, &records.records, end);
    })
    .await;
}

/// Follows the targets' announcements.
pub async fn fleet(shared: Rc<Shared>) {
    let part = Part::new(shared.dialect.announcements, 0);
    follow(
        shared,
        part,
        |_| FLEET_PAUSE,
        None,
        true,
        |shared, records, from| {
            let now = shared.now();
            {
                let world = &mut *shared.world.borrow_mut();
                if from.anew {
                    // Whatever is not among the newest has vanished unseen.
                    let listed = |id: &String| records.records.iter().any(|r| r.key == *id);
                    let ids: Vec<String> = world.fleet.targets.keys().cloned().collect();
                    for id in ids.iter().filter(|id| !listed(id)) {
                        world.fleet.vanish(now, id);
                    }
                }
                for record in &records.records {
                    entry(shared, world, now, record);
                }
                world.fleet_known = true;
            }
            shared.tell(&crate::core::dispatch::Event::Tick);
        },
    )
    .await;
}

/// Takes one entry of a target in.
fn entry(shared: &Shared, world: &mut World, now: Time, record: &Record) {
    let id = &record.key;
    let Some(value) = &record.value else {
        log::info!("target {id} vanished");
        world.fleet.vanish(now, id);
        return;
    };
    match (shared.dialect.announcement)(id, value) {
        Ok(said) => announced(shared, world, now, said),
        Err(why) => {
            shared.meters.entries_skipped.inc();
            if world.fleet.skip(id, &why) {
                log::warn!("entry of {id} names no target to use: {why}");
            }
        }
    }
}

fn announced(shared: &Shared, world: &mut World, now: Time, said: Announcement) {
    let (id, born) = (said.id.clone(), said.born);
    match world.fleet.announce(now, said) {
        Heard::Taken => {}
        Heard::Outdated => log::info!("entry of {id}, start {born:?}, is out of date"),
        Heard::Restarted(address) => shared.restarted(world, &id, address),
    }
}

/// Follows the operator's wishes: the configuration and the newest weights.
pub async fn wishes(shared: Rc<Shared>) {
    let part = Part::new(shared.dialect.wishes, 0);
    follow(
        shared,
        part,
        |_| WISHES_PAUSE,
        None,
        true,
        |shared, records, from| {
            for record in &records.records {
                wish(shared, record);
            }
            if let Some(asked_at) = from.asked_at {
                plans::current(shared, asked_at);
            }
            shared.open_waiting();
        },
    )
    .await;
}

fn wish(shared: &Rc<Shared>, record: &Record) {
    let Some(value) = &record.value else {
        return;
    };
    match (shared.dialect.wish)(&record.key, value) {
        Ok(Some(Wish::Plan(plan))) => plans::take(shared, plan, "the store"),
        Ok(Some(Wish::Version { model, version })) => plans::named(shared, &model, version),
        Ok(None) => {}
        Err(why) => {
            shared.meters.plans_skipped.inc();
            log::warn!("record {:?} of the operator skipped: {why}", record.key);
        }
    }
}
