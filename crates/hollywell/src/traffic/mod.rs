//! The traffic side: it takes callers' requests, holds their bytes, and
//! carries out the reducer's effects.
//!
//! Bytes never pass through the reducer: they wait in the
//! [`registry::Registry`] under the number by which the reducer knows them.

pub mod executor;
pub mod registry;
pub mod server;

mod admin;
mod calls;
pub mod steps;
