//! The decisions of hollywell, as pure code.
//!
//! Everything in here is a function of a state, a time and an event: no
//! clock, no I/O, no async runtime, no locks. [`reducer::State`] composes the
//! parts; each part also stands alone and knows nothing of its siblings, so
//! that other programs can embed just one of them.
//!
//! | part | decides |
//! |---|---|
//! | [`stream`] | the agreed state, folded from the platform's log |
//! | [`table`] | what the operators' table says, folded from the log |
//! | [`owner`] | who owns an idempotency key, and when it may act |
//! | [`claim`] | whether a keyed request runs, joins, replays or is refused |
//! | [`member`] | which instances and targets are usable |
//! | [`lease`] | who may give orders to a failure domain's engines |
//! | [`route`] | which target takes a request |
//! | [`retry`] | whether a failed attempt may be tried again, and when |
//! | [`pace`] | how fast weights are fetched |
//! | [`rollout`] | which samples run next and which are delivered |
//! | [`ending`] | how a job's end is kept until it is in the platform's store |
//! | [`admission`] | whether a request that no target can take is held or rejected |
//! | [`group`] | whether a reading of the group of instances shows all members |
//! | [`poison`] | which requests end the targets that run them |
//! | [`turn`] | what one party of all does at a time |
//! | [`capacity`] | which appends the store's capacity is reserved for, and how far a log is trimmed |
//!
//! What it leaves out: bodies, sockets and threads, which are in
//! [`crate::traffic`], [`crate::peer`] and [`crate::control`].

pub mod admission;
pub mod batch;
pub mod capacity;
pub mod choice;
pub mod claim;
pub mod configuration;
pub mod dispatch;
pub mod effect;
pub mod ending;
pub mod event;
pub mod fleet;
pub mod group;
pub mod id;
pub mod lease;
mod malformed;
pub mod member;
pub mod organisation;
pub mod owner;
pub mod pace;
pub mod patience;
pub mod poison;
pub mod reducer;
pub mod relay;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod stream;
pub mod table;
pub mod tenure;
pub mod time;
pub mod turn;
pub mod usage;
pub mod weight_loading;
