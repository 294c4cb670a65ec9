"""Signals to this process, from its first line to its end.

It imports nothing that takes long, so that it comes before what does.
"""

import os
import signal
import sys

WAKE_SIZE = 4096
STOPS = (signal.SIGTERM, signal.SIGINT)
RELOADS = (signal.SIGHUP,)


class Signals:
    """What signals ask for, kept until a loop is there to hear of it.

    The handlers are never taken away, as a loop does with its own when it
    closes: a signal just then would end the process.
    """

    def __init__(self):
        self._loop = None
        self._on_stop = None
        self._on_reload = None
        self._stop_came = False
        self._reload_came = False

    def watch(self):
        """Handle signals from now on; one to stop ends the process."""
        for number in STOPS:
            signal.signal(number, self._take_stop)
        for number in RELOADS:
            signal.signal(number, self._take_reload)

    def follow(self, loop, on_stop, on_reload):
        """Hand signals to a loop, also those that have come.

        :param on_stop: function that is called for each signal to stop
        :param on_reload: function that is called for each SIGHUP
        """
        self._loop = loop
        self._on_stop = on_stop
        self._on_reload = on_reload
        self._wake_by_signals()
        if self._reload_came:
            loop.call_soon(on_reload)
        if self._stop_came:
            loop.call_soon(on_stop)

    def _wake_by_signals(self):
        """Let signals wake the loop.

        One that comes just before the loop waits is handled by the
        interpreter only after that wait.
        """
        source, target = os.pipe()
        os.set_blocking(target, False)
        self._loop.add_reader(source, os.read, source, WAKE_SIZE)
        signal.set_wakeup_fd(target, warn_on_full_buffer=False)

    def ignore(self):
        """Ignore signals from now on: the process is about to end."""
        signal.set_wakeup_fd(-1)
        for number in (*STOPS, *RELOADS):
            signal.signal(number, signal.SIG_IGN)

    def _take_stop(self, _number, _frame):
        self._stop_came = True
        if self._loop is None:
            # Nothing is in hand yet.
            sys.exit(0)
        self._call(self._on_stop)

    def _take_reload(self, _number, _frame):
        self._reload_came = True
        if self._loop is not None:
            self._call(self._on_reload)

    def _call(self, function):
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(function)


# Handlers belong to the whole process, and there are modules to import before
# anything could hand this object on.
PROCESS = Signals()
