//! Reads of the store by one instance: limits their concurrency, adapts their
//! timeout, and resumes those that failed half-way.
//!
//! The records are processed elsewhere ([`crate::entry::follow`]).

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};

use crate::{
    core::{
        group::Listing,
        timeout::{self, Timeout},
    },
    entry::store::{Client, Newest, Page, Partition, Read, Records, StoreError, WithIdleTimeout},
};

/// Pages of newest records that an instance requests concurrently. A page is up
/// to 1 MB, and all instances start together after an outage. One page each
/// keeps the store busy; with more, each response would queue behind up to
/// seven of every other instance.
const MAX_CONCURRENT_PAGES: usize = 1;

/// Reads the store.
#[derive(Debug)]
pub struct Reader {
    store: Client,
    timeout: RefCell<Timeout>,
    pages: Semaphore,
    instance_count: Cell<usize>,
    store_unavailable: Cell<bool>,
}

impl Reader {
    /// A reader without any observed response times.
    #[must_use]
    pub fn new(store: Client) -> Reader {
        Reader {
            store,
            timeout: RefCell::default(),
            pages: Semaphore::new(MAX_CONCURRENT_PAGES),
            instance_count: Cell::new(1),
            store_unavailable: Cell::new(false),
        }
    }

    /// Sets the number of instances that share the store, which scales the
    /// back-off.
    pub fn set_instance_count(&self, instances: usize) {
        self.instance_count.set(instances);
    }

    /// Sets whether the store is unavailable to this instance.
    pub fn set_store_unavailable(&self, unavailable: bool) {
        self.store_unavailable.set(unavailable);
        if unavailable {
            self.timeout.borrow_mut().record_outage();
        }
    }

    /// Reads records.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn read(&self, read: Read) -> Result<Records, StoreError> {
        let wait = read.wait;
        self.call(wait, |idle_timeout| (self.store.read)(WithIdleTimeout { read, idle_timeout }))
            .await
    }

    /// Reads the members of a group that hold a partition.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn members(&self, group: String) -> Result<Listing, StoreError> {
        let members =
            |idle_timeout| (self.store.members)(WithIdleTimeout { read: group, idle_timeout });
        self.call(Duration::ZERO, members).await
    }

    /// Reads the page of newest records that begins after a key.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn newest(
        &self,
        part: &Partition,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        let _permit = self.pages.acquire().await.ok();
        let read = (part.clone(), after);
        let page = |idle_timeout| (self.store.newest)(WithIdleTimeout { read, idle_timeout });
        self.call(Duration::ZERO, page).await
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
        while !newest.is_done() {
            let page = self.newest(part, newest.after().cloned()).await?;
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

    /// Makes a call with the current idle timeout, and adapts the timeout to
    /// its outcome.
    async fn call<T>(
        &self,
        wait: Duration,
        call: impl FnOnce(Duration) -> crate::entry::store::LocalFuture<Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let limit_ms = self.timeout.borrow().current_ms();
        let started = Instant::now();
        let answer = call(Duration::from_millis(limit_ms)).await;
        let took = started.elapsed();
        let mut timeout = self.timeout.borrow_mut();
        match &answer {
            // A response before `wait` has passed is left out: the store
            // waited for a record, for an unknown part of that time.
            Ok(_) if took >= wait => {
                let beyond = took.saturating_sub(wait).as_millis();
                timeout.record_answer(u64::try_from(beyond).unwrap_or(u64::MAX));
            }
            Err(StoreError::TimedOut) if !self.store_unavailable.get() => {
                timeout.record_timeout(limit_ms);
            }
            _ => {}
        }
        answer
    }
}
