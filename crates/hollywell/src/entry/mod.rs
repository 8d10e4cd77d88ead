//! An entry instance on a platform whose store is a log with keyed topics.
//!
//! The platform's names and formats come in through a [`codec::Codec`]
//! and a [`store::Client`], both plain structs of closures that an adapter
//! fills in; nothing here knows how anything is spelled. Decisions are taken
//! in [`crate::core`]: [`crate::core::dispatch`] (what runs where),
//! [`crate::core::batch`] (what is listed), [`crate::core::roll`] (weights).
//! Modules here carry those decisions out.
//!
//! Everything runs on one thread, control state and traffic alike. The
//! project's rule is a control thread beside traffic threads; on a machine
//! with half a core a second thread only adds a wake-up to every decision,
//! and wake-ups are what such a machine pays for.

pub mod caller;
pub mod capacity;
pub mod codec;
pub mod configuration;
pub mod duties;
pub mod ends;
pub mod exchange;
pub mod feed;
pub mod follow;
pub mod forward;
pub mod garbage;
pub mod hints;
pub mod ingress;
pub mod jobs;
pub mod lease;
pub mod lines;
pub mod member;
pub mod meters;
pub mod orders;
pub mod outbox;
pub mod peers;
pub mod reader;
pub mod relay;
pub mod reload;
pub mod resume;
pub mod run;
pub mod samples;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod store;
pub mod suspects;
pub mod texts;
mod unstarted;
pub mod usage;
