//! An entry instance on a platform whose store consists of logs with keyed
//! topics.
//!
//! The platform's names and formats come in through a [`codec::Codec`]
//! and a [`store::Client`], both plain structs of functions that an adapter
//! provides; nothing here depends on the platform's formats. Decisions are taken
//! in [`crate::core`]: [`crate::core::dispatch`] (what runs where),
//! [`crate::core::batch`] (jobs and their results), [`crate::core::weight_loading`] (weights).
//! The modules here perform the I/O.
//!
//! Control state and traffic share a single thread. Elsewhere in this project a
//! control thread runs next to traffic threads, but on a machine with half a
//! core a second thread only adds a wake-up to every decision, and wake-ups
//! dominate the cost there.

mod append;
pub mod backlog;
pub mod caller;
mod calls;
pub mod capacity;
pub mod codec;
pub mod configuration;
pub mod confirm;
pub mod connection;
pub mod departures;
pub mod duties;
pub mod ends;
pub mod event_stream;
pub mod exchange;
pub mod feed;
pub mod follow;
pub mod forward;
pub mod garbage;
pub mod held;
pub mod hints;
pub mod ingress;
pub mod instances;
mod intake;
mod interest;
pub mod jobs;
pub mod lease;
pub mod lines;
mod listener;
pub mod member;
pub mod meters;
pub mod orders;
pub mod outbox;
pub mod peers;
pub mod producers;
pub mod reader;
pub mod relay;
pub mod reload;
pub mod reserve;
pub mod resume;
pub mod run;
pub mod samples;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod store;
pub mod submission;
pub mod suspects;
pub mod texts;
mod traffic;
mod unidentified_ends;
mod unplaced;
mod unstarted;
pub mod usage;
pub mod versions;
