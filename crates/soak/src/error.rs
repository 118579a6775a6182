//! Why a run cannot take place.

use std::io;
use std::path::PathBuf;

/// Why a run cannot take place.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file that the run needs is not there.
    #[error("{path}: {source}")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A fake server or proxy cannot listen on loopback.
    #[error("cannot listen on loopback: {0}")]
    Listen(io::Error),
    /// A router process cannot be started.
    #[error("cannot start router {router}: {source}")]
    StartRouter {
        /// The index of the router.
        router: usize,
        /// The system's error.
        source: io::Error,
    },
    /// The runtime cannot be built.
    #[error("cannot build the runtime: {0}")]
    Runtime(io::Error),
}
