//! Events: the inputs of the reducer, as data.
//!
//! Events contain no bodies. They implement `serde`'s traits, so that a
//! recorded run can be replayed through the reducer.

use serde::{Deserialize, Serialize};

use crate::{
    core::{
        id::{Dispatch, Instance, Request},
        member::{Listed, Load, Reading},
        owner::Handoff,
        rollout,
        stream::{Record, Snapshot},
        table,
        time::Time,
    },
    error,
};

/// A caller's request for a plain service or a live completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Pool of targets that serves the call.
    pub pool: String,
    /// True if the call may safely run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Failure domain that the caller named as the key's home.
    pub home: Option<String>,
    /// Hash of method, path and body.
    pub digest: u64,
    /// How long the caller waits, in milliseconds.
    pub timeout_ms: u64,
}

/// A call that is forwarded to the owner of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The call.
    pub call: Call,
    /// Owner that the call is addressed to.
    pub owner: Instance,
    /// Epoch in which the owner is to act.
    pub epoch: u64,
    /// Number of the owner's refusals that the entry knew of before the call
    /// arrived there.
    pub seen: u64,
    /// Deadline of the call on the owner's clock.
    pub until: Time,
}

/// An owner's reply to a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardResult {
    /// Why the call was refused; `None` if the target's answer follows.
    pub refused: Option<error::Kind>,
    /// The owner's reading at the time of the reply, if it is active.
    pub reading: Option<Reading>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A complete answer was received.
    Answered,
    /// The connection was refused, or the time limit passed before the request
    /// was sent.
    NotSent,
    /// The target reported that it did not run the request.
    NotRun,
    /// Any other failure: the request may have run.
    Broken,
}

/// A control message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A heartbeat, which is answered with a [`Message::Echo`].
    #[serde(rename = "beat")]
    Heartbeat {
        /// Time on the sender's clock.
        sent: Time,
        /// Offset up to which the sender has folded the log.
        next: u64,
        /// Targets that the sender knows to be leaving.
        leaving: Vec<String>,
        /// Sum of the weights of the trainers with an open step at the sender.
        #[serde(default)]
        demand: u32,
    },
    /// The answer to a heartbeat.
    Echo {
        /// The heartbeat's `sent` time.
        sent: Time,
        /// Epoch of the newest map that the sender knows of its own failure
        /// domain.
        epoch: u64,
        /// The sender's reading, if it is active in that epoch.
        reading: Option<Reading>,
        /// Offset up to which the sender has folded the log.
        next: u64,
        /// True if the sender is stopping.
        draining: bool,
    },
    /// An owner's request to the replica to store a copy of a claim.
    Claim {
        /// Epoch of the claim.
        epoch: u64,
        /// Idempotency key.
        key: String,
        /// Hash of the request.
        digest: u64,
    },
    /// The replica's confirmation that it has the copy.
    Claimed {
        /// Epoch of the claim.
        epoch: u64,
        /// Idempotency key.
        key: String,
    },
    /// State that a member hands over when the map changes.
    Handoff(Handoff),
    /// A request for the agreed state.
    Pull,
    /// The agreed state.
    Push(Box<Snapshot>),
}

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Time has passed; sent several times a second.
    Tick,
    /// The platform's list was read.
    Listed(Vec<Listed>),
    /// The platform's log was read.
    LogRead {
        /// When the read was sent.
        sent: Time,
        /// The oldest offset that the log retains.
        first: u64,
        /// Records with their offsets, in order.
        records: Vec<(u64, Record)>,
        /// True if the read reached the end of the log.
        at_end: bool,
    },
    /// A peer sent a control message.
    Peer {
        /// The sender.
        from: Instance,
        /// The message.
        message: Message,
    },
    /// A caller's request arrived.
    Call {
        /// The request.
        request: Request,
        /// Earliest time at which the request can have arrived. After a pause
        /// of the process it is the start of the pause.
        arrived: Time,
        /// The call.
        call: Call,
    },
    /// A peer forwarded a call to this instance as the key's owner.
    Forwarded {
        /// The request, with an id assigned by this instance.
        request: Request,
        /// The call.
        forward: Forward,
    },
    /// A forwarded call ended.
    ForwardEnded {
        /// The request.
        request: Request,
        /// The owner's reply; `None` if no complete reply was received.
        result: Option<ForwardResult>,
    },
    /// An attempt at a target ended.
    TargetEnded {
        /// The attempt.
        dispatch: Dispatch,
        /// How it ended.
        end: End,
        /// True if the target reported that it is leaving.
        leaving: bool,
    },
    /// The caller of a request disconnected.
    CallerGone {
        /// The request.
        request: Request,
    },
    /// An engine reported its load.
    Loaded {
        /// The engine.
        target: String,
        /// The report; `None` if it could not be read.
        load: Option<Load>,
    },
    /// The weight store has a version of a trainer.
    Version {
        /// The trainer.
        trainer: String,
        /// The version.
        version: u64,
    },
    /// A trainer opened a step.
    StepOpened {
        /// The request whose answer carries the samples.
        request: Request,
        /// The samples that the trainer requests.
        opening: rollout::Opening,
    },
    /// An engine's stream for a sample ended.
    SampleEnded {
        /// The attempt.
        dispatch: Dispatch,
        /// How it ended.
        end: rollout::End,
    },
    /// An operator requested a change to the table.
    Edit {
        /// The request.
        request: Request,
        /// The change.
        edit: table::Edit,
    },
    /// An order to an engine ended.
    OrderEnded {
        /// The engine.
        target: String,
        /// True if the engine accepted it.
        taken: bool,
    },
    /// The instance was asked to stop.
    Drain,
}
