//! Logging through log4rs, to standard error.

use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::settings::{LogFormat, Logs};

/// Starts logging for the process.
///
/// # Errors
///
/// If logging was started before, or the configuration is refused.
pub fn start(logs: &Logs) -> Result<(), Box<dyn std::error::Error>> {
    let encoder: Box<dyn Encode> = match logs.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(&logs.pattern)),
    };
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let appender = Appender::builder().build("stderr", Box::new(console));
    let root = Root::builder().appender("stderr").build(logs.level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Starts logging as JSON lines to standard output.
///
/// # Errors
///
/// If logging was started before, or the configuration is refused.
pub fn start_stdout(level: log::LevelFilter) -> Result<(), Box<dyn std::error::Error>> {
    let encoder = Box::new(PatternEncoder::new("{l} {M} {m}{n}"));
    let console = ConsoleAppender::builder().target(Target::Stdout).encoder(encoder).build();
    let appender = Appender::builder().build("stdout", Box::new(console));
    let root = Root::builder().appender("stdout").build(level);
    log4rs::init_config(Config::builder().appender(appender).build(root)?)?;
    Ok(())
}
