//! The account of memory that bodies hold, from their first byte until nobody
//! has them any more.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use tokio::sync::{Notify, futures::Notified};

use crate::core::memory::Memory;

/// Memory that bodies share.
#[derive(Debug)]
pub struct Account {
    memory: Mutex<Memory>,
    /// The account that this one is a part of.
    whole: Option<Arc<Account>>,
    released: Notify,
    /// A body found no room since this was last asked.
    was_short: AtomicBool,
}

impl Account {
    /// Creates an account of unused memory.
    #[must_use]
    pub fn new(memory: Memory) -> Arc<Account> {
        Account::create(memory, None)
    }

    /// Creates an account of unused memory whose bytes are also charged to
    /// `whole`.
    #[must_use]
    pub fn within(whole: &Arc<Account>, memory: Memory) -> Arc<Account> {
        Account::create(memory, Some(whole.clone()))
    }

    fn create(memory: Memory, whole: Option<Arc<Account>>) -> Arc<Account> {
        Arc::new(Account {
            memory: Mutex::new(memory),
            whole,
            released: Notify::new(),
            was_short: AtomicBool::new(false),
        })
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.memory().used()
    }

    /// The limit on all bodies, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.memory().limit()
    }

    /// Whether a body has found no room since the last call.
    pub fn take_shortage(&self) -> bool {
        self.was_short.swap(false, Ordering::Relaxed)
    }

    /// Completes once some of the memory that is in use now is released.
    pub fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Sets how much is in use for something that is not charged, in bytes.
    pub fn set_aside(&self, bytes: usize) {
        self.memory().set_aside(bytes);
    }

    fn try_grow(&self, held: usize, more: usize) -> bool {
        if !self.memory().try_grow(held, more) {
            self.was_short.store(true, Ordering::Relaxed);
            return false;
        }
        let admits = self.whole.as_ref().is_none_or(|whole| whole.try_grow(held, more));
        if !admits {
            self.memory().release(more);
        }
        admits
    }

    fn release(&self, bytes: usize) {
        self.memory().release(bytes);
        self.released.notify_waiters();
        if let Some(whole) = &self.whole {
            whole.release(bytes);
        }
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        // The memory is consistent between any two statements.
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of an account that one body holds. Released when dropped, which
/// also covers a caller that disconnects.
pub struct Charge {
    account: Arc<Account>,
    held: usize,
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Charge").field("held", &self.held).finish_non_exhaustive()
    }
}

impl Charge {
    /// Creates a part that holds nothing yet.
    #[must_use]
    pub fn new(account: &Arc<Account>) -> Charge {
        Charge { account: account.clone(), held: 0 }
    }

    /// Bytes held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Takes `more` bytes, unless the account has no room for them.
    #[must_use]
    pub fn try_grow(&mut self, more: usize) -> bool {
        let admits = self.account.try_grow(self.held, more);
        if admits {
            self.held += more;
        }
        admits
    }

    /// Returns all but `held` bytes.
    pub fn shrink_to(&mut self, held: usize) {
        let excess = self.held.saturating_sub(held);
        if excess > 0 {
            self.held -= excess;
            self.account.release(excess);
        }
    }

    /// Ties the charge to bytes: it is released with their last copy.
    #[must_use]
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        if bytes.as_ref().is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Charged { bytes, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

struct Charged<T> {
    bytes: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Charged<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
