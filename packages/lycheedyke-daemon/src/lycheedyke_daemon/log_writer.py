"""Writes log lines on a thread, so that logging never blocks the caller."""

import json
import queue
import threading
from typing import TextIO

# About 0.5 MB of memory at 400 bytes a line.
MAX_QUEUED_LINES = 1_200
# Bounds how long a blocked reader delays the end of the process.
CLOSE_SECONDS = 0.3


class BoundedWriter:
    """A text stream with a bounded queue, which drops lines if it is full.

    A thread writes the queued lines to the underlying stream. The number of
    dropped lines is written there once the stream accepts lines again.

    Args:
        stream: the underlying stream.
        max_queued: the maximum number of queued lines.
    """

    def __init__(
        self,
        stream: TextIO,
        max_queued: int = MAX_QUEUED_LINES,
    ) -> None:
        """Starts the writer thread."""
        self.dropped = 0
        self._stream = stream
        self._reported = 0
        self._lines: queue.Queue[str | None] = queue.Queue(max_queued)
        self._thread = threading.Thread(
            target=self._write_all,
            name='log-writer',
            daemon=True,
        )
        self._thread.start()

    def __repr__(self) -> str:
        """Returns the number of queued lines."""
        return f'<BoundedWriter with {self._lines.qsize()} lines>'

    def write(self, text: str) -> int:
        """Queues the text or drops it; returns its length."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing: the thread flushes when the queue is empty."""

    def close(self) -> None:
        """Writes the queued lines, for at most twice `CLOSE_SECONDS`."""
        try:
            self._lines.put(None, timeout=CLOSE_SECONDS)
        except queue.Full:
            return
        self._thread.join(CLOSE_SECONDS)

    def _write_all(self) -> None:
        while True:
            text = self._lines.get()
            if text is None:
                break
            self._stream.write(text)
            self._report_dropped()
            if self._lines.empty():
                self._stream.flush()
        self._stream.flush()

    def _report_dropped(self) -> None:
        count = self.dropped - self._reported
        if count:
            self._reported += count
            event = {'event': 'log lines dropped', 'count': count}
            self._stream.write(f'{json.dumps(event)}\n')
