//! The decision logic of hollywell, without side effects.
//!
//! All code here is a function of a state, a time and an event: it uses no
//! clock, no I/O, no async runtime and no locks. [`reducer::State`] combines the
//! modules. Each of them is also usable on its own, so that other programs can
//! embed a single one.
//!
//! | module | decides |
//! |---|---|
//! | [`stream`] | the agreed state, folded from the platform's log |
//! | [`table`] | the contents of the operators' table, folded from the log |
//! | [`owner`] | who owns an idempotency key, and when it may act |
//! | [`claim`] | whether a keyed request runs, joins, replays or is refused |
//! | [`member`] | which instances and targets are usable |
//! | [`lease`] | who may give orders to a failure domain's engines |
//! | [`route`] | which target takes a request |
//! | [`retry`] | whether a failed attempt may be retried, and when |
//! | [`pace`] | when weights may be fetched |
//! | [`rollout`] | which samples run next and which are delivered |
//! | [`ending`] | how a job's end is kept until it is in the platform's store |
//! | [`inquiry`] | when a starting instance knows what its peers hold |
//! | [`interest`] | which jobs that were open at a start may run |
//! | [`instances`] | which instances exist, whether or not the group shows them |
//! | [`share`] | which waiting sample takes the next place |
//! | [`backlog`] | whether a job is rejected because it would be late |
//! | [`admission`] | whether a request that no target can take is held or rejected |
//! | [`hedge`] | when a request is sent once more to another target |
//! | [`home`] | in which of the store's partitions a job is |
//! | [`group`] | whether a reading of the group of instances shows all members |
//! | [`room`] | whether a target's memory takes one more sample |
//! | [`versions`] | which versions of the weights may generate a text |
//! | [`poison`] | which requests end the targets that run them |
//! | [`availability`] | whether the store is available, and how old a view of jobs may be |
//! | [`departure`] | which targets leave, and up to when that is known |
//! | [`permit`] | which instance may do what only one may do at a time |
//! | [`memory`] | whether one more part of a response is read |
//! | [`shutdown`] | what a stopping instance may still begin |
//! | [`queue_time`] | how long responses of the store wait in its queue |
//! | [`text_window`] | how many bytes of texts are read from the store at a time |
//! | [`throttle`] | how fast less urgent records are written while the store refuses calls |
//! | [`append_queue`] | what is held back while the appends to a partition take long |
//! | [`capacity`] | what the store's capacity is reserved for, and how far a log is trimmed |
//!
//! Not part of this module: bodies, sockets and threads, which are in
//! [`crate::traffic`], [`crate::peer`] and [`crate::control`].

pub mod admission;
pub mod append_queue;
pub mod availability;
pub mod backlog;
pub mod batch;
pub mod callers;
pub mod capacity;
pub mod choice;
pub mod claim;
pub mod configuration;
pub mod departure;
pub mod dispatch;
pub mod effect;
pub mod ending;
pub mod event;
pub mod fleet;
pub mod group;
pub mod hedge;
pub mod home;
pub mod host;
pub mod id;
pub mod inquiry;
pub mod instances;
pub mod interest;
pub mod lease;
pub mod machine;
mod malformed;
pub mod member;
pub mod memory;
pub mod organisation;
pub mod outage;
pub mod owner;
pub mod pace;
pub mod permit;
pub mod poison;
pub mod queue_time;
pub mod read_rate;
pub mod reducer;
pub mod relay;
pub mod reserve;
pub mod retry;
pub mod rollout;
pub mod room;
pub mod roster;
pub mod route;
pub mod share;
pub mod shutdown;
pub mod store_lease;
pub mod stream;
pub mod table;
pub mod text_window;
pub mod throttle;
pub mod time;
pub mod timeout;
pub mod unstored;
pub mod usage;
pub mod versions;
pub mod waits;
pub mod weight_loading;
