"""A log stream that never blocks and limits its volume."""

import os
import time
from collections import Counter, deque

BUFFER_BYTES = 256 * 1024
"""Size of the lines that wait for a slow reader; more are dropped and counted."""

LINES_PER_S = 60
"""Mean rate of lines; lines beyond it are dropped and counted."""

BURST_LINES = 600
"""Lines that may be written in one burst, such as after a crash."""

RESERVED_LINES = 100
"""Part of the burst that is reserved for starts, stops and lost dependencies; without
it a busy node did not log its stop."""

DECISIONS = ('"event": "entry: ', '"event": "guard: ')
"""Text in the lines about single requests, whose number grows with the load."""

NS_PER_S = 1_000_000_000


class LogSink:
    """Write lines to a descriptor without waiting for its reader.

    The descriptor is set to non-blocking mode. Lines that it does not accept are
    buffered up to a limit and written with the next line.
    """

    def __init__(self, descriptor: int) -> None:
        """Set a descriptor to non-blocking mode and write to it.

        Args:
            descriptor: Destination of the lines, such as standard output.
        """
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._tokens = float(BURST_LINES)
        self._filled_ns = time.monotonic_ns()
        self._dropped: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last line that reported drops."""
        return self._dropped.total()

    def write(self, text: str) -> None:
        """Write a line, or count it if it exceeds the rate or the buffer."""
        reserved = RESERVED_LINES if _is_decision(text) else 0
        if not self._take_token(reserved):
            self._dropped['rate'] += 1
            return
        if self._waiting_bytes > BUFFER_BYTES:
            self._dropped['reader'] += 1
        else:
            self._append(self._drop_report() + text)
        self._flush()

    def flush(self) -> None:
        """Write what the descriptor accepts now."""
        self._flush()

    def _take_token(self, reserved: int) -> bool:
        now_ns = time.monotonic_ns()
        gained = (now_ns - self._filled_ns) * LINES_PER_S / NS_PER_S
        self._filled_ns = now_ns
        self._tokens = min(self._tokens + gained, BURST_LINES)
        if self._tokens < 1 + reserved:
            return False
        self._tokens -= 1
        return True

    def _drop_report(self) -> str:
        if not self._dropped:
            return ''
        counts = ', '.join(
            f'"{cause}": {count}' for cause, count in sorted(self._dropped.items())
        )
        self._dropped.clear()
        return f'{{"event": "log: Lines dropped.", {counts}}}\n'

    def _append(self, text: str) -> None:
        line = text.encode(errors='replace')
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The descriptor is full or closed; the line stays until the next write.
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def _is_decision(text: str) -> bool:
    return any(mark in text for mark in DECISIONS)
