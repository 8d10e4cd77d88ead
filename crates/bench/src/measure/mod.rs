//! The policy under load: reducers of a whole deployment against modelled
//! engines, in virtual time, with the same seeds for every policy.
//!
//! The model is small on purpose: engines with slots, a queue by priority, a
//! prefix cache and stragglers; load reports that lag; trainers that open
//! one step after the other; live completions on the same engines. Instances
//! agree through a log that never fails here: failures of the control side
//! are the business of the generated schedules.

pub mod engine;
pub mod figures;
pub mod world;

use hollywell::core::route::Policy;

/// A deployment of today.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// Entry instances.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// One way between failure domains, in milliseconds.
    pub way_ms: u64,
    /// Live completions a second on the engines, on average.
    pub live_a_s: f64,
    /// Versions that a sample may be behind.
    pub staleness: u64,
}

/// Falaj Analytics: idle trainers cost most.
pub const MUSCAT: Deployment = Deployment {
    name: "muscat",
    domains: 4,
    instances: 12,
    engines: 10,
    way_ms: 1,
    live_a_s: 4.0,
    staleness: 1,
};

/// Assina Nordeste Tecnologia: stale samples are lost, and signing shares
/// the engines.
pub const RECIFE: Deployment = Deployment {
    name: "recife",
    domains: 3,
    instances: 9,
    engines: 10,
    way_ms: 2,
    live_a_s: 12.0,
    staleness: 0,
};

/// A policy with its name in the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Named {
    /// The name.
    pub name: &'static str,
    /// The policy.
    pub policy: Policy,
}
