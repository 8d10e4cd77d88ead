//! The data path: accepts requests, buffers their bytes, and executes the
//! reducer's effects.
//!
//! Bodies never pass through the reducer. They are buffered in the
//! [`registry::Registry`] under the number by which the reducer identifies them.

pub mod executor;
pub mod registry;
pub mod server;

mod admin;
mod calls;
pub mod steps;
