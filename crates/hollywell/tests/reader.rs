//! Many instances that read the store together: after a loss of all power
//! each of them reads everything, over one bandwidth.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use hollywell::{
    core::timeout::{Timeout, max_backoff_ms},
    entry::{
        reader::Reader,
        store::{
            Append, Client, Join, LocalFuture, Newest, Page, Partition, Read, Records, StoreError,
        },
    },
};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep_until, timeout},
};

/// Instances, the partitions that each reads, and the pages of each: a busy
/// day's jobs.
const INSTANCES: usize = 295;
const PARTS: usize = 4;
const PAGES: usize = 2;
/// Bytes of a page, and those that the store sends in a second.
const PAGE_BYTES: u64 = 300_000;
const BYTES_A_SECOND: u64 = 80_000_000;

/// A store that sends its answers one after the other, whether or not anybody
/// still waits for them.
struct Line {
    free_at: Cell<Instant>,
    sent: Cell<u64>,
    /// Calls that got no answer in time, and connections that are dead.
    given_up: Cell<u64>,
    dead: RefCell<Vec<usize>>,
    /// What is asked for before gets no answer at all.
    cut_until: Cell<Instant>,
}

impl Line {
    fn new() -> Rc<Line> {
        Rc::new(Line {
            free_at: Cell::new(Instant::now()),
            sent: Cell::new(0),
            given_up: Cell::new(0),
            dead: RefCell::default(),
            cut_until: Cell::new(Instant::now()),
        })
    }

    /// Sends so many bytes, and waits until they have arrived.
    async fn send(&self, bytes: u64) {
        let took = Duration::from_secs_f64(bytes as f64 / BYTES_A_SECOND as f64);
        let done = self.free_at.get().max(Instant::now()) + took;
        self.free_at.set(done);
        self.sent.set(self.sent.get() + bytes);
        sleep_until(done).await;
    }

    /// The client of one instance. Its first call after it is named in
    /// `dead` gets no answer.
    fn client(self: &Rc<Line>, instance: usize) -> Client {
        fn refused<I: 'static, T: 'static>() -> Rc<dyn Fn(I) -> LocalFuture<Result<T, StoreError>>>
        {
            Rc::new(|_| Box::pin(async { Err(StoreError::Refused(String::from("not played"))) }))
        }
        let line = self.clone();
        let newest = move |limited: hollywell::entry::store::WithIdleTimeout<(
            Partition,
            Option<String>,
        )>| {
            let line = line.clone();
            let page: LocalFuture<Result<Page, StoreError>> = Box::pin(async move {
                let (_, after) = limited.read;
                let number = after.map_or(0, |after| after.parse::<usize>().unwrap() + 1);
                let is_dead = {
                    let mut dead = line.dead.borrow_mut();
                    let at = dead.iter().position(|other| *other == instance);
                    at.map(|at| dead.remove(at)).is_some()
                };
                let answer = async {
                    if is_dead || Instant::now() < line.cut_until.get() {
                        std::future::pending::<()>().await;
                    }
                    line.send(PAGE_BYTES).await;
                };
                if timeout(limited.idle_timeout, answer).await.is_err() {
                    line.given_up.set(line.given_up.get() + 1);
                    return Err(StoreError::TimedOut);
                }
                let after = (number + 1 < PAGES).then(|| number.to_string());
                Ok(Page { records: vec![], after, end: 1 })
            });
            page
        };
        let line = self.clone();
        let read = move |limited: hollywell::entry::store::WithIdleTimeout<Read>| {
            let line = line.clone();
            let records: LocalFuture<Result<Records, StoreError>> = Box::pin(async move {
                if Instant::now() >= line.cut_until.get() {
                    return Ok(Records::default());
                }
                sleep_until(Instant::now() + limited.idle_timeout).await;
                Err(StoreError::TimedOut)
            });
            records
        };
        Client {
            append: refused::<Append, _>(),
            read: Rc::new(read),
            newest: Rc::new(newest),
            join: refused::<Join, _>(),
            leave: refused(),
            members: refused(),
            trim: refused(),
        }
    }
}

/// Reads all partitions to their ends; when that was done.
async fn read_all(reader: Rc<Reader>) -> Instant {
    let mut parts = Vec::new();
    for part in 0..PARTS {
        let reader = reader.clone();
        parts.push(tokio::task::spawn_local(async move {
            let (mut newest, mut failures) = (Newest::default(), 0);
            while reader.resume_newest(&Partition::at("jobs", part), &mut newest).await.is_err() {
                failures += 1;
                reader.back_off(failures).await;
            }
        }));
    }
    for part in parts {
        part.await.unwrap();
    }
    Instant::now()
}

/// Reads on in a partition until an answer comes.
async fn read_on(reader: Rc<Reader>, part: usize) {
    let mut failures = 0;
    loop {
        let part = Partition::at("jobs", part);
        let read = Read { part, from: 0, wait: Duration::ZERO, max_kb: None };
        if reader.read(read).await.is_ok() {
            return;
        }
        failures += 1;
        reader.back_off(failures).await;
    }
}

#[tokio::test(start_paused = true)]
async fn instances_that_return_together_all_read_the_store_and_throw_little_away() {
    let line = Line::new();
    let started = Instant::now();
    let all = LocalSet::new();
    all.run_until(async {
        let mut instances = Vec::new();
        for instance in 0..INSTANCES {
            let reader = Reader::new(line.client(instance));
            reader.set_instance_count(INSTANCES);
            instances.push(tokio::task::spawn_local(read_all(Rc::new(reader))));
        }
        for instance in instances {
            let done = timeout(Duration::from_secs(60), instance).await;
            let done = done.expect("an instance never holds the folds again").unwrap();
            // All that everybody wants takes 8.9 s.
            let took = done - started;
            assert!(took < Duration::from_secs(12), "held again after {took:?}");
        }
    })
    .await;
    let wanted = (INSTANCES * PARTS * PAGES) as u64 * PAGE_BYTES;
    let sent = line.sent.get();
    let given_up = line.given_up.get();
    assert!(sent * 4 < wanted * 5, "{sent} bytes sent, {wanted} wanted, {given_up} given up");
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_died_in_silence_is_found_within_a_second() {
    let line = Line::new();
    line.dead.borrow_mut().push(0);
    let started = Instant::now();
    let reader = Rc::new(Reader::new(line.client(0)));
    let done = LocalSet::new().run_until(read_all(reader)).await;
    let took = done - started;
    assert!(took < Duration::from_millis(1_000), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn the_end_of_a_cut_is_noticed_soon_whatever_was_under_way() {
    let line = Line::new();
    let healed = Instant::now() + Duration::from_millis(5_000);
    line.cut_until.set(healed);
    let reader = Rc::new(Reader::new(line.client(0)));
    reader.set_instance_count(INSTANCES);
    let told = reader.clone();
    let done = LocalSet::new()
        .run_until(async {
            tokio::task::spawn_local(async move {
                sleep_until(Instant::now() + Duration::from_millis(1_600)).await;
                told.set_store_unavailable(true);
            });
            let mut readers = Vec::new();
            for part in 0..7 {
                readers.push(tokio::task::spawn_local(read_on(reader.clone(), part)));
            }
            for reader in readers {
                reader.await.unwrap();
            }
            Instant::now()
        })
        .await;
    let took = done - healed;
    assert!(took < Duration::from_millis(1_500), "read {took:?} after the cut");
}

#[test]
fn one_that_answers_nobody_is_asked_again_soon_and_a_crowded_one_is_not() {
    for failures in 1..20 {
        assert!(max_backoff_ms(failures, 1_000, true) <= 400, "its return is noticed");
        assert!(max_backoff_ms(failures, 30, false) <= 400, "few instances are no crowd");
        assert!(max_backoff_ms(failures + 1, 300, false) >= max_backoff_ms(failures, 300, false));
    }
    assert_eq!(max_backoff_ms(20, 300, false), 4_000, "pauses grow with the instances");
}

#[test]
fn the_silence_that_is_borne_follows_what_answers_take() {
    arbtest::arbtest(|u| {
        let mut timeout = Timeout::default();
        let usual: u64 = u.int_in_range(1..=4_000)?;
        for _ in 0..40 {
            let took = usual + u.int_in_range(0..=usual / 10)?;
            timeout.record_answer(took);
        }
        let limit = timeout.current_ms();
        assert!(limit > usual, "{limit} ms where answers take {usual}");
        assert!((800..=6_000).contains(&limit), "{limit}");
        for _ in 0..u.int_in_range(0..=50)? {
            timeout.record_timeout(timeout.current_ms());
            assert!(timeout.current_ms() <= 6_000);
        }
        Ok(())
    });
}
