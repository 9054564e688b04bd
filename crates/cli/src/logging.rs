//! Structured logging: one JSON object per line.

use std::path::Path;

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::json::JsonEncoder;

use crate::exit::CommandError;

/// Initializes logging to standard error, or to `file`.
///
/// # Errors
///
/// When the file cannot be opened or logging is already initialized.
pub fn start(level: LevelFilter, file: Option<&Path>) -> Result<(), CommandError> {
    let encoder = Box::new(JsonEncoder::new());
    let appender: Box<dyn Append> = match file {
        Some(path) => {
            let appender = FileAppender::builder().encoder(encoder).build(path);
            Box::new(appender.map_err(|error| {
                CommandError::Usage(format!("--log-file {}: {error}", path.display()))
            })?)
        }
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", appender))
        // Library crates report each connection at debug level.
        .logger(Logger::builder().build("hyper_util", LevelFilter::Warn))
        .logger(Logger::builder().build("ureq", LevelFilter::Warn))
        .logger(Logger::builder().build("ureq_proto", LevelFilter::Warn))
        .build(Root::builder().appender("out").build(level))
        .map_err(|error| CommandError::Usage(format!("logging: {error}")))?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|error| CommandError::Usage(format!("logging: {error}")))
}
