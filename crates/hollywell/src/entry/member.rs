//! Membership: this instance stays in a group of the store and reads who
//! else is in it. The store judges who lives; nothing is exchanged directly.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

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
/// holds a partition, so there must be more of these than instances.
const TOPICS: u32 = 8;
/// Time between calls that keep the member in the group.
const BEAT: Duration = Duration::from_millis(300);
/// How long a member lasts without one: a few lost calls must not end it,
/// and the work of one that died waits for so long.
const TTL: Duration = Duration::from_millis(1_400);
/// Time between readings of the members.
const LOOK: Duration = Duration::from_millis(300);

/// Members up to which the group is read as often as that; with more, less
/// often in proportion.
const LOOK_MEMBERS: f64 = 30.0;

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

/// Reads who is in the group.
pub async fn watch(shared: Rc<Shared>) {
    let mut missing: Vec<String> = Vec::new();
    loop {
        match (shared.store.members)(GROUP.to_owned()).await {
            Ok(members) => {
                shared.store_did(true);
                let now_missing = settle(&shared, members, &missing);
                missing = now_missing;
            }
            Err(fault) => {
                shared.store_did(false);
                log::info!("reading the group: {fault}");
            }
        }
        // A reading lists every partition, so it grows with the members.
        let members = shared.world.borrow().members.len();
        sleep(LOOK.mul_f64((members as f64 / LOOK_MEMBERS).max(1.0))).await;
    }
}

/// Takes a reading over. A member that is missing once is kept: partitions
/// are between two members for a moment while they are dealt anew.
fn settle(shared: &Rc<Shared>, mut read: Vec<String>, missing: &[String]) -> Vec<String> {
    let stopping = shared.world.borrow().stopping;
    if !stopping && !read.contains(&shared.me) {
        read.push(shared.me.clone());
    }
    let before = shared.world.borrow().members.clone();
    let gone: Vec<String> = before.iter().filter(|m| !read.contains(m)).cloned().collect();
    read.extend(gone.iter().filter(|m| !missing.contains(m) && **m != shared.me).cloned());
    read.sort();
    read.dedup();
    supersede(&mut read);
    if read != before {
        log::info!("instances: {}", read.join(" "));
        shared.world.borrow_mut().members.clone_from(&read);
        shared.tell(&Event::Members(read));
    }
    gone
}

/// Drops members that another run of the same instance has replaced: their
/// time to live has not run out, but their process has ended. Members are
/// sorted, and a later run sorts behind an earlier one.
fn supersede(members: &mut Vec<String>) {
    let name = |member: &String| member.rsplit_once('/').map(|(name, _)| name.to_owned());
    let mut at = 1;
    while at < members.len() {
        if name(&members[at - 1]) == name(&members[at]) {
            members.remove(at - 1);
        } else {
            at += 1;
        }
    }
}
