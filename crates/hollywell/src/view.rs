//! What an instance shows of its state: to operators, to probes, and to its
//! own polling of the platform. A copy, a moment old, so that nobody has to
//! wait for the control thread.

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
    /// Revision that an edit of the row has to name.
    pub revision: u64,
    /// The row.
    pub row: Row,
}

/// A target as an instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewedTarget {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Its pool.
    pub pool: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address.
    pub address: String,
    /// True if it gets no new work because it leaves.
    pub leaving: bool,
    /// Requests in flight from this instance.
    pub in_flight: u32,
    /// Versions that it serves, by trainer.
    pub versions: BTreeMap<String, u64>,
}

/// Another instance as an instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewedPeer {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// True if it answered lately.
    pub live: bool,
    /// Offset of the table in force there, as it last said.
    pub next: u64,
}

/// What an instance shows of its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The instance.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: String,
    /// True if it takes calls and steps.
    pub ready: bool,
    /// True if it is stopping.
    pub draining: bool,
    /// Offset before which every record is in force here.
    pub next: u64,
    /// True if records before that are missing.
    pub gap: bool,
    /// True if it acts as an owner of keys.
    pub owner: bool,
    /// Keys whose claims are known here.
    pub claims: usize,
    /// Calls and steps in flight.
    pub in_flight: usize,
    /// The table.
    pub table: Vec<ViewedRow>,
    /// Newest version known, by trainer of the table.
    pub versions: BTreeMap<String, u64>,
    /// The other instances.
    pub peers: Vec<ViewedPeer>,
    /// The targets.
    pub targets: Vec<ViewedTarget>,
    /// Ownership maps by failure domain.
    pub maps: BTreeMap<String, Map>,
    /// Leases on orders by failure domain.
    pub leases: BTreeMap<String, Grant>,
    /// Accepted edits that are remembered, oldest first.
    pub history: Vec<(u64, Edit)>,
    /// What became of recent edits, by id.
    pub outcomes: BTreeMap<String, Outcome>,
}

impl View {
    /// Copies what is to be shown.
    #[must_use]
    pub fn new(state: &State) -> View {
        let agreed = state.agreed();
        let (next, whole) = state.folded();
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
            gap: !whole,
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
