"""The soak's side of the fault shim: a mapped file whose form tests/support/fault_plan.hpp states."""
import errno
import mmap
import struct

CALL_SIZE = 12
CALL_OFFSETS = {name: 8 + CALL_SIZE * place
                for place, name in enumerate(["accept", "socket", "connect", "storage", "wait", "receive", "hand_over", "send", "watch"])}
SHORT_IO_OFFSET = 116
HOLD_UP_OFFSET = 120
PLAN_SIZE = 128

# What each kind of call may fail with, as its manual page has it.
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
    """What one relay's system calls do from now on."""

    def __init__(self, path):
        path.write_bytes(bytes(PLAN_SIZE))
        with open(path, "r+b") as file:
            self._memory = mmap.mmap(file.fileno(), PLAN_SIZE)
        self.path = path

    def offset_wall_clock(self, seconds):
        """Adds so much to the wall clock that the relay reads."""
        struct.pack_into("q", self._memory, 0, int(seconds * 1_000_000))

    def fail(self, call, error, per_mille, count=0):
        """Lets so many of a thousand calls of a kind fail, and the next `count` in any case."""
        struct.pack_into("iii", self._memory, CALL_OFFSETS[call], error, count, per_mille)

    def stop_failing(self, call):
        """The kind of call is sound again."""
        self.fail(call, 0, 0)

    def cut_transfers(self, per_mille):
        """So many of a thousand reads and writes on TCP take a part only."""
        struct.pack_into("i", self._memory, SHORT_IO_OFFSET, per_mille)

    def hold_up(self, milliseconds):
        """The process's next wait takes so much longer."""
        struct.pack_into("i", self._memory, HOLD_UP_OFFSET, milliseconds)
