//! All reads of the store by one instance: how many at a time, how long each
//! is waited for, what is kept of one that failed.
//!
//! What it leaves out: what becomes of the records ([`crate::entry::follow`]).

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

/// Pages of newest records that an instance asks for at a time. Each is up
/// to 1 MB, and all instances start together after an outage: with one each
/// the store is kept busy, and nobody's answer waits behind seven of
/// everybody's.
const MAX_CONCURRENT_PAGES: usize = 1;

/// What reads the store.
#[derive(Debug)]
pub struct Reader {
    store: Client,
    timeout: RefCell<Timeout>,
    pages: Semaphore,
    instance_count: Cell<usize>,
    store_unavailable: Cell<bool>,
}

impl Reader {
    /// A reader that has seen nothing yet.
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

    /// Notes how many instances share the store.
    pub fn set_instance_count(&self, instances: usize) {
        self.instance_count.set(instances);
    }

    /// Notes whether the store answers nobody here.
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

    /// Reads a page of the newest record of each key, after a key.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn newest(
        &self,
        part: &Partition,
        after: Option<String>,
    ) -> Result<Page, StoreError> {
        let _turn = self.pages.acquire().await.ok();
        let read = (part.clone(), after);
        let page = |idle_timeout| (self.store.newest)(WithIdleTimeout { read, idle_timeout });
        self.call(Duration::ZERO, page).await
    }

    /// Reads on in all newest records of a partition, from where an earlier
    /// attempt failed; returns whether all are read. Starting over after
    /// each failure was tried: with many instances at a store that refuses
    /// what exceeds its bandwidth none of them ever got to the end.
    ///
    /// # Errors
    ///
    /// A page's [`StoreError`]; what was read so far stays in `newest`.
    pub async fn resume_newest(
        &self,
        part: &Partition,
        newest: &mut Newest,
    ) -> Result<(), StoreError> {
        while !newest.is_done() {
            let page = self.newest(part, newest.after().cloned()).await?;
            newest.take(page);
        }
        Ok(())
    }

    /// Pauses after a call that failed, the last of so many in a row: up
    /// to [`timeout::max_backoff_ms`], so that instances that failed together
    /// do not return together.
    pub async fn back_off(&self, failures: u32) {
        let most = timeout::max_backoff_ms(
            failures,
            self.instance_count.get(),
            self.store_unavailable.get(),
        );
        sleep(Duration::from_millis(rand::random_range(0..=most))).await;
    }

    /// Makes a call with the silence that is borne now, and learns from it.
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
            // An answer that came before its time waited for a record: how
            // long it took beyond that is not known.
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
