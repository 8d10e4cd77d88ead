//! Removes each guard once, in a scratch copy, and runs the proof that must
//! then fail. What it prints goes into `docs/PROOFS.md`.

use std::{
    env,
    error::Error,
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// One guard, and how it is removed.
struct Guard {
    name: &'static str,
    file: &'static str,
    find: &'static str,
    replace: &'static str,
    /// The test target that must fail without it, with a filter.
    proof: &'static str,
}

const KEYED: &str = "interleavings keyed_calls";
const TABLE: &str = "interleavings the_table";
const SAMPLES: &str = "interleavings samples_come";
const CASES: &str = "reducer";
const SUBMISSIONS: &str = "orphans overlapping";

const OWNER: &str = "crates/hollywell/src/core/owner/mod.rs";
const CLAIM: &str = "crates/hollywell/src/core/claim.rs";
const STREAM: &str = "crates/hollywell/src/core/stream.rs";
const ROLLOUT: &str = "crates/hollywell/src/core/rollout.rs";
const LEASE: &str = "crates/hollywell/src/core/lease.rs";
const REDUCER_KEYED: &str = "crates/hollywell/src/core/reducer/keyed.rs";
const REDUCER_CALLS: &str = "crates/hollywell/src/core/reducer/calls.rs";
const REDUCER_AGREED: &str = "crates/hollywell/src/core/reducer/agreed.rs";
const REDUCER_ORDERS: &str = "crates/hollywell/src/core/reducer/orders.rs";
const REDUCER_PEERS: &str = "crates/hollywell/src/core/reducer/peers.rs";
const REDUCER_STOP: &str = "crates/hollywell/src/core/reducer/stop.rs";

const DEPARTURE: &str = "crates/hollywell/src/core/departure.rs";
const FLEET: &str = "crates/hollywell/src/core/fleet.rs";
const ORPHANS: &str = "crates/hollywell/src/core/batch/orphans.rs";
const POOLS: &str = "crates/hollywell/src/core/dispatch/pools.rs";
const CALLERS: &str = "crates/hollywell/src/core/callers.rs";
const MEMORY: &str = "crates/hollywell/src/core/memory.rs";
const INQUIRY: &str = "crates/hollywell/src/core/inquiry.rs";
const INSTANCES: &str = "crates/hollywell/src/core/instances.rs";

const GUARDS: &[Guard] = &[
    Guard {
        name: "replica's copy before dispatch",
        file: REDUCER_KEYED,
        find: "let Some(replica) = map.replica(key).cloned() else {",
        replace: "let Some(replica) = None::<Instance> else {",
        proof: KEYED,
    },
    Guard {
        name: "owner's lease",
        file: REDUCER_KEYED,
        find: "self.now < self.owner.lease_until()",
        replace: "self.owner.is_active()",
        proof: KEYED,
    },
    Guard {
        name: "wait for a removed member's lease",
        file: OWNER,
        find: "false => last_handoff.after(fence_ms),",
        replace: "false => last_handoff,",
        proof: KEYED,
    },
    Guard {
        name: "wait where no member stays",
        file: OWNER,
        find: "true => self.without_promises(old.at),",
        replace: "true => last_handoff,",
        proof: "owner",
    },
    Guard {
        name: "bound on promises while the log is away",
        file: OWNER,
        find: "None => log_confirmed.after(self.config.log_away_ms),",
        replace: "None => Time(u64::MAX),",
        proof: CASES,
    },
    Guard {
        name: "unknown for keys whose claims were lost",
        file: REDUCER_KEYED,
        find: "if self.owner.may_have_lost_claims(key, self.now) {",
        replace: "if false {",
        proof: KEYED,
    },
    Guard {
        name: "wait for a hand-over from members that stay",
        file: OWNER,
        find: "return last_handoff.after(fence_ms + self.config.lease_ms);",
        replace: "return last_handoff;",
        proof: "owner",
    },
    Guard {
        name: "lost keys stay unknown while their members may go on",
        file: OWNER,
        find: "let ends = if is_fenced { now } else {",
        replace: "let ends = if is_fenced || now > Time(0) { now } else {",
        proof: "owner",
    },
    Guard {
        name: "a removed instance still knows what it knew",
        file: OWNER,
        find: "self.former_ids.push(self.local.clone());",
        replace: "self.last_active = None;",
        proof: "owner",
    },
    Guard {
        name: "hand-overs of the current epoch only",
        file: OWNER,
        find: "self.received.values().filter(|(handoff, _)| handoff.epoch == self.map.epoch)",
        replace: "self.received.values()",
        proof: "owner",
    },
    Guard {
        name: "a removed incarnation never returns",
        file: OWNER,
        find: "            self.local.incarnation += 1;",
        replace: "",
        proof: "owner",
    },
    Guard {
        name: "inherited claims are kept",
        file: REDUCER_PEERS,
        find: "for copy in &copies {\n            self.claims.keep(copy, self.now);\n        }",
        replace: "drop(copies);",
        proof: KEYED,
    },
    Guard {
        name: "refusals are numbered",
        file: CLAIM,
        find: "Phase::Refused(order) if seen >= order => Verdict::Fresh,",
        replace: "Phase::Refused(order) if seen < u64::MAX || order > 0 => Verdict::Fresh,",
        proof: KEYED,
    },
    Guard {
        name: "sends from before activation do not run",
        file: REDUCER_KEYED,
        find: " || seen < self.activated_order",
        replace: "",
        proof: CASES,
    },
    Guard {
        name: "arrival counts, not processing",
        file: REDUCER_KEYED,
        find: "let seen = self.refusals_before(arrived);",
        replace: "let _ = self.refusals_before(arrived);\n                let seen = self.refusals;",
        proof: CASES,
    },
    Guard {
        name: "an entry that does not know says unknown",
        file: REDUCER_CALLS,
        find: "let reported = if call.key.is_some() { Kind::Unverified } else { kind };",
        replace: "let reported = kind;",
        proof: KEYED,
    },
    Guard {
        name: "a superseded send is unknown",
        file: "crates/hollywell/src/error.rs",
        find: "Kind::Superseded => answer(503, Unknown,",
        replace: "Kind::Superseded => answer(503, NotRun,",
        proof: CASES,
    },
    Guard {
        name: "an ending instance owns nothing new",
        file: REDUCER_KEYED,
        find: "if is_addressee && !self.exited {",
        replace: "if is_addressee {",
        proof: CASES,
    },
    Guard {
        name: "a stop waits for what is in flight",
        file: REDUCER_STOP,
        find: "let is_idle = self.idle_ticks > IDLE_TICKS;",
        replace: "let is_idle = self.idle_ticks <= IDLE_TICKS || is_finished;",
        proof: KEYED,
    },
    Guard {
        name: "evidence that a target leaves is sticky",
        file: "crates/hollywell/src/core/member.rs",
        find: "target.leaving |= listed.leaving;",
        replace: "target.leaving = listed.leaving;",
        proof: CASES,
    },
    Guard {
        name: "peers tell each other who leaves",
        file: REDUCER_PEERS,
        find: "for name in leaving {",
        replace: "for name in leaving.iter().take(0) {",
        proof: CASES,
    },
    Guard {
        name: "what may have run is not sent again",
        file: REDUCER_CALLS,
        find: "let may_retry = certainly_not_run || idempotent;",
        replace: "let may_retry = certainly_not_run || idempotent || end == End::Broken;",
        proof: CASES,
    },
    Guard {
        name: "retry budget",
        file: "crates/hollywell/src/core/retry.rs",
        find: "self.saved -= COST_OF_RETRY;",
        replace: "self.saved -= 0;",
        proof: CASES,
    },
    Guard {
        name: "a failing target is left alone",
        file: "crates/hollywell/src/core/retry.rs",
        find: "now >= self.open_until",
        replace: "now.0 < u64::MAX || now >= self.open_until",
        proof: "overload",
    },
    Guard {
        name: "weight fetches are spaced",
        file: "crates/hollywell/src/core/pace.rs",
        find: "const BURST: u64 = 1;",
        replace: "const BURST: u64 = 2;",
        proof: "pace",
    },
    Guard {
        name: "budget of second runs",
        file: ROLLOUT,
        find: "self.hedges as usize >= budget",
        replace: "self.hedges as usize >= budget * 100",
        proof: CASES,
    },
    Guard {
        name: "a second run goes elsewhere",
        file: "crates/hollywell/src/core/reducer/samples.rs",
        find: "serves && is_new &&",
        replace: "serves &&",
        proof: CASES,
    },
    Guard {
        name: "a cancelled sample says nothing of its engine",
        file: "crates/hollywell/src/core/reducer/samples.rs",
        find: "            self.cancel_sample(dispatch);\n        }\n    }",
        replace: "            self.emit(Effect::Cancel { dispatch });\n        }\n    }",
        proof: CASES,
    },
    Guard {
        name: "a snapshot must join",
        file: STREAM,
        find: "let joins = self.gap_to.is_none_or(|first| snapshot.next >= first);",
        replace: "let joins = true;",
        proof: "stream",
    },
    Guard {
        name: "a snapshot must be later",
        file: STREAM,
        find: "let later = snapshot.next > self.state.next;",
        replace: "let later = true;",
        proof: TABLE,
    },
    Guard {
        name: "compare-and-set of rows",
        file: "crates/hollywell/src/core/table.rs",
        find: "Some(entry) if self.base_of(&edit.trainer) != edit.base => {",
        replace: "Some(entry) if edit.id.is_empty() => {",
        proof: TABLE,
    },
    Guard {
        name: "peers bring the state across a cut",
        file: REDUCER_AGREED,
        find: "if self.now.since(since) >= PULL_AFTER_MS {",
        replace: "if self.now.since(since) >= u64::MAX {",
        proof: TABLE,
    },
    Guard {
        name: "the next in rank writes snapshots",
        file: REDUCER_AGREED,
        find: "let factor = 2 + self.rank();",
        replace: "let factor = 2 + 1_000 * self.rank();",
        proof: CASES,
    },
    Guard {
        name: "edits are appended again",
        file: REDUCER_AGREED,
        find: "if now.since(pending.appended_at) >= EDIT_RETRY_MS {",
        replace: "if now.since(pending.appended_at) >= u64::MAX {",
        proof: CASES,
    },
    Guard {
        name: "staleness at delivery",
        file: ROLLOUT,
        find: "Some(version) if *version < oldest => Verdict::Stale,",
        replace: "Some(version) if *version < oldest && slot.group > 99 => Verdict::Stale,",
        proof: SAMPLES,
    },
    Guard {
        name: "no version, no delivery",
        file: ROLLOUT,
        find: "None => Verdict::Unversioned,",
        replace: "None => Verdict::Deliver(slot),",
        proof: SAMPLES,
    },
    Guard {
        name: "time left of the lease when an order is sent",
        file: REDUCER_ORDERS,
        find: "let before = self.lease.held_until().before(self.order_limit_ms());",
        replace: "let before = Some(Time(u64::MAX));",
        proof: SAMPLES,
    },
    Guard {
        name: "the challenger's wait",
        file: LEASE,
        find: "(Some(_), false) => self.read_at.after(lease_ms + guard_ms),",
        replace: "(Some(_), false) => self.read_at.after(guard_ms),",
        proof: "lease",
    },
    Guard {
        name: "the holder counts from its first claim",
        file: LEASE,
        find: "self.first_sent.get_or_insert(now);",
        replace: "self.first_sent = Some(now);",
        proof: "lease",
    },
    Guard {
        name: "no gap in what a peer lists",
        file: DEPARTURE,
        find: "|| page.from > self.end ",
        replace: "",
        proof: "departure",
    },
    Guard {
        name: "age of what a peer lists",
        file: DEPARTURE,
        find: "self.mark_known(known_at, page.end);",
        replace: "self.mark_known(now, page.end);",
        proof: "departure",
    },
    Guard {
        name: "older records return no target",
        file: DEPARTURE,
        find: "is_some_and(|known| known.offset > offset)",
        replace: "is_some_and(|_| false && offset == 0)",
        proof: "departure",
    },
    Guard {
        name: "departures forgotten are not claimed",
        file: DEPARTURE,
        find: "*from = (*from).max(known.offset + 1);",
        replace: "*from = (*from).max(0);",
        proof: "departure",
    },
    Guard {
        name: "age of the view at a send",
        file: FLEET,
        find: "Some(known_at) if now.since(known_at) <= max_age_ms => Standing::InUse",
        replace: "Some(known_at) if now >= known_at || max_age_ms == 0 => Standing::InUse",
        proof: "departure",
    },
    Guard {
        name: "confirmation by the target after an outage",
        file: FLEET,
        find: "self.departures.known_at().filter(|_| !target.expired)",
        replace: "self.departures.known_at()",
        proof: "departure",
    },
    Guard {
        name: "each submission ends alone",
        file: ORPHANS,
        find: "orphan.due == Due::After(attempt)",
        replace: "orphan.due == Due::After(attempt) || may_arrive == MayArrive::Nothing",
        proof: SUBMISSIONS,
    },
    Guard {
        name: "requests of an open submission are kept",
        file: ORPHANS,
        find: "matches!(orphan.due, Due::At(at) if read_at >= at);",
        replace: "matches!(orphan.due, Due::At(at) if read_at >= at) || orphan.due == Due::After(AttemptId(0));",
        proof: SUBMISSIONS,
    },
    Guard {
        name: "a late manifest is waited for",
        file: ORPHANS,
        find: "if may_arrive == MayArrive::Nothing { now } else { late };",
        replace: "if may_arrive <= MayArrive::Manifest { now } else { late };",
        proof: SUBMISSIONS,
    },
    Guard {
        name: "open jobs follow their route",
        file: POOLS,
        find: "active.pools = Pools::new(pools);",
        replace: "",
        proof: "routes samples_run",
    },
    Guard {
        name: "pools without targets are left",
        file: POOLS,
        find: "**is_usable || !any_usable",
        replace: "**is_usable || any_usable || !any_usable",
        proof: "routes",
    },
    Guard {
        name: "weights of a split route",
        file: POOLS,
        find: "f64::from((*weight).max(1))",
        replace: "f64::from((*weight).min(1))",
        proof: "routes groups",
    },
    Guard {
        name: "limit of all bodies",
        file: MEMORY,
        find: "let admits = self.used.saturating_add(more) <= limit;",
        replace: "let admits = held.saturating_add(more) <= limit;",
        proof: "memory",
    },
    Guard {
        name: "small bodies are read",
        file: MEMORY,
        find: "if is_small { self.reserve } else { 0 }",
        replace: "if is_small && more == 0 { self.reserve } else { 0 }",
        proof: "memory",
    },
    Guard {
        name: "limit of small bodies",
        file: MEMORY,
        find: "Memory { limit, reserve, used: 0, set_aside: 0 }",
        replace: "Memory { limit, reserve: usize::MAX.max(reserve), used: 0, set_aside: 0 }",
        proof: "memory",
    },
    Guard {
        name: "only stalled bodies are given up",
        file: CALLERS,
        find: "!connection.is_given_up && connection.is_stalled(now)",
        replace: "!connection.is_given_up",
        proof: "callers",
    },
    Guard {
        name: "connections that hardly move are stalled",
        file: CALLERS,
        find: "connection.is_slow = connection.moved < MIN_BYTES;",
        replace: "connection.is_slow = connection.moved == 0;",
        proof: "callers",
    },
    Guard {
        name: "requests that are being served stay",
        file: CALLERS,
        find: "Phase::Serving => None,",
        replace: "Phase::Serving => Some(1),",
        proof: "callers",
    },
    Guard {
        name: "every instance is accounted for",
        file: INQUIRY,
        find: "open.all(is_lost)",
        replace: "open.any(is_lost)",
        proof: "inquiry",
    },
    Guard {
        name: "instances that the group does not show",
        file: INSTANCES,
        find: "recorded.chain(members)",
        replace: "members",
        proof: "instances an_instance_that_the_group",
    },
];

/// Removes the guards whose names contain `only`, one by one.
pub(crate) fn run(only: &str) -> Result<bool, Box<dyn Error>> {
    let scratch = env::temp_dir().join(format!("hollywell-guards-{}", std::process::id()));
    copy_tree(&scratch)?;
    let mut all_failed = true;
    println!("| guard | file | proof | without it |\n|---|---|---|---|");
    for guard in GUARDS.iter().filter(|guard| guard.name.contains(only)) {
        let path = scratch.join(guard.file);
        let text = fs::read_to_string(&path)?;
        if text.matches(guard.find).count() != 1 {
            return Err(
                format!("guard {:?} is not found once in {}", guard.name, guard.file).into()
            );
        }
        fs::write(&path, text.replace(guard.find, guard.replace))?;
        let found = prove(&scratch, guard.proof)?;
        fs::write(&path, text)?;
        all_failed &= found.is_some();
        let said = found.unwrap_or_else(|| String::from("NOT SEEN TO FAIL"));
        println!("| {} | `{}` | `{}` | {said} |", guard.name, short(guard.file), guard.proof);
    }
    fs::remove_dir_all(&scratch)?;
    Ok(all_failed)
}

fn short(file: &str) -> &str {
    file.strip_prefix("crates/hollywell/src/").unwrap_or(file)
}

fn copy_tree(to: &Path) -> Result<(), Box<dyn Error>> {
    let listed = Command::new("git").args(["ls-files", "-co", "--exclude-standard"]).output()?;
    for file in String::from_utf8(listed.stdout)?.lines() {
        let target: PathBuf = to.join(file);
        if let Some(parent) = target.parent() {
            fs::create_dir_all(parent)?;
        }
        fs::copy(file, target)?;
    }
    Ok(())
}

/// Runs a proof and returns its first violation, `None` if it passes.
fn prove(scratch: &Path, proof: &str) -> Result<Option<String>, Box<dyn Error>> {
    let target = env::current_dir()?.join("target/guards");
    let output = Command::new("cargo")
        .current_dir(scratch)
        .env("CARGO_TARGET_DIR", target)
        .env("RUST_BACKTRACE", "0")
        .args(["test", "--quiet", "--locked", "-p", "hollywell", "--test"])
        .args(proof.split(' '))
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    if text.contains("error[E") || text.contains("could not compile") {
        return Err(format!("the removed guard does not compile:\n{text}").into());
    }
    if output.status.success() {
        return Ok(None);
    }
    let mut lines = text.lines().skip_while(|line| !line.contains("panicked at"));
    let tells = |line: &&str| {
        let line = line.trim();
        line.starts_with('"') || line.contains("too few") || line.starts_with("assertion")
    };
    let violation = lines.find(tells).map_or("failed", str::trim);
    let mut failed: Vec<&str> = text.lines().filter(|line| line.starts_with("    ")).collect();
    failed.retain(|line| line.chars().skip(4).all(|c| c.is_alphanumeric() || "_:".contains(c)));
    failed.dedup();
    let names: Vec<&str> = failed.iter().map(|line| line.trim()).collect();
    let said = violation.trim_matches([',', '"']).replace('|', "/");
    Ok(Some(format!("{said}; failed: {}", names.join(", "))))
}
