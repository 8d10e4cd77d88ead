//! Effects: the outputs of the reducer, as data.

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
    /// The target's answer to this dispatch.
    Stored(Dispatch),
    /// The answer that the key's owner returned for the forwarded call.
    Relayed,
    /// A refusal.
    Refused(error::Kind),
    /// The outcome of an edit.
    Edited(table::Outcome),
}

/// An order to an engine to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease holder.
    pub fence: u64,
    /// Lease holder that gives the order.
    pub holder: Instance,
    /// Trainer whose weights to load.
    pub trainer: String,
    /// Version to load.
    pub version: u64,
}

/// An output of the reducer.
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
        /// Time after which the request must not be sent.
        before: Time,
        /// Time by which the answer must be complete.
        deadline: Time,
    },
    /// Send a request to the owner of its key.
    Forward {
        /// The request.
        request: Request,
        /// The owner's address.
        address: String,
        /// The call and what the owner needs to judge it.
        forward: Forward,
    },
    /// Answer a request.
    Reply {
        /// The request.
        request: Request,
        /// The answer.
        reply: Reply,
        /// This instance's reading as an owner, for an entry that forwarded
        /// the request.
        reading: Option<Reading>,
    },
    /// Drop the stored answer of a dispatch.
    Forget {
        /// The dispatch.
        dispatch: Dispatch,
    },
    /// Send a control message.
    Send {
        /// This instance's id, as the sender of the message.
        from: Instance,
        /// The peer's address.
        address: String,
        /// The message.
        message: Message,
    },
    /// Append a record to the log. The record may be lost, or it may be
    /// appended although the reply is lost; the fold handles both cases.
    Append {
        /// The record.
        record: Record,
    },
    /// Generate a sample at an engine.
    Generate {
        /// The request that opened the step.
        request: Request,
        /// The attempt.
        dispatch: Dispatch,
        /// The sample's slot in the step.
        slot: Slot,
        /// The engine's address.
        address: String,
        /// Priority in the engine's queue; lower values go first.
        priority: u8,
        /// Time by which the sample must be complete.
        deadline: Time,
    },
    /// Cancel an attempt whose result is no longer needed.
    Cancel {
        /// The attempt.
        dispatch: Dispatch,
    },
    /// Deliver a complete sample to its trainer.
    Deliver {
        /// The request that opened the step.
        request: Request,
        /// The attempt that produced it.
        dispatch: Dispatch,
        /// The sample's slot in the step.
        slot: Slot,
        /// The weight versions that produced it, in order.
        versions: Vec<u64>,
    },
    /// End a step's stream.
    EndStep {
        /// The request that opened the step.
        request: Request,
        /// Number of slots that were not delivered.
        missing: usize,
        /// Why the stream ends early; `None` if the step is complete.
        reason: Option<error::Kind>,
    },
    /// Send an order to an engine.
    Order {
        /// The engine's name.
        target: String,
        /// The engine's address.
        address: String,
        /// The order.
        order: Order,
        /// Time after which the order must not be sent.
        before: Time,
    },
    /// Increment a counter.
    Count(Counted),
    /// Exit the process: all keys were handed over.
    Exit,
}

/// A counter of events that callers cannot see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Counted {
    /// Samples for slots that had already been delivered.
    SampleDuplicate,
    /// Samples whose weights were older than the trainer's bound.
    SampleStale,
    /// Samples whose engine named no weight version.
    SampleUnversioned,
    /// Samples that failed and run again.
    SampleFailed,
    /// Samples that were delivered.
    SampleDelivered,
    /// Hedged attempts at stragglers.
    Hedge,
    /// Requests retried at another target.
    Retry,
    /// Keyed requests answered with a stored answer.
    Replay,
    /// Activations of this instance under a new ownership map.
    Activation,
}
