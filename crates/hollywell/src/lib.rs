//! A rollout service for reinforcement learning, and the coordination components
//! that it consists of.
//!
//! Small teams run bursts of rollouts on model engines that they share with live
//! traffic. Trainers and callers connect to a few entry instances behind a load
//! balancer. The instances route to engines and plain services, and reach agreement
//! through an append-only log that the platform provides. The `hollywell` command
//! runs such an instance; this library is for programs that embed its components.
//!
//! # Contents
//!
//! - [`core`]: all decisions, as code without I/O. Start at
//!   [`core::reducer::State`].
//! - [`error`]: all error kinds and the response to each.
//! - [`clock`]: a monotonic clock that includes suspended time.
//! - [`watchdog`]: detection of pauses of the process.
//! - [`control`]: the thread that owns the reducer's state.
//! - [`traffic`]: the HTTP server for callers, trainers and operators.
//! - [`entry`]: an instance on a platform whose store is a log with keyed topics; an
//!   adapter translates the platform's names.
//! - [`peer`], [`platform`], [`service`], [`engine`]: clients of other instances,
//!   the platform and targets.
//! - [`settings`], [`logs`], [`metrics`], [`view`], [`trace`]: configuration and
//!   observability.
//! - [`report`]: burn rates of service level objectives from scraped metrics.
//! - [`prelude`]: the types that most programs need.
//!
//! # Driving the reducer
//!
//! Every decision is a step of one reducer, which takes a time and an event and
//! returns effects, all of them plain data. Tests, recorded traces and other
//! programs drive it in the same way as the process does.
//!
//! ```
//! use hollywell::prelude::*;
//!
//! let config = Config::new(Instance::new("a", 1), "ruwi-hall", &["ruwi-hall"]);
//! let mut state = State::new(config);
//! // The log is empty and read to its end. After the settling time the instance
//! // proposes itself as the owner of its failure domain's keys.
//! let read =
//!     Event::LogRead { sent: Time(1_000), first: 0, records: vec![], at_end: true };
//! state.step(Time(1_000), &read);
//! state.step(Time(1_100), &Event::Tick);
//! let effects = state.step(Time(1_700), &Event::Tick);
//! let proposed = |effect: &Effect| matches!(effect, Effect::Append { .. });
//! assert!(effects.iter().any(proposed));
//! ```
//!
//! # Using one component alone
//!
//! The components in [`core`] are independent of each other. This example uses the
//! table alone: an edit that is based on a revision that does not exist conflicts.
//!
//! ```
//! use hollywell::core::table::{Edit, Outcome, Table};
//!
//! let edit = |id: &str, by: &str| Edit {
//!     id: id.into(), by: by.into(), trainer: "fraud".into(), base: Some(7), row: None,
//! };
//! let mut table = Table::default();
//! // There is no such row, so an edit based on its revision 7 conflicts.
//! let outcome = table.apply(9, &edit("e1", "ana"));
//! assert!(matches!(outcome, Outcome::Conflict { revision: None, .. }));
//! ```

pub mod account;
pub(crate) mod body;
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
