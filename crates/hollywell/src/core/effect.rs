//! Everything that the reducer asks the rest of the process to do, as data.

use serde::{Deserialize, Serialize};

use crate::{
    core::{
        event::{Forward, Message},
        id::{Dispatch, Instance, Request},
        member::Reading,
        rollout::Slot,
        stream::Record,
        table,
        time::Time,
    },
    error,
};

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// What the target answered to this dispatch.
    Stored(Dispatch),
    /// What the key's owner sent back with the forwarded call.
    Relayed,
    /// A refusal.
    Refused(error::Kind),
    /// What became of an edit.
    Edited(table::Outcome),
}

/// An order to an engine to serve a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The holder's fencing number.
    pub fence: u64,
    /// Who gives the order.
    pub holder: Instance,
    /// The trainer whose weights are meant.
    pub trainer: String,
    /// The version to serve.
    pub version: u64,
}

/// Everything that the reducer can ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Send a request to a target, unless `before` has passed.
    Dispatch {
        /// The request whose bytes are sent.
        request: Request,
        /// The attempt.
        dispatch: Dispatch,
        /// The target's address.
        address: String,
        /// Instant after which it must not be sent.
        before: Time,
        /// Instant by which the answer must be whole.
        deadline: Time,
    },
    /// Send a request to the owner of its key.
    Forward {
        /// The request.
        request: Request,
        /// The owner's address.
        address: String,
        /// What goes with it.
        forward: Forward,
    },
    /// Answer a request.
    Reply {
        /// The request.
        request: Request,
        /// The answer.
        reply: Reply,
        /// What this instance says of itself as an owner, for an entry that
        /// forwarded the request.
        reading: Option<Reading>,
    },
    /// Drop the answer kept for a dispatch.
    Forget {
        /// The dispatch.
        dispatch: Dispatch,
    },
    /// Send a control message.
    Send {
        /// This instance, as it is to be named to the peer.
        from: Instance,
        /// The peer's address.
        address: String,
        /// The message.
        message: Message,
    },
    /// Append a record to the log. It may be lost, and it may be appended
    /// although no answer comes; the fold copes with both.
    Append {
        /// The record.
        record: Record,
    },
    /// Ask an engine for a sample.
    Generate {
        /// The request that opened the step.
        request: Request,
        /// The attempt.
        dispatch: Dispatch,
        /// The sample's place.
        slot: Slot,
        /// The engine's address.
        address: String,
        /// Its place in the engine's queue; lower goes first.
        priority: u8,
        /// Instant by which it must be whole.
        deadline: Time,
    },
    /// Stop an attempt whose result is not wanted any longer.
    Cancel {
        /// The attempt.
        dispatch: Dispatch,
    },
    /// Pass a whole sample on to its trainer.
    Deliver {
        /// The request that opened the step.
        request: Request,
        /// The attempt that produced it.
        dispatch: Dispatch,
        /// The sample's place.
        slot: Slot,
        /// The versions that produced it, in order.
        versions: Vec<u64>,
    },
    /// End a step's stream.
    EndStep {
        /// The request that opened it.
        request: Request,
        /// Slots that were not delivered.
        missing: usize,
        /// Why the stream ends: `None` if the step is whole.
        reason: Option<error::Kind>,
    },
    /// Give an order to an engine.
    Order {
        /// The engine's name.
        target: String,
        /// The engine's address.
        address: String,
        /// The order.
        order: Order,
        /// Instant after which it must not be sent.
        before: Time,
    },
    /// Count something that callers cannot see.
    Count(Counted),
    /// End the process: everything was handed over.
    Exit,
}

/// Things that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Counted {
    /// A sample for a slot that was delivered before.
    SampleDuplicate,
    /// A sample older than its trainer's bound.
    SampleStale,
    /// A sample that named no version.
    SampleUnversioned,
    /// A sample that failed and runs again.
    SampleFailed,
    /// A sample delivered.
    SampleDelivered,
    /// A straggler run a second time.
    Hedge,
    /// A request tried at another target.
    Retry,
    /// A keyed request answered from memory.
    Replay,
    /// A change of the ownership map taken into force.
    Activation,
}
