//! The control file: numbers that a test writes while the process runs. The library maps it, so a change takes effect
//! with the next call. This source file is shared with the tests by its path; they write at [`Setting::offset`].

/// The environment variable that names the control file.
pub const CONTROL_VARIABLE: &str = "SYSCALL_FAULTS_CONTROL";

/// The length of the control file.
pub const CONTROL_BYTES: usize = 256;

/// One number of the control file: 8 bytes, little endian. Nothing fails where all are zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// Seeds the choice of the calls that fail.
    Seed,
    /// Added to the wall clock, in milliseconds.
    ClockStepMs,
    /// One `accept` in this number fails; 0: none. All settings `...OneIn` are of this form.
    AcceptOneIn,
    /// With this errno.
    AcceptErrno,
    /// `socket`, for TCP.
    SocketOneIn,
    /// With this errno.
    SocketErrno,
    /// `connect`, over TCP.
    ConnectOneIn,
    /// With this errno.
    ConnectErrno,
    /// Reads from TCP sockets that are interrupted.
    ReadInterruptedOneIn,
    /// Writes to TCP sockets that are interrupted.
    WriteInterruptedOneIn,
    /// Waits for events that are interrupted.
    WaitInterruptedOneIn,
    /// The most bytes that one read or write moves on a TCP socket; 0: no bound. The socket's events are armed again, so
    /// that an edge-triggered poll reports the rest.
    MaxTransferBytes,
    /// `fsync` and `fdatasync`.
    SyncOneIn,
    /// With this errno.
    SyncErrno,
    /// `rename`.
    RenameOneIn,
    /// With this errno.
    RenameErrno,
    /// Writes to regular files.
    FileWriteOneIn,
    /// With this errno.
    FileWriteErrno,
    /// Written by the library: the number of calls that it made fail, cut short or interrupted.
    InjectedFaults,
}

impl Setting {
    /// Where the number stands in the control file.
    pub const fn offset(self) -> usize {
        self as usize * size_of::<i64>()
    }
}
