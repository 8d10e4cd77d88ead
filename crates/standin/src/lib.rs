//! Stand-ins for the systems that hollywell meets, and the checker that
//! reads their histories.

pub mod caller;
pub mod engine;
pub mod history;
pub mod instances;
pub mod judge;
pub mod log;
pub mod ports;
pub mod relay;
pub mod service;
pub mod trainer;
pub mod watcher;
pub mod web;
pub mod weights;
