//! The errors that prevent a run.

use std::io;
use std::path::PathBuf;

/// An error that prevents a run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file is not found, or the folder of a run cannot be created.
    #[error("cannot access {path}: {source}")]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A component of the test environment cannot listen on loopback.
    #[error("cannot listen on loopback: {0}")]
    Listen(io::Error),
    /// A router process cannot be started.
    #[error("cannot start router {router}: {source}")]
    StartRouter {
        /// Index of the router.
        router: usize,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The Tokio runtime cannot be built.
    #[error("cannot build the Tokio runtime: {0}")]
    Runtime(io::Error),
}
