//! Snapshot of an instance's state for operators, probes and the instance's own
//! polling of the platform. Reading it does not block the control thread, and it
//! may be slightly out of date.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{
    id::Instance,
    lease::Grant,
    member::Kind,
    owner::Map,
    reducer::State,
    table::{Edit, Outcome, Row},
};

/// A row of the table with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewedRow {
    /// Revision on which an edit of the row must be based.
    pub revision: u64,
    /// The row.
    pub row: Row,
}

/// A target as seen by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewedTarget {
    /// Its name.
    pub name: String,
    /// Engine or service.
    pub kind: Kind,
    /// Its pool.
    pub pool: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address.
    pub address: String,
    /// True if it is shutting down and gets no new work.
    pub leaving: bool,
    /// Requests in flight from this instance.
    pub in_flight: u32,
    /// Weight versions that it serves, by trainer.
    pub versions: BTreeMap<String, u64>,
}

/// Another instance as seen by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewedPeer {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// True if it has answered recently.
    pub live: bool,
    /// Offset up to which it has applied the log, as last reported.
    pub next: u64,
}

/// Snapshot of an instance's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The instance.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: String,
    /// True if it accepts calls and steps.
    pub ready: bool,
    /// True if it is shutting down.
    pub draining: bool,
    /// Offset up to which it has applied the log.
    pub next: u64,
    /// True if records before that offset are missing.
    pub gap: bool,
    /// True if it is active as an owner of keys.
    pub owner: bool,
    /// Number of keys whose claims it holds.
    pub claims: usize,
    /// Number of calls and steps in flight.
    pub in_flight: usize,
    /// The table.
    pub table: Vec<ViewedRow>,
    /// Newest known version of each trainer in the table.
    pub versions: BTreeMap<String, u64>,
    /// The other instances.
    pub peers: Vec<ViewedPeer>,
    /// The targets.
    pub targets: Vec<ViewedTarget>,
    /// Ownership maps by failure domain.
    pub maps: BTreeMap<String, Map>,
    /// Leases for sending orders, by failure domain.
    pub leases: BTreeMap<String, Grant>,
    /// Recent accepted edits, oldest first.
    pub history: Vec<(u64, Edit)>,
    /// Outcomes of recent edits, by id.
    pub outcomes: BTreeMap<String, Outcome>,
}

impl View {
    /// Takes a snapshot of the reducer's state.
    #[must_use]
    pub fn new(state: &State) -> View {
        let agreed = state.agreed();
        let (next, is_complete) = state.folded();
        let rows = agreed.table.rows();
        let table: Vec<ViewedRow> =
            rows.map(|(revision, row)| ViewedRow { revision, row: row.clone() }).collect();
        let newest = |row: &ViewedRow| {
            let trainer = row.row.trainer.clone();
            let version = state.steps().newest(&trainer);
            (trainer, version)
        };
        View {
            instance: state.ownership().local().clone(),
            domain: state.config().domain.clone(),
            ready: state.is_ready(),
            draining: state.is_draining(),
            next,
            gap: !is_complete,
            owner: state.ownership().is_active(),
            claims: state.claims(),
            in_flight: state.in_flight(),
            versions: table.iter().map(newest).collect(),
            table,
            peers: peers(state),
            targets: targets(state),
            maps: agreed.maps.0.clone(),
            leases: agreed.leases.0.clone(),
            history: agreed.table.history().cloned().collect(),
            outcomes: agreed.table.outcomes().cloned().collect(),
        }
    }
}

fn peers(state: &State) -> Vec<ViewedPeer> {
    let peers = state.members().peers.values();
    peers
        .map(|peer| ViewedPeer {
            name: peer.listed.name.clone(),
            domain: peer.listed.domain.clone(),
            live: state.is_live(peer),
            next: peer.next,
        })
        .collect()
}

fn targets(state: &State) -> Vec<ViewedTarget> {
    let targets = state.members().targets.values();
    targets
        .map(|target| ViewedTarget {
            name: target.listed.name.clone(),
            kind: target.listed.kind,
            pool: target.listed.pool.clone(),
            domain: target.listed.domain.clone(),
            address: target.listed.address.clone(),
            leaving: target.leaving,
            in_flight: target.in_flight + target.samples,
            versions: target.load.clone().unwrap_or_default().versions,
        })
        .collect()
}
