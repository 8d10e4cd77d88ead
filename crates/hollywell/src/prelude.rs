//! The types that most programs that embed hollywell need.
//!
//! ```
//! use hollywell::prelude::*;
//!
//! let config = Config::new(Instance::new("a", 1), "ruwi-hall", &["ruwi-hall"]);
//! let effects = State::new(config).step(Time(0), &Event::Tick);
//! assert_eq!(effects, []);
//! ```

pub use crate::{
    core::{
        effect::{Effect, Reply},
        event::{Call, Event, Message},
        id::{Dispatch, Instance, Request},
        reducer::{Config, State},
        time::Time,
    },
    error::{Kind, Outcome},
};
