//! Layout of the control file, into which a test writes the settings of a running process. The library maps the file,
//! so a change takes effect with the next call. Tests include this source file by its path and write each setting at
//! [`Setting::offset`].

/// Environment variable that holds the path of the control file.
pub const CONTROL_VARIABLE: &str = "SYSCALL_FAULTS_CONTROL";

/// Length of the control file, in bytes.
pub const CONTROL_BYTES: usize = 256;

/// A value in the control file: an `i64` of 8 bytes, little-endian. No fault is injected while all values are zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// Seed of the pseudorandom selection of calls that fail.
    Seed,
    /// Offset added to the wall clock, in milliseconds; may be negative.
    ClockStepMs,
    /// One in this many `accept4` calls fails; 0 disables the fault.
    AcceptOneIn,
    /// `errno` of the `accept4` calls that fail.
    AcceptErrno,
    /// One in this many `socket` calls for IPv4 and IPv6 fails; 0 disables the fault.
    SocketOneIn,
    /// `errno` of the `socket` calls that fail.
    SocketErrno,
    /// One in this many `connect` calls over TCP fails; 0 disables the fault.
    ConnectOneIn,
    /// `errno` of the `connect` calls that fail.
    ConnectErrno,
    /// One in this many reads from TCP sockets fails with `EINTR`; 0 disables the fault.
    ReadInterruptedOneIn,
    /// One in this many writes to TCP sockets fails with `EINTR`; 0 disables the fault.
    WriteInterruptedOneIn,
    /// One in this many `epoll_wait` calls fails with `EINTR`; 0 disables the fault.
    WaitInterruptedOneIn,
    /// Maximum number of bytes that one read or write transfers on a TCP socket; 0 for no limit. After a shortened
    /// transfer, the socket's events are armed again so that an edge-triggered epoll reports the remaining bytes.
    MaxTransferBytes,
    /// One in this many `fsync` calls fails; 0 disables the fault. `fdatasync` is not affected.
    SyncOneIn,
    /// `errno` of the `fsync` calls that fail.
    SyncErrno,
    /// One in this many `rename` calls fails; 0 disables the fault.
    RenameOneIn,
    /// `errno` of the `rename` calls that fail.
    RenameErrno,
    /// One in this many `write` calls to regular files fails; 0 disables the fault.
    FileWriteOneIn,
    /// `errno` of the `write` calls to regular files that fail.
    FileWriteErrno,
    /// Number of calls that failed, were interrupted or were shortened so far. The library writes it, tests only read
    /// it.
    InjectedFaults,
}

impl Setting {
    /// Returns the offset of the value in the control file, in bytes.
    pub const fn offset(self) -> usize {
        self as usize * size_of::<i64>()
    }
}
