//! Everything that can happen to an instance, as data.
//!
//! Events carry no bodies. Each can be written and read with `serde`, so a
//! recorded run can be fed to the reducer again.

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
    /// The pool of targets that it is for.
    pub pool: String,
    /// True if running it twice does no harm.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The failure domain that the caller named as the key's home.
    pub home: Option<String>,
    /// Hash of method, path and body.
    pub digest: u64,
    /// How long the caller waits, in milliseconds.
    pub timeout_ms: u64,
}

/// A call on its way to the owner of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The call.
    pub call: Call,
    /// The owner that it is meant for.
    pub owner: Instance,
    /// The epoch in which the owner is asked to act.
    pub epoch: u64,
    /// The owner's refusals that the entry had heard of before the call
    /// arrived there.
    pub seen: u64,
    /// The call's deadline on the owner's clock.
    pub until: Time,
}

/// What an owner says to a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardResult {
    /// `None` if the target's answer follows, else why it was refused.
    pub refused: Option<error::Kind>,
    /// The owner's reading at that moment, if it is active.
    pub reading: Option<Reading>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A whole answer came back.
    Answered,
    /// The connection was refused, or the time was up before sending.
    NotSent,
    /// The target said that it did not run it.
    NotRun,
    /// Anything else: it may have run.
    Broken,
}

/// A control message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A heartbeat, answered with an [`Message::Echo`].
    #[serde(rename = "beat")]
    Heartbeat {
        /// The sender's clock.
        sent: Time,
        /// The sender's folded offset.
        next: u64,
        /// Targets that the sender knows to be leaving.
        leaving: Vec<String>,
        /// Weights of the trainers that have a step open at the sender.
        #[serde(default)]
        demand: u32,
    },
    /// The answer to a heartbeat.
    Echo {
        /// The clock reading of the heartbeat.
        sent: Time,
        /// Epoch of the newest map of its failure domain that it knows.
        epoch: u64,
        /// Its reading, if it is active in that epoch.
        reading: Option<Reading>,
        /// Its folded offset.
        next: u64,
        /// True if it is stopping.
        draining: bool,
    },
    /// An owner asks its replica to keep a copy of a claim.
    Claim {
        /// The epoch of the claim.
        epoch: u64,
        /// The key.
        key: String,
        /// Hash of the request.
        digest: u64,
    },
    /// The replica has the copy.
    Claimed {
        /// The epoch of the claim.
        epoch: u64,
        /// The key.
        key: String,
    },
    /// What a member hands over at a change of the map.
    Handoff(Handoff),
    /// Asks for the agreed state.
    Pull,
    /// The agreed state.
    Push(Box<Snapshot>),
}

/// Everything that can happen to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Time has passed; comes several times a second.
    Tick,
    /// The platform's list was read.
    Listed(Vec<Listed>),
    /// The platform's log was read.
    LogRead {
        /// When the read was sent.
        sent: Time,
        /// The oldest offset that the log keeps.
        first: u64,
        /// Records with their offsets, in order.
        records: Vec<(u64, Record)>,
        /// True if there was nothing after them.
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
        /// When it arrived at the earliest: for a process that was paused,
        /// when the pause began.
        arrived: Time,
        /// What it asks for.
        call: Call,
    },
    /// A peer forwarded a call to this instance as the key's owner.
    Forwarded {
        /// The request, numbered here.
        request: Request,
        /// The call.
        forward: Forward,
    },
    /// A forwarded call ended.
    ForwardEnded {
        /// The request.
        request: Request,
        /// What the owner said; `None` if no whole answer came.
        result: Option<ForwardResult>,
    },
    /// An attempt at a target ended.
    TargetEnded {
        /// The attempt.
        dispatch: Dispatch,
        /// How.
        end: End,
        /// True if the target said that it is leaving.
        leaving: bool,
    },
    /// The caller of a request has gone.
    CallerGone {
        /// The request.
        request: Request,
    },
    /// An engine reported its load.
    Loaded {
        /// The engine.
        target: String,
        /// The report; `None` if it could not be had.
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
        /// What the trainer asks for.
        opening: rollout::Opening,
    },
    /// An engine's stream for a sample ended.
    SampleEnded {
        /// The attempt.
        dispatch: Dispatch,
        /// How.
        end: rollout::End,
    },
    /// An operator asks for a change to the table.
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
        /// True if the engine took it.
        taken: bool,
    },
    /// The instance is asked to stop.
    Drain,
}
