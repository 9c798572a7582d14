"""The record of a case: what was sent, answered and run, with times."""
import time


class Record:
    """Writes one line per event to record.txt; times are seconds since zero()."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._zero = time.monotonic()

    def zero(self):
        """Sets the time that all later lines count from."""
        self._zero = time.monotonic()
        self.note("time 0")

    def now(self):
        return time.monotonic() - self._zero

    def note(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()
