//! Sends appends again that get no response.
//!
//! Each append has a number among those of its producer, by which the store performs it
//! once and gives every copy the same response. So a copy may be sent while it is not
//! known what became of the ones before, one of which may be performed seconds later.
//! A producer has one append in flight; several at once take several producers. One whose
//! last append has an unknown outcome is not used again, since its next number is not
//! known.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::entry::store::{
    Append, Appended, Client, Partition, Sequence, Sequenced, StoreError, WithTimeout,
};

/// The producers that have no append in flight, each with its next number.
#[derive(Debug, Default)]
pub struct Producers {
    idle: RefCell<HashMap<Partition, Vec<Sequence>>>,
}

/// When an append is sent and given up.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Time without a response after which it is sent once more, then twice that; `None`
    /// if it is sent once.
    pub repeat: Option<Duration>,
    /// Time after which it is given up.
    pub timeout: Duration,
}

/// What became of an append.
#[derive(Debug)]
pub struct Sent {
    /// The store's response.
    pub appended: Result<Appended, StoreError>,
    /// When the copy was sent that got it; the first one if none did.
    pub at: Instant,
}

impl Producers {
    /// Sends an append, and again while there is no response. `name` names a new
    /// producer.
    pub async fn send(
        &self,
        store: &Client,
        append: Append,
        schedule: Schedule,
        name: impl FnOnce() -> String,
    ) -> Sent {
        // The condition would fail for a copy of an append that was performed.
        let sequence = append.expected_end.is_none().then(|| self.take(&append.part, name));
        let part = append.part.clone();
        let repeat = schedule.repeat.filter(|_| sequence.is_some());
        let send = Sequenced { append, sequence: sequence.clone() };
        let sent = send_copies(store, &send, Schedule { repeat, ..schedule }).await;
        if let Some(sequence) = sequence {
            let next = match &sent.appended {
                Ok(_) => Some(Sequence { number: sequence.number + 1, ..sequence }),
                Err(error) => error.is_not_applied().then_some(sequence),
            };
            let mut idle = self.idle.borrow_mut();
            idle.entry(part).or_default().extend(next);
        }
        sent
    }

    fn take(&self, part: &Partition, name: impl FnOnce() -> String) -> Sequence {
        let idle = self.idle.borrow_mut().get_mut(part).and_then(Vec::pop);
        idle.unwrap_or_else(|| Sequence { producer: name(), number: 1 })
    }
}

async fn send_copies(store: &Client, send: &Sequenced, schedule: Schedule) -> Sent {
    let first_at = Instant::now();
    let given_up_at = first_at + schedule.timeout;
    let mut copies: JoinSet<Sent> = JoinSet::new();
    let mut interval = schedule.repeat;
    let mut outcome: Option<StoreError> = None;
    let mut next_at = Some(first_at);
    loop {
        if next_at.is_some_and(|at| at <= Instant::now()) {
            let at = Instant::now();
            let timeout = given_up_at - at;
            let response = (store.append)(WithTimeout { call: send.clone(), timeout });
            copies.spawn_local(async move { Sent { appended: response.await, at } });
            next_at = interval.map(|interval| at + interval).filter(|at| *at < given_up_at);
            interval = interval.map(|interval| interval * 2);
        }
        let repeat = async move {
            match next_at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            copy = copies.join_next() => match copy {
                Some(Ok(Sent { appended: Err(error), .. })) => {
                    // Another copy may be performed although this one was refused.
                    next_at = None;
                    if outcome.as_ref().is_none_or(StoreError::is_not_applied) {
                        outcome = Some(error);
                    }
                }
                Some(Ok(sent)) => return sent,
                Some(Err(error)) => {
                    next_at = None;
                    outcome = Some(StoreError::OutcomeUnknown(error.to_string()));
                }
                None => {
                    let unknown = || StoreError::OutcomeUnknown(String::from("not sent"));
                    let appended = Err(outcome.unwrap_or_else(unknown));
                    return Sent { appended, at: first_at };
                }
            },
            () = repeat => {}
        }
    }
}
