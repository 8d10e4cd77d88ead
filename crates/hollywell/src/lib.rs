//! A rollout service for reinforcement learning, and the coordination parts
//! it is made of.
//!
//! Small teams run bursts of rollouts on model engines that they share with
//! live traffic. Trainers and callers reach a few entry instances behind a
//! balancer; those route to engines and plain services, and agree with each
//! other through an append-only log that the platform runs anyway. The
//! `hollywell` command runs such an instance. This library is for programs
//! that embed the parts.
//!
//! # Contents
//!
//! - [`core`]: the decisions, as pure code. Start at [`core::reducer::State`].
//! - [`error`]: the closed list of error kinds and how each is answered.
//! - [`clock`]: time that counts also while the machine is suspended.
//! - [`control`]: the one thread that owns the reducer's state.
//! - [`traffic`]: HTTP towards callers, trainers and operators.
//! - [`entry`]: an instance on a platform whose store is a log with keyed
//!   topics; an adapter spells its names.
//! - [`peer`], [`platform`], [`service`], [`engine`]: the other sides.
//! - [`settings`], [`logs`], [`metrics`], [`view`], [`trace`]: running it.
//! - [`report`]: service-level burn from scraped metrics.
//! - [`prelude`]: the types that most programs need.
//!
//! # Driving the reducer
//!
//! Every decision is a step of one reducer: it takes a time and an event and
//! returns effects, all of them plain data. A test, a recorded trace or
//! another program drives it in the same way as the process does.
//!
//! ```
//! use hollywell::prelude::*;
//!
//! let config = Config::new(Instance::new("a", 1), "ruwi-hall", &["ruwi-hall"]);
//! let mut state = State::new(config);
//! // The log is empty and read to its end: the instance proposes itself as
//! // the owner of its failure domain's keys once things have settled.
//! let read =
//!     Event::LogRead { sent: Time(1_000), first: 0, records: vec![], at_end: true };
//! state.step(Time(1_000), &read);
//! state.step(Time(1_100), &Event::Tick);
//! let effects = state.step(Time(1_700), &Event::Tick);
//! let proposed = |effect: &Effect| matches!(effect, Effect::Append { .. });
//! assert!(effects.iter().any(proposed));
//! ```
//!
//! # Using one part alone
//!
//! The parts in [`core`] know nothing of each other. This is the table by
//! itself: two edits based on the same revision, of which the first wins.
//!
//! ```
//! use hollywell::core::table::{Edit, Outcome, Table};
//!
//! let edit = |id: &str, by: &str| Edit {
//!     id: id.into(), by: by.into(), trainer: "fraud".into(), base: Some(7), row: None,
//! };
//! let mut table = Table::default();
//! // There is no such row, so an edit of its revision 7 comes too late.
//! let outcome = table.apply(9, &edit("e1", "ana"));
//! assert!(matches!(outcome, Outcome::Conflict { revision: None, .. }));
//! ```

pub mod cli;
pub mod clock;
pub mod control;
pub mod core;
pub mod engine;
pub mod entry;
pub mod error;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod report;
pub mod serve;
pub mod service;
pub mod settings;
pub mod trace;
pub mod traffic;
pub mod view;
pub mod watchdog;
