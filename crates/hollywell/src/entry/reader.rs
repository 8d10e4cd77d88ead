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
    entry::store::{Client, Fault, Limited, Newest, Page, Part, Read, Records},
};

/// Pages of newest records that an instance asks for at a time. Each is up
/// to 1 MB, and all instances start together after an outage: with one each
/// the store is kept busy, and nobody's answer waits behind seven of
/// everybody's.
const PAGES_AT_ONCE: usize = 1;

/// What reads the store.
#[derive(Debug)]
pub struct Reader {
    store: Client,
    timeout: RefCell<Timeout>,
    pages: Semaphore,
    instances: Cell<usize>,
    away: Cell<bool>,
}

impl Reader {
    /// A reader that has seen nothing yet.
    #[must_use]
    pub fn new(store: Client) -> Reader {
        Reader {
            store,
            timeout: RefCell::default(),
            pages: Semaphore::new(PAGES_AT_ONCE),
            instances: Cell::new(1),
            away: Cell::new(false),
        }
    }

    /// Notes how many instances share the store.
    pub fn shared_by(&self, instances: usize) {
        self.instances.set(instances);
    }

    /// Notes whether the store answers nobody here.
    pub fn store_is_away(&self, away: bool) {
        self.away.set(away);
        if away {
            self.timeout.borrow_mut().unavailable();
        }
    }

    /// Reads records.
    ///
    /// # Errors
    ///
    /// The store's [`Fault`].
    pub async fn read(&self, read: Read) -> Result<Records, Fault> {
        let wait = read.wait;
        self.limited(wait, |silence| (self.store.read)(Limited { read, silence })).await
    }

    /// Reads the members of a group that hold a partition.
    ///
    /// # Errors
    ///
    /// The store's [`Fault`].
    pub async fn members(&self, group: String) -> Result<Listing, Fault> {
        let members = |silence| (self.store.members)(Limited { read: group, silence });
        self.limited(Duration::ZERO, members).await
    }

    /// Reads a page of the newest record of each key, after a key.
    ///
    /// # Errors
    ///
    /// The store's [`Fault`].
    pub async fn newest(&self, part: &Part, after: Option<String>) -> Result<Page, Fault> {
        let _turn = self.pages.acquire().await.ok();
        let read = (part.clone(), after);
        let page = |silence| (self.store.newest)(Limited { read, silence });
        self.limited(Duration::ZERO, page).await
    }

    /// Reads on in all newest records of a partition, from where an earlier
    /// attempt failed; returns whether all are read. Starting over after
    /// each failure was tried: with many instances at a store that refuses
    /// what exceeds its bandwidth none of them ever got to the end.
    ///
    /// # Errors
    ///
    /// A page's [`Fault`]; what was read so far stays in `newest`.
    pub async fn newest_on(&self, part: &Part, newest: &mut Newest) -> Result<(), Fault> {
        while !newest.is_done() {
            let page = self.newest(part, newest.after().cloned()).await?;
            newest.take(page);
        }
        Ok(())
    }

    /// Pauses after a call that failed, the last of so many in a row: up
    /// to [`timeout::max_backoff_ms`], so that instances that failed together
    /// do not return together.
    pub async fn pause(&self, failures: u32) {
        let most = timeout::max_backoff_ms(failures, self.instances.get(), self.away.get());
        sleep(Duration::from_millis(rand::random_range(0..=most))).await;
    }

    /// Makes a call with the silence that is borne now, and learns from it.
    async fn limited<T>(
        &self,
        wait: Duration,
        call: impl FnOnce(Duration) -> crate::entry::store::LocalFuture<Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let limit_ms = self.timeout.borrow().limit_ms();
        let started = Instant::now();
        let answer = call(Duration::from_millis(limit_ms)).await;
        let took = started.elapsed();
        let mut timeout = self.timeout.borrow_mut();
        match &answer {
            // An answer that came before its time waited for a record: how
            // long it took beyond that is not known.
            Ok(_) if took >= wait => {
                let beyond = took.saturating_sub(wait).as_millis();
                timeout.answered(u64::try_from(beyond).unwrap_or(u64::MAX));
            }
            Err(Fault::Silent) if !self.away.get() => timeout.timed_out(limit_ms),
            _ => {}
        }
        answer
    }
}
