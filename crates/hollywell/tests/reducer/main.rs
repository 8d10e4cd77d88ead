//! The reducer, one decision a test.

mod agreed;
mod calls;
mod help;
mod keys;
mod samples;
