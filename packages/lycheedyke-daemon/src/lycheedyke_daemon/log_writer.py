"""Writes log lines without ever delaying who logs them."""

import json
import queue
import threading
from typing import TextIO

# At about 400 bytes a line, half a megabyte.
MAX_QUEUED_LINES = 1_200
# A reader that does not read delays the end of the process no longer.
CLOSE_SECONDS = 0.3


class BoundedWriter:
    """A text stream that drops lines once too many wait to be written.

    A thread writes them to the stream behind; how many were dropped is told
    there as soon as it takes lines again.

    Args:
        stream: where the lines go.
        max_queued: the most lines that wait.
    """

    def __init__(
        self,
        stream: TextIO,
        max_queued: int = MAX_QUEUED_LINES,
    ) -> None:
        """Starts the thread that writes."""
        self.dropped = 0
        self._stream = stream
        self._told = 0
        self._lines: queue.Queue[str | None] = queue.Queue(max_queued)
        self._thread = threading.Thread(
            target=self._write_all,
            name='log-writer',
            daemon=True,
        )
        self._thread.start()

    def __repr__(self) -> str:
        """Returns the number of lines that wait."""
        return f'<BoundedWriter with {self._lines.qsize()} lines>'

    def write(self, text: str) -> int:
        """Takes a text in, or drops it; returns its length."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing: the thread flushes when no line waits."""

    def close(self) -> None:
        """Writes what waits, for a short time."""
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
            self._tell_dropped()
            if self._lines.empty():
                self._stream.flush()
        self._stream.flush()

    def _tell_dropped(self) -> None:
        count = self.dropped - self._told
        if count:
            self._told += count
            event = {'event': 'log lines dropped', 'count': count}
            self._stream.write(f'{json.dumps(event)}\n')
