"""Set up structured logs, bounded in volume and never blocking."""

import collections
import logging
import os
import select
import sys
import time

import structlog

# Lines that wait for a reader that has fallen behind; 2,000 lines of 300
# bytes are 0.6 MB.
QUEUE_LINES = 2000
STDOUT = 1
# Longest wait in seconds for a slow reader as the process ends.
LAST_WAIT = 0.2


class BoundedWriter:
    """Writes lines to a file descriptor without ever waiting for it.

    :ivar dropped: lines lost because their reader was too slow, or is gone
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message):
        """Write one line, or keep or drop it."""
        if len(self._lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self._lines.append(message.encode() + b"\n")
        self.flush()

    log = debug = info = warning = error = critical = exception = msg

    def flush(self):
        """Write as much as the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._lines.popleft()
            try:
                count = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads, or nothing can be stored: what is logged must
                # not fail for that.
                return self._drop()
            self._rest = self._rest[count:]

    def finish(self, seconds):
        """Write what waits, as the process ends.

        :param seconds: longest wait for the reader
        """
        until = time.monotonic() + seconds
        while self._rest or self._lines:
            left = until - time.monotonic()
            if left <= 0:
                return self._drop()
            select.select([], [self._descriptor], [], left)
            self.flush()

    def _drop(self):
        """Give up all lines that wait."""
        self.dropped += len(self._lines) + bool(self._rest)
        self._lines.clear()
        self._rest = b""


_writer = None


def dropped():
    """Return how many lines were dropped."""
    return _writer.dropped if _writer is not None else 0


def finish():
    """Write the lines that wait, as the process ends."""
    if _writer is not None:
        _writer.finish(LAST_WAIT)


def set_up(settings, **bound):
    """Send log lines to standard error.

    :param settings: LogSettings
    :param bound: what each line carries, such as the instance's name
    """
    level = getattr(logging, settings.level.upper())
    render = (
        structlog.processors.JSONRenderer()
        if settings.json
        else structlog.processors.KeyValueRenderer(
            key_order=["timestamp", "level", "event"]
        )
    )
    factory = structlog.PrintLoggerFactory(sys.stderr)
    _configure(level, render, factory, bound)


def set_up_bounded(level=logging.INFO, **bound):
    """Send log lines as JSON to standard output, bounded.

    :param bound: what each line carries, such as the instance's name
    """
    global _writer
    _writer = BoundedWriter(STDOUT)
    render = structlog.processors.JSONRenderer()
    _configure(level, render, lambda *_args: _writer, bound)


def _configure(level, render, factory, bound):
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound)
