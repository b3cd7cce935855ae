"""Controls the fault shim through a mapped file, whose layout is defined in tests/support/fault_plan.hpp."""
import errno
import mmap
import struct

CALL_SIZE = 12
CALL_OFFSETS = {name: 8 + CALL_SIZE * index
                for index, name in enumerate(["accept", "socket", "connect", "storage", "wait", "receive",
                                              "hand_over", "send", "watch"])}
SHORT_IO_OFFSET = 116
HOLD_UP_OFFSET = 120
PLAN_SIZE = 128

# Errors that each kind of call may return according to its manual page.
POSSIBLE_ERRORS = {
    "accept": [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EINTR],
    "socket": [errno.ENFILE, errno.ENOBUFS, errno.EMFILE],
    "connect": [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH],
    "storage": [errno.ENOSPC, errno.EIO],
    "wait": [errno.EINTR],
    "receive": [errno.EINTR],
    "hand_over": [errno.EAGAIN, errno.ENOBUFS, errno.EINTR],
    "send": [errno.EAGAIN, errno.EINTR],
    "watch": [errno.ENOMEM, errno.ENOSPC],
}


class FaultPlan:
    """The faults injected into the system calls of one relay's processes, effective at once."""

    def __init__(self, path):
        path.write_bytes(bytes(PLAN_SIZE))
        with open(path, "r+b") as file:
            self._memory = mmap.mmap(file.fileno(), PLAN_SIZE)
        self.path = path

    def offset_wall_clock(self, seconds):
        """Sets the offset that is added to the wall clock that the relay reads."""
        struct.pack_into("q", self._memory, 0, int(seconds * 1_000_000))

    def fail(self, call, error, per_mille, count=0):
        """Makes the next `count` calls of a kind fail, and `per_mille` of a thousand of the later ones."""
        struct.pack_into("iii", self._memory, CALL_OFFSETS[call], error, count, per_mille)

    def stop_failing(self, call):
        """Ends the injected failures of a kind of call."""
        self.fail(call, 0, 0)

    def shorten_transfers(self, per_mille):
        """Makes `per_mille` of a thousand TCP reads and writes transfer only a part."""
        struct.pack_into("i", self._memory, SHORT_IO_OFFSET, per_mille)

    def delay_next_wait(self, milliseconds):
        """Prolongs the process's next wait for events, once."""
        struct.pack_into("i", self._memory, HOLD_UP_OFFSET, milliseconds)
