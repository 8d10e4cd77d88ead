//! Membership: this instance stays in a group of the store and reads who
//! else is in it. The store judges who lives; nothing is exchanged directly.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    core::dispatch::Event,
    entry::{
        shared::Shared,
        store::{Fault, Join},
    },
};

/// The group of all instances.
pub const GROUP: &str = "instances";
/// Topics whose partitions the group deals out. A member shows only while it
/// holds a partition, so there must be more of these than instances; each
/// reading of the members lists them all. That there are too few is logged.
const TOPICS: u32 = 8;
/// Time between calls that keep the member in the group.
const BEAT: Duration = Duration::from_millis(300);
/// How long a member lasts without one: a few lost calls must not end it,
/// and the work of one that died waits for so long.
const TTL: Duration = Duration::from_millis(1_400);
/// Time between readings of the members while nothing changes.
const LOOK: Duration = Duration::from_millis(900);
/// Least time between readings: a change mostly comes with others.
const LOOK_LEAST: Duration = Duration::from_millis(100);

/// Members up to which the group is read as often as that; with more, less
/// often in proportion.
const LOOK_MEMBERS: f64 = 30.0;

/// Members that a line of log names at most, of those that came or went.
const NAMED: usize = 5;

/// Stays in the group until the instance stops.
pub async fn stay(shared: Rc<Shared>) {
    let topics = (0..TOPICS).map(|n| format!("deal.{n}")).collect::<Vec<_>>();
    let ttl = TTL.max(shared.settings.store.ttl_min);
    let mut generation = 0;
    let mut stop = shared.stop.subscribe();
    loop {
        if *stop.borrow() {
            return;
        }
        let join = Join {
            group: GROUP.to_owned(),
            member: shared.me.clone(),
            topics: topics.clone(),
            ttl,
            generation,
        };
        match (shared.store.join)(join).await {
            Ok(newest) => {
                shared.store_did(true);
                if newest != generation {
                    shared.regrouped.notify_one();
                }
                generation = newest;
            }
            Err(fault) => {
                shared.store_did(false);
                log::info!("staying in the group: {fault}");
            }
        }
        tokio::select! {
            () = sleep(BEAT) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Leaves the group, so that others take this instance's work at once.
///
/// # Errors
///
/// The store's [`Fault`]; the member then ends by its time to live.
pub async fn leave(shared: &Rc<Shared>) -> Result<(), Fault> {
    (shared.store.leave)((GROUP.to_owned(), shared.me.clone())).await
}

/// Reads who is in the group: as often as it takes to notice by itself, and
/// at once where the group's generation says that something changed.
pub async fn watch(shared: Rc<Shared>) {
    loop {
        match shared.reader.members(GROUP.to_owned()).await {
            Ok(members) => {
                shared.store_did(true);
                take(&shared, &members);
            }
            Err(fault) => {
                shared.store_did(false);
                log::info!("reading the group: {fault}");
            }
        }
        // A reading lists every partition, so it grows with the members.
        let (members, unsettled) = {
            let world = shared.world.borrow();
            (world.roster.members().len(), world.roster.is_unsettled())
        };
        let crowd = (members as f64 / LOOK_MEMBERS).max(1.0);
        sleep(LOOK_LEAST.mul_f64(crowd)).await;
        if !unsettled {
            let _either =
                timeout((LOOK - LOOK_LEAST).mul_f64(crowd), shared.regrouped.notified()).await;
        }
    }
}

fn take(shared: &Rc<Shared>, read: &[String]) {
    let now = shared.now();
    let most = (TOPICS * shared.settings.store.parts) as usize;
    if read.len() >= most && !shared.unshown.replace(true) {
        log::error!("the group shows {most} instances at most: further ones get no work");
    }
    let (before, changed) = {
        let world = &mut *shared.world.borrow_mut();
        let before = world.roster.members().to_vec();
        let changed = world.roster.read(now, read, world.fleet.store_back_at);
        (before, changed.then(|| world.roster.members().to_vec()))
    };
    if let Some(members) = changed {
        shared.reader.shared_by(members.len());
        log::info!("{}", changes(&before, &members));
        shared.tell(&Event::Members(members));
    }
}

/// The line that says what changed among the members: it names those that
/// came and went, since a list of hundreds at each change would be most of
/// what an instance writes. Both lists are sorted.
fn changes(before: &[String], members: &[String]) -> String {
    let named = |some: Vec<&String>| {
        let more = some.len().saturating_sub(NAMED);
        let first: Vec<&str> = some.into_iter().take(NAMED).map(String::as_str).collect();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{}{more}", first.join(" "))
    };
    let came = members.iter().filter(|member| before.binary_search(member).is_err()).collect();
    let went = before.iter().filter(|member| members.binary_search(member).is_err()).collect();
    format!("instances: {}, came: {}, went: {}", members.len(), named(came), named(went))
}
