//! Unit tests of the reducer, one decision per test.

mod agreed;
mod calls;
mod help;
mod keys;
mod samples;
