//! The kinds of misbehaving clients.

/// A kind of misbehaving client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum ClientKind {
    /// Sends eight whole requests of 200 kB at once on one connection.
    WholeRequests,
    /// Reads a long response of small events slowly.
    SlowReader,
    /// Reads a long response of large events slowly.
    SlowReaderOfLargeEvents,
    /// Reads many rejections slowly: it sends small invalid requests and reads nothing.
    SlowReaderOfErrors,
    /// Sends a body in chunks of one byte with extensions, and does not finish it.
    TinyChunks,
    /// Sends a large body slowly.
    SlowWriter,
    /// Stops after most of a large body.
    StopsHalfway,
    /// Sends a head of very many short fields.
    ManyFields,
    /// Sends a head of as many short fields as the router accepts, and stops before the end.
    UnfinishedHead,
    /// Sends small invalid requests without end on one connection.
    SmallRequests,
    /// Sends requests of unknown classes without end on one connection.
    UnknownNames,
    /// Sends valid requests with new names and a short deadline without end on one connection.
    NewNames,
    /// Sends valid requests of both classes with deadlines that cannot be met, without end on one
    /// connection.
    ShortDeadlines,
    /// Sends a request and much behind it, and disconnects.
    Leaver,
    /// Sends a large body of many short texts to the inference API, and reads nothing.
    LargeBatch,
    /// Asks for a whole response, and does not read it.
    UnreadWholeResponse,
}

impl ClientKind {
    /// Returns whether a client of this kind has a small receive buffer.
    pub(super) fn reads_slowly(self) -> bool {
        matches!(
            self,
            ClientKind::SlowReader
                | ClientKind::SlowReaderOfLargeEvents
                | ClientKind::SlowReaderOfErrors
                | ClientKind::UnreadWholeResponse
                | ClientKind::LargeBatch
        )
    }
}

/// All kinds, in the order in which a mixed crowd takes them.
pub const ALL_KINDS: [ClientKind; 16] = [
    ClientKind::WholeRequests,
    ClientKind::SlowReader,
    ClientKind::SlowReaderOfLargeEvents,
    ClientKind::SlowReaderOfErrors,
    ClientKind::TinyChunks,
    ClientKind::SlowWriter,
    ClientKind::StopsHalfway,
    ClientKind::ManyFields,
    ClientKind::UnfinishedHead,
    ClientKind::SmallRequests,
    ClientKind::UnknownNames,
    ClientKind::NewNames,
    ClientKind::ShortDeadlines,
    ClientKind::Leaver,
    ClientKind::LargeBatch,
    ClientKind::UnreadWholeResponse,
];
