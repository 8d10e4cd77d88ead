//! Reads of the store by one instance: limits their concurrency and, while the
//! store refuses them for its rate or its queue, their rate; adapts their timeout, and
//! resumes those that failed half-way.
//!
//! The records are processed elsewhere ([`crate::entry::follow`]).

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{Mutex, Notify, OwnedMutexGuard, Semaphore},
    time::{Instant, sleep},
};

use crate::{
    core::{
        group::Listing,
        outage::Outages,
        read_rate::{ReadPurpose, ReadRate, Ticket},
        text_window::TextWindow,
        time::Time,
        timeout::{self, Timeout},
    },
    entry::{
        shared::TEXTS,
        store::{Client, Newest, Page, Partition, Read, Records, StoreError, WithIdleTimeout},
    },
};

/// Pages of newest records that an instance requests concurrently. A page is up
/// to 1 MB, and all instances start together after an outage. One page each
/// keeps the store busy; with more, each response would queue behind up to
/// seven of every other instance.
const MAX_CONCURRENT_PAGES: usize = 1;
/// Largest response that followers ask for while the store's queue is long, in
/// kilobytes: what is more urgent waits behind it.
const CROWDED_READ_KB: usize = 256;
/// Size of a page of newest records, in bytes, which no read can limit.
pub(super) const PAGE_BYTES: u64 = 1 << 20;
/// How long a read is repeated in its place while the store refuses it. Callers wait
/// a second for results, and little longer for the response.
const RETRY_TIME: Duration = Duration::from_millis(1_000);

/// Reads the store.
#[derive(Debug)]
pub struct Reader {
    store: Client,
    timeout: RefCell<Timeout>,
    pages: Semaphore,
    rate: RefCell<ReadRate>,
    outages: RefCell<Outages<Partition>>,
    texts: RefCell<TextWindow>,
    /// Held by the next read of texts that waits for others to end.
    next_text: Mutex<()>,
    text_ended: Notify,
    /// Partitions whose last read got no response. One of their reads of texts is made
    /// at a time, and the bytes of others don't wait for it.
    silent: RefCell<HashMap<Partition, Arc<Mutex<()>>>>,
    created: Instant,
    instance_count: Cell<usize>,
    store_unavailable: Cell<bool>,
    is_shared: Cell<bool>,
    unused_bytes: Cell<u64>,
}

impl Reader {
    /// A reader without any observed response times.
    #[must_use]
    pub fn new(store: Client) -> Reader {
        Reader {
            store,
            timeout: RefCell::default(),
            pages: Semaphore::new(MAX_CONCURRENT_PAGES),
            rate: RefCell::default(),
            outages: RefCell::default(),
            texts: RefCell::default(),
            next_text: Mutex::new(()),
            text_ended: Notify::new(),
            silent: RefCell::default(),
            created: Instant::now(),
            instance_count: Cell::new(1),
            store_unavailable: Cell::new(false),
            is_shared: Cell::new(false),
            unused_bytes: Cell::new(0),
        }
    }

    /// Counts bytes of records that lay between those that were wanted.
    pub(super) fn count_unused(&self, bytes: u64) {
        self.unused_bytes.set(self.unused_bytes.get() + bytes);
    }

    /// Bytes of records that lay between those that were wanted.
    #[must_use]
    pub fn unused_bytes(&self) -> u64 {
        self.unused_bytes.get()
    }

    /// Sets the number of instances that share the store, which scales the
    /// back-off.
    pub fn set_instance_count(&self, instances: usize) {
        self.instance_count.set(instances);
    }

    /// Sets whether the store is unavailable to this instance.
    pub fn set_store_unavailable(&self, unavailable: bool) {
        let was_unavailable = self.store_unavailable.replace(unavailable);
        if unavailable && !was_unavailable {
            self.rate.borrow_mut().record_outage();
        }
        if unavailable {
            self.timeout.borrow_mut().record_outage();
        }
    }

    /// Sets whether a few instances read the partitions for all. Their reads take no
    /// turns then, so that followers find them current, and what is refused is not
    /// repeated in place: followers ask them again first.
    pub fn set_shared(&self, is_shared: bool) {
        self.is_shared.set(is_shared);
    }

    /// Whether reads for a purpose take turns and are repeated.
    fn takes_turns(&self, purpose: ReadPurpose) -> bool {
        purpose == ReadPurpose::Caller || !self.is_shared.get()
    }

    /// Whether a read of a partition that failed is repeated in its turn. A store, or
    /// a partition, that is down is asked without: no share of it is used up.
    #[must_use]
    pub fn repeats(&self, part: &Partition, error: &StoreError) -> bool {
        match error {
            StoreError::RateLimited => true,
            StoreError::Unavailable => {
                !self.store_unavailable.get() && !self.outages.borrow().is_down(self.now(), part)
            }
            _ => false,
        }
    }

    /// Whether the store refuses reads for their rate alone: one read should take
    /// what several would.
    pub fn are_calls_scarce(&self) -> bool {
        self.is_limited() && !self.timeout.borrow().is_crowded()
    }

    /// Whether the store refuses reads for their rate or its queue, so that they
    /// take turns.
    pub fn is_limited(&self) -> bool {
        self.rate.borrow().is_limited()
    }

    /// Reads records that a caller waits for.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn read(&self, read: Read) -> Result<Records, StoreError> {
        self.read_for(ReadPurpose::Caller, read).await
    }

    /// Reads records. While the store refuses the read for its rate or its queue, it
    /// is repeated for [`RETRY_TIME`].
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn read_for(&self, purpose: ReadPurpose, read: Read) -> Result<Records, StoreError> {
        self.read_noting(purpose, read, || {}).await
    }

    /// Like [`Reader::read_for`]; `on_send` is called each time that the read is
    /// sent, which may be long after it was queued.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn read_noting(
        &self,
        purpose: ReadPurpose,
        read: Read,
        on_send: impl Fn(),
    ) -> Result<Records, StoreError> {
        let call = || {
            on_send();
            let (wait, mut read) = (read.wait, read.clone());
            if purpose != ReadPurpose::Caller && self.timeout.borrow().is_crowded() {
                read.max_kb =
                    Some(read.max_kb.map_or(CROWDED_READ_KB, |kb| kb.min(CROWDED_READ_KB)));
            }
            let part = read.part.clone();
            self.call(part, wait, |idle_timeout| {
                (self.store.read)(WithIdleTimeout { read, idle_timeout })
            })
        };
        self.repeat(purpose, &read.part, call).await
    }

    /// Largest read of texts that should be made now, in bytes.
    #[must_use]
    pub fn text_read_limit(&self) -> u64 {
        self.texts.borrow().limit()
    }

    /// Waits until so many more bytes of texts may be in flight, in the order of
    /// calls. They are until the returned value is dropped.
    pub(super) async fn begin_texts(self: &Rc<Self>, part: u32, bytes: u64) -> TextsInFlight {
        let part = Partition::new(TEXTS, part);
        let silent = self.silent.borrow().get(&part).cloned();
        if let Some(silent) = silent {
            let turn = Some(silent.lock_owned().await);
            return TextsInFlight { reader: self.clone(), bytes: 0, _turn: turn };
        }
        let _next = self.next_text.lock().await;
        loop {
            let ended = self.text_ended.notified();
            if self.texts.borrow_mut().try_begin(bytes) {
                return TextsInFlight { reader: self.clone(), bytes, _turn: None };
            }
            ended.await;
        }
    }

    /// Reads the members of a group that hold a partition.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn members(&self, group: String) -> Result<Listing, StoreError> {
        // Groups are in no partition; a name tells them from those.
        let part = Partition::new(&group, 0);
        let call = || {
            let (part, group) = (part.clone(), group.clone());
            self.call(part, Duration::ZERO, |idle_timeout| {
                (self.store.members)(WithIdleTimeout { read: group, idle_timeout })
            })
        };
        self.repeat(ReadPurpose::State, &part, call).await
    }

    /// Reads the page of newest records that begins after a key, for a
    /// caller.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn newest(
        &self,
        part: &Partition,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        self.newest_for(ReadPurpose::Caller, part, after).await
    }

    /// Reads the page of newest records that begins after a key; repeated like
    /// [`Reader::read_for`].
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn newest_for(
        &self,
        purpose: ReadPurpose,
        part: &Partition,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        let call = async || {
            // After the turn: others would wait for it too. What is small and urgent
            // doesn't wait behind pages of jobs.
            let _permit = match purpose {
                ReadPurpose::State => None,
                _ => self.pages.acquire().await.ok(),
            };
            let read = (part.clone(), after.clone());
            let page = |idle_timeout| (self.store.newest)(WithIdleTimeout { read, idle_timeout });
            self.call(part.clone(), Duration::ZERO, page).await
        };
        self.repeat(purpose, part, call).await
    }

    /// Reads the remaining newest records of a partition, from the page at
    /// which an earlier attempt failed. Starting over after each failure does
    /// not work: with many instances and a store that refuses what exceeds its
    /// bandwidth, none of them ever reached the end.
    ///
    /// # Errors
    ///
    /// The [`StoreError`] of a page; what was read so far stays in `newest`.
    pub async fn resume_newest(
        &self,
        part: &Partition,
        newest: &mut Newest,
    ) -> Result<(), StoreError> {
        self.resume_newest_for(ReadPurpose::Jobs, part, newest).await
    }

    /// As [`Reader::resume_newest`], for a purpose.
    ///
    /// # Errors
    ///
    /// As [`Reader::resume_newest`].
    pub async fn resume_newest_for(
        &self,
        purpose: ReadPurpose,
        part: &Partition,
        newest: &mut Newest,
    ) -> Result<(), StoreError> {
        while !newest.is_done() {
            let page = self.newest_for(purpose, part, newest.after().cloned()).await?;
            newest.add_page(page);
        }
        Ok(())
    }

    /// Waits after a failed call; `failures` is the number of failures in a
    /// row. The time is random, up to [`timeout::max_backoff_ms`], so that
    /// instances that failed together do not retry together.
    pub async fn back_off(&self, failures: u32) {
        let max_ms = timeout::max_backoff_ms(
            failures,
            self.instance_count.get(),
            self.store_unavailable.get(),
        );
        sleep(Duration::from_millis(rand::random_range(0..=max_ms))).await;
    }

    /// Makes a call in its turn. While the store refuses it for its rate or its
    /// queue, it is repeated for [`RETRY_TIME`] and keeps its place in the queue.
    async fn repeat<T>(
        &self,
        purpose: ReadPurpose,
        part: &Partition,
        call: impl AsyncFn() -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if !self.takes_turns(purpose) {
            return call().await;
        }
        let until = Instant::now() + RETRY_TIME;
        let ticket = self.rate.borrow_mut().enter(self.now(), purpose);
        let queued = Queued { rate: &self.rate, ticket };
        loop {
            self.wait_for_turn(queued.ticket).await;
            match call().await {
                Err(error) if self.repeats(part, &error) && Instant::now() < until => {
                    self.rate.borrow_mut().enter_again(queued.ticket);
                }
                other => return other,
            }
        }
    }

    /// Makes a call with the current idle timeout, and adapts the timeout and the
    /// rate to its outcome.
    async fn call<T>(
        &self,
        part: Partition,
        wait: Duration,
        call: impl FnOnce(Duration) -> crate::entry::store::LocalFuture<Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let limit_ms = self.timeout.borrow().current_ms();
        let started = Instant::now();
        let answer = call(Duration::from_millis(limit_ms)).await;
        let took = started.elapsed();
        match &answer {
            Ok(_) | Err(StoreError::Trimmed(_)) => {
                self.rate.borrow_mut().record_success(self.now());
                self.outages.borrow_mut().record_success(self.now(), &part);
            }
            Err(StoreError::Unavailable) => {
                self.outages.borrow_mut().record_refusal(self.now(), part.clone());
            }
            Err(_) => {}
        }
        let is_refused = answer.as_ref().is_err_and(|error| self.repeats(&part, error));
        if is_refused {
            let jitter = rand::random_range(0.0..=1.0);
            self.rate.borrow_mut().record_refusal(self.now(), jitter);
        }
        let was_silent = self.note_silence(&part, &answer);
        let (now, mut texts) = (self.now(), self.texts.borrow_mut());
        let mut timeout = self.timeout.borrow_mut();
        match &answer {
            // A response before `wait` has passed is left out: the store
            // waited for a record, for an unknown part of that time.
            Ok(_) if took >= wait => {
                let beyond = took.saturating_sub(wait).as_millis();
                let beyond_ms = u64::try_from(beyond).unwrap_or(u64::MAX);
                timeout.record_answer(beyond_ms);
                timeout.record_queue(texts.record_answer(now, beyond_ms));
            }
            Err(StoreError::Unavailable) if is_refused => {
                timeout.record_refusal();
                texts.record_refusal(now);
            }
            Err(StoreError::TimedOut) if !self.store_unavailable.get() => {
                timeout.record_timeout(limit_ms);
                // One that gave no response before has no queue, but no connection.
                if !was_silent {
                    texts.record_refusal(now);
                }
            }
            _ => {}
        }
        answer
    }

    /// Notes whether the last read of a partition got a response; returns whether the
    /// one before got none.
    fn note_silence<T>(&self, part: &Partition, answer: &Result<T, StoreError>) -> bool {
        let mut silent = self.silent.borrow_mut();
        match answer {
            Err(StoreError::TimedOut) if silent.contains_key(part) => true,
            Err(StoreError::TimedOut) => {
                silent.insert(part.clone(), Arc::default());
                false
            }
            _ => silent.remove(part).is_some(),
        }
    }

    /// Waits until a read may be sent by the rate that other callers leave.
    async fn wait_for_turn(&self, ticket: Ticket) {
        loop {
            let begun = self.rate.borrow_mut().try_begin(self.now(), ticket);
            match begun {
                Ok(()) => return,
                Err(at) => sleep(Duration::from_millis(at.since(self.now()).max(1))).await,
            }
        }
    }

    fn now(&self) -> Time {
        Time::START.after(u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Bytes of texts in flight, until dropped.
pub(super) struct TextsInFlight {
    reader: Rc<Reader>,
    bytes: u64,
    /// The turn of a partition that gave no response.
    _turn: Option<OwnedMutexGuard<()>>,
}

impl Drop for TextsInFlight {
    fn drop(&mut self) {
        self.reader.texts.borrow_mut().end(self.bytes);
        self.reader.text_ended.notify_waiters();
    }
}

/// A read in the queue for turns, which it leaves when dropped.
struct Queued<'a> {
    rate: &'a RefCell<ReadRate>,
    ticket: Ticket,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.rate.borrow_mut().cancel(self.ticket);
    }
}
