//! Many instances that read the store concurrently. After a power loss each of
//! them reads all records, and they share the store's bandwidth.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use hollywell::{
    core::{
        read_rate::ReadPurpose,
        timeout::{Timeout, max_backoff_ms},
    },
    entry::{
        reader::Reader,
        store::{
            Client, Join, LocalFuture, Newest, Page, Partition, Read, Records, Sequenced,
            StoreError, WithTimeout,
        },
    },
};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep_until, timeout},
};

/// Number of instances, of partitions that each reads, and of pages of each
/// partition: the jobs of a busy day.
const INSTANCES: usize = 295;
const PARTS: usize = 4;
const PAGES: usize = 2;
/// Bytes of a page, and bytes that the store sends per second.
const PAGE_BYTES: u64 = 300_000;
const BYTES_A_SECOND: u64 = 80_000_000;

/// A simulated store that sends its answers one after the other, also those of
/// calls that have timed out.
struct Store {
    free_at: Cell<Instant>,
    sent: Cell<u64>,
    /// Number of calls that timed out.
    timed_out: Cell<u64>,
    /// Instances whose connection is dead.
    dead: RefCell<Vec<usize>>,
    /// End of a network partition: calls made before get no answer.
    partitioned_until: Cell<Instant>,
}

impl Store {
    fn new() -> Rc<Store> {
        Rc::new(Store {
            free_at: Cell::new(Instant::now()),
            sent: Cell::new(0),
            timed_out: Cell::new(0),
            dead: RefCell::default(),
            partitioned_until: Cell::new(Instant::now()),
        })
    }

    /// Sends `bytes` bytes and waits until they have arrived.
    async fn send(&self, bytes: u64) {
        let took = Duration::from_secs_f64(bytes as f64 / BYTES_A_SECOND as f64);
        let done = self.free_at.get().max(Instant::now()) + took;
        self.free_at.set(done);
        self.sent.set(self.sent.get() + bytes);
        sleep_until(done).await;
    }

    /// Returns the client of one instance. Its first call after the instance is
    /// added to `dead` gets no answer.
    fn client(self: &Rc<Store>, instance: usize) -> Client {
        fn refused<I: 'static, T: 'static>() -> Rc<dyn Fn(I) -> LocalFuture<Result<T, StoreError>>>
        {
            Rc::new(|_| Box::pin(async { Err(StoreError::Refused(String::from("not simulated"))) }))
        }
        let store = self.clone();
        let newest = move |limited: hollywell::entry::store::WithIdleTimeout<(
            Partition,
            Option<String>,
        )>| {
            let store = store.clone();
            let page: LocalFuture<Result<Page, StoreError>> = Box::pin(async move {
                let (_, after) = limited.read;
                let number = after.map_or(0, |after| after.parse::<usize>().unwrap() + 1);
                let is_dead = {
                    let mut dead = store.dead.borrow_mut();
                    let at = dead.iter().position(|other| *other == instance);
                    at.map(|at| dead.remove(at)).is_some()
                };
                let answer = async {
                    if is_dead || Instant::now() < store.partitioned_until.get() {
                        std::future::pending::<()>().await;
                    }
                    store.send(PAGE_BYTES).await;
                };
                if timeout(limited.idle_timeout, answer).await.is_err() {
                    store.timed_out.set(store.timed_out.get() + 1);
                    return Err(StoreError::TimedOut);
                }
                let after = (number + 1 < PAGES).then(|| number.to_string());
                Ok(Page { records: vec![], after, end: 1 })
            });
            page
        };
        let store = self.clone();
        let read = move |limited: hollywell::entry::store::WithIdleTimeout<Read>| {
            let store = store.clone();
            let records: LocalFuture<Result<Records, StoreError>> = Box::pin(async move {
                if Instant::now() >= store.partitioned_until.get() {
                    return Ok(Records::default());
                }
                sleep_until(Instant::now() + limited.idle_timeout).await;
                Err(StoreError::TimedOut)
            });
            records
        };
        Client {
            append: refused::<WithTimeout<Sequenced>, _>(),
            read: Rc::new(read),
            newest: Rc::new(newest),
            join: refused::<Join, _>(),
            leave: refused(),
            members: refused(),
            trim: refused(),
        }
    }
}

/// Reads all partitions to their ends. Returns the time at which that was done.
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

/// Repeats a read of a partition until it is answered.
async fn read_until_answered(reader: Rc<Reader>, part: usize) {
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
async fn concurrent_restarts_read_the_store_with_little_waste() {
    let store = Store::new();
    let started = Instant::now();
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let mut instances = Vec::new();
            for instance in 0..INSTANCES {
                let reader = Reader::new(store.client(instance));
                reader.set_instance_count(INSTANCES);
                instances.push(tokio::task::spawn_local(read_all(Rc::new(reader))));
            }
            for instance in instances {
                let done = timeout(Duration::from_secs(60), instance).await;
                let done = done.expect("each instance finishes within 60 s").unwrap();
                // Sending all pages once takes 8.9 s.
                let took = done - started;
                assert!(
                    took < Duration::from_secs(12),
                    "expected all partitions to be read within 12 s, took {took:?}"
                );
            }
        })
        .await;
    let wanted = (INSTANCES * PARTS * PAGES) as u64 * PAGE_BYTES;
    let sent = store.sent.get();
    let timed_out = store.timed_out.get();
    assert!(
        sent * 4 < wanted * 5,
        "{sent} bytes sent, {wanted} wanted, {timed_out} calls timed out"
    );
}

#[tokio::test(start_paused = true)]
async fn a_dead_connection_is_detected_within_a_second() {
    let store = Store::new();
    store.dead.borrow_mut().push(0);
    let started = Instant::now();
    let reader = Rc::new(Reader::new(store.client(0)));
    let done = LocalSet::new().run_until(read_all(reader)).await;
    let took = done - started;
    assert!(took < Duration::from_millis(1_000), "reading took {took:?}");
}

#[tokio::test(start_paused = true)]
async fn the_end_of_a_network_partition_is_noticed_soon() {
    let store = Store::new();
    let healed = Instant::now() + Duration::from_millis(5_000);
    store.partitioned_until.set(healed);
    let reader = Rc::new(Reader::new(store.client(0)));
    reader.set_instance_count(INSTANCES);
    let notified = reader.clone();
    let done = LocalSet::new()
        .run_until(async {
            tokio::task::spawn_local(async move {
                sleep_until(Instant::now() + Duration::from_millis(1_600)).await;
                notified.set_store_unavailable(true);
            });
            let mut readers = Vec::new();
            for part in 0..7 {
                readers.push(tokio::task::spawn_local(read_until_answered(reader.clone(), part)));
            }
            for reader in readers {
                reader.await.unwrap();
            }
            Instant::now()
        })
        .await;
    let took = done - healed;
    assert!(
        took < Duration::from_millis(1_500),
        "the last read was answered {took:?} after the network partition"
    );
}

// A page that nobody waits for kept its permit while it waited for its turn.
#[tokio::test(start_paused = true)]
async fn callers_page_waits_for_the_turn_of_a_background_page() {
    const FOLLOWERS: usize = 12;
    let store = Store::new();
    let mut client = store.client(0);
    let (answer, is_refused) = (client.read.clone(), Cell::new(true));
    client.read = Rc::new(move |limited| match is_refused.replace(false) {
        true => Box::pin(async { Err(StoreError::RateLimited) }),
        false => answer(limited),
    });
    let reader = Rc::new(Reader::new(client));
    let read = |part| {
        let part = Partition::at("jobs", part);
        Read { part, from: 0, wait: Duration::ZERO, max_kb: None }
    };
    LocalSet::new()
        .run_until(async {
            reader.read_for(ReadPurpose::Jobs, read(0)).await.unwrap();
            assert!(reader.is_limited(), "the first read was refused once");
            for part in 0..FOLLOWERS {
                let reader = reader.clone();
                tokio::task::spawn_local(async move {
                    loop {
                        reader.read_for(ReadPurpose::Jobs, read(part)).await.unwrap();
                    }
                });
            }
            let background = reader.clone();
            tokio::task::spawn_local(async move {
                let texts = Partition::at("texts", 0);
                background.newest_for(ReadPurpose::Background, &texts, None).await.unwrap();
            });
            tokio::task::yield_now().await;
            let started = Instant::now();
            reader.newest(&Partition::at("texts", 1), None).await.unwrap();
            let took = started.elapsed();
            assert!(took < Duration::from_millis(500), "the caller's page took {took:?}");
        })
        .await;
}

/// Starts tasks that each follow a partition in the background.
fn spawn_followers(reader: &Rc<Reader>, followers: usize) {
    for number in 0..followers {
        let reader = reader.clone();
        tokio::task::spawn_local(async move {
            let (part, mut failures) = (Partition::at("jobs", number), 0);
            loop {
                let read = Read { part: part.clone(), from: 0, wait: Duration::ZERO, max_kb: None };
                match reader.read_for(ReadPurpose::Background, read).await {
                    Ok(_) => failures = 0,
                    Err(_) => {
                        failures += 1;
                        reader.back_off(failures).await;
                    }
                }
            }
        });
    }
}

// Each instance repeated its reads at full pace while the store's queue was full.
#[tokio::test(start_paused = true)]
async fn reads_refused_for_the_queue_are_repeated_at_full_pace() {
    const FOLLOWERS: usize = 12;
    let calls = Rc::new(Cell::new(0));
    let mut client = Store::new().client(0);
    let counted = calls.clone();
    client.read = Rc::new(move |_| {
        counted.set(counted.get() + 1);
        Box::pin(async { Err(StoreError::Unavailable) })
    });
    let reader = Rc::new(Reader::new(client));
    LocalSet::new()
        .run_until(async {
            spawn_followers(&reader, FOLLOWERS);
            sleep_until(Instant::now() + Duration::from_secs(10)).await;
        })
        .await;
    assert!(calls.get() <= 60, "{} reads in 10 s, all refused", calls.get());
}

// A caller's read was given up after one refusal for the queue.
#[tokio::test(start_paused = true)]
async fn callers_read_is_given_up_after_one_refusal_for_the_queue() {
    let store = Store::new();
    let mut client = store.client(0);
    let (answer, is_refused) = (client.read.clone(), Cell::new(true));
    client.read = Rc::new(move |limited| match is_refused.replace(false) {
        true => Box::pin(async { Err(StoreError::Unavailable) }),
        false => answer(limited),
    });
    let reader = Rc::new(Reader::new(client));
    let read = read_until_answered(reader.clone(), 0);
    read.await;
    assert!(reader.is_limited(), "the refusal did not slow the reads");
    let part = Partition::at("jobs", 0);
    let read = Read { part, from: 0, wait: Duration::ZERO, max_kb: None };
    assert!(reader.read(read).await.is_ok());
}

// Turns that had become rare during an outage delayed the reads after it.
#[tokio::test(start_paused = true)]
async fn the_return_of_a_store_that_was_down_waits_for_turns() {
    const FOLLOWERS: usize = 12;
    let returned = Instant::now() + Duration::from_millis(5_000);
    let unanswered = Rc::new(RefCell::new(vec![true; FOLLOWERS]));
    let mut client = Store::new().client(0);
    let left = unanswered.clone();
    client.read = Rc::new(move |limited| {
        if Instant::now() < returned {
            return Box::pin(async { Err(StoreError::Unavailable) });
        }
        left.borrow_mut()[limited.read.part.number as usize] = false;
        Box::pin(async {
            sleep_until(Instant::now() + Duration::from_millis(5)).await;
            Ok(Records::default())
        })
    });
    let reader = Rc::new(Reader::new(client));
    LocalSet::new()
        .run_until(async {
            spawn_followers(&reader, FOLLOWERS);
            sleep_until(returned - Duration::from_millis(4_000)).await;
            reader.set_store_unavailable(true);
            sleep_until(returned + Duration::from_millis(1_000)).await;
        })
        .await;
    let left = unanswered.borrow().iter().filter(|is_left| **is_left).count();
    assert_eq!(left, 0, "of {FOLLOWERS} followers, not read within 1 s of the store's return");
}

// Answers that came after two seconds of queue were given up, and paid for twice.
#[tokio::test(start_paused = true)]
async fn answers_of_a_crowded_store_are_given_up_while_they_queue() {
    let is_refused = Cell::new(true);
    let given_up = Rc::new(Cell::new(0));
    let counted = given_up.clone();
    let mut client = Store::new().client(0);
    client.read = Rc::new(move |limited| {
        if is_refused.replace(false) {
            return Box::pin(async { Err(StoreError::Unavailable) });
        }
        let given_up = counted.clone();
        Box::pin(async move {
            let answer = sleep_until(Instant::now() + Duration::from_millis(1_950));
            if timeout(limited.idle_timeout, answer).await.is_err() {
                given_up.set(given_up.get() + 1);
                return Err(StoreError::TimedOut);
            }
            Ok(Records::default())
        })
    });
    let reader = Rc::new(Reader::new(client));
    for part in 0..4 {
        read_until_answered(reader.clone(), part).await;
    }
    assert_eq!(given_up.get(), 0, "reads given up while their answers queued");
}

// Followers asked a store whose queue was full for up to 1 MB at once.
#[tokio::test(start_paused = true)]
async fn followers_ask_a_crowded_store_for_large_answers() {
    let is_refused = Cell::new(true);
    let asked = Rc::new(RefCell::new(Vec::new()));
    let noted = asked.clone();
    let mut client = Store::new().client(0);
    client.read = Rc::new(move |limited| {
        noted.borrow_mut().push(limited.read.max_kb);
        let refused = is_refused.replace(false);
        Box::pin(async move {
            if refused { Err(StoreError::Unavailable) } else { Ok(Records::default()) }
        })
    });
    let reader = Rc::new(Reader::new(client));
    let read = |number| {
        let part = Partition::at("jobs", number);
        Read { part, from: 0, wait: Duration::ZERO, max_kb: None }
    };
    let _refused_or_repeated = reader.read_for(ReadPurpose::Jobs, read(0)).await;
    reader.read_for(ReadPurpose::Jobs, read(0)).await.unwrap();
    let last = *asked.borrow().last().unwrap();
    assert!(last.is_some_and(|kb| kb <= 256), "asked for {last:?} KB");
}

// Followers asked a store that takes as long for each response, without a queue, for
// small responses only.
#[tokio::test(start_paused = true)]
async fn followers_take_a_slow_store_for_a_crowded_one() {
    let asked = Rc::new(RefCell::new(Vec::new()));
    let noted = asked.clone();
    let mut client = Store::new().client(0);
    client.read = Rc::new(move |limited| {
        noted.borrow_mut().push(limited.read.max_kb);
        Box::pin(async {
            sleep_until(Instant::now() + Duration::from_millis(450)).await;
            Ok(Records::default())
        })
    });
    let reader = Rc::new(Reader::new(client));
    for _ in 0..300 {
        let part = Partition::at("jobs", 0);
        let read = Read { part, from: 0, wait: Duration::ZERO, max_kb: None };
        reader.read_for(ReadPurpose::Jobs, read).await.unwrap();
    }
    let last = *asked.borrow().last().unwrap();
    assert_eq!(last, None, "asked for {last:?} KB");
}

// The timeout stayed long after the crowd, so that a lost connection went unnoticed.
#[test]
fn lost_connection_goes_unnoticed_after_a_crowd() {
    let mut timeout = Timeout::default();
    timeout.record_answer(5);
    timeout.record_refusal();
    assert!(timeout.current_ms() > 2_000, "shorter than the queue: {} ms", timeout.current_ms());
    for _ in 0..20 {
        timeout.record_answer(5);
    }
    assert_eq!((timeout.is_crowded(), timeout.current_ms()), (false, 800));
    timeout.record_refusal();
    timeout.record_outage();
    assert_eq!((timeout.is_crowded(), timeout.current_ms()), (false, 800));
}

#[test]
fn back_off_grows_with_load_but_not_for_an_unavailable_store() {
    for failures in 1..20 {
        assert!(
            max_backoff_ms(failures, 1_000, true) <= 400,
            "the return of an unavailable store must be noticed soon"
        );
        assert!(
            max_backoff_ms(failures, 30, false) <= 400,
            "back-off stays short with few instances"
        );
        assert!(max_backoff_ms(failures + 1, 300, false) >= max_backoff_ms(failures, 300, false));
    }
    assert_eq!(
        max_backoff_ms(20, 300, false),
        4_000,
        "the maximum back-off grows with the number of instances"
    );
}

#[test]
fn the_timeout_follows_the_response_times() {
    arbtest::arbtest(|u| {
        let mut timeout = Timeout::default();
        let usual: u64 = u.int_in_range(1..=4_000)?;
        for _ in 0..40 {
            let took = usual + u.int_in_range(0..=usual / 10)?;
            timeout.record_answer(took);
        }
        let limit = timeout.current_ms();
        assert!(limit > usual, "timeout of {limit} ms with responses of {usual} ms");
        assert!(
            (800..=6_000).contains(&limit),
            "expected a timeout from 800 to 6000 ms, got {limit}"
        );
        for _ in 0..u.int_in_range(0..=50)? {
            timeout.record_timeout(timeout.current_ms());
            assert!(timeout.current_ms() <= 6_000);
        }
        Ok(())
    });
}
