"""Monitors whether the store can be reached, with few cheap probes.

While the store is down, each of its users would retry on its own, at a cost
for each call.  Instead, a failed call starts one probe on behalf of all users,
and other calls are held back while the probes fail as well.

Pooled connections may stall for good while new ones work.  So a probe on a
pooled connection that is not answered soon is followed by one on a new
connection, and if that one is answered first, the pooled connections are
reported as stalled.

A watch stays pending during an outage, and its user may make no other call
meanwhile.  So users that must detect each outage have the store probed when it
has answered no call for a while.
"""

import asyncio
import contextlib

import structlog

from ..errors import StoreError
from ..supervision import beat
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

# Seconds for the first probes to be answered after a call failed, before the
# store counts as down: a store that is only slow answers by then.
FIRST_PROBE_TIMEOUT = 0.5
# Seconds after which an unanswered first probe is followed by one on a new
# connection.
NEW_CONNECTION_DELAY = 0.1
# Seconds without an answer after which the store is probed for users that must
# detect each outage.  Entries of upstreams expire 2.4 s after the start of an
# outage at the earliest (two heartbeats of 1.2 s); the outage is detected
# 1.8 s after its start at the latest.
IDLE_LIMIT = 1.1
# Used in place of NEW_CONNECTION_DELAY when no call has failed: a store that
# is only slow must not be probed twice, nor its pooled connections be taken
# for stalled.
IDLE_NEW_CONNECTION_DELAY = 0.3
# Seconds between two probes of a store that is down; they overlap if the
# store does not answer.
PROBE_INTERVAL = 0.3
# Time limit of each of these probes in seconds.
PROBE_TIMEOUT = 1.0
# Seconds between the heartbeats of a loop that waits for an outage to end.
HEARTBEAT_INTERVAL = 1.0


class Reachability:
    """Monitors whether one store can be reached.

    :param probe: coroutine function that makes a cheap call and raises
        StoreError if it fails; its argument is whether to use a new
        connection
    :param clock: a Clock
    :ivar on_stalled: function that is called when pooled connections are
        found to be stalled, with the event loop's time at which the probe
        began; connections idle since before it may be stalled
    """

    def __init__(self, probe, clock):
        self._probe = probe
        self._clock = clock
        self._up = asyncio.Event()
        self._up.set()
        self._down = asyncio.Event()
        self._stalled = asyncio.Event()
        self._recovered_at = None
        self._last_answered_at = clock.steady()
        self.on_stalled = None
        self._tasks = TaskSet()
        self._probe_task = None

    @property
    def up(self):
        """Return whether calls should be made: the store is not known down."""
        return self._up.is_set()

    @property
    def recovered_at(self):
        """Return the monotonic time at which the last outage ended.

        None if there was no outage so far.  A failed call alone is none: the
        probes after it must fail as well.
        """
        return self._recovered_at

    @property
    def last_answered_at(self):
        """Return the monotonic time when the last answered call was sent."""
        return self._last_answered_at

    @property
    def is_probing(self):
        """Return whether probes are running to find out if the store is up."""
        return self._probe_task is not None and not self._probe_task.done()

    def record_answer(self, sent_at):
        """Record that a call was answered.

        :param sent_at: monotonic time at which the call was sent; the store
            may have gone down since then
        """
        self._last_answered_at = max(self._last_answered_at, sent_at)

    def record_failure(self):
        """Record that a call failed, and probe whether the store is down."""
        self._start_probing(NEW_CONNECTION_DELAY)

    async def probe_when_idle(self):
        """Probe the store once it has answered no call for IDLE_LIMIT.

        Returns when the store has answered a probe.
        """
        while not self.is_probing:
            left = self._last_answered_at + IDLE_LIMIT - self._clock.steady()
            if left <= 0:
                self._start_probing(IDLE_NEW_CONNECTION_DELAY)
                break
            await asyncio.sleep(left)
        # The probes go on for other users if this wait is cancelled.
        await asyncio.wait({self._probe_task})

    async def confirm(self):
        """Probe the store once; a failure does not count as an outage."""
        if self.up:
            await self._send_probe(PROBE_TIMEOUT)

    def _start_probing(self, new_connection_delay):
        if not self.is_probing:
            self._probe_task = self._tasks.spawn(
                self._monitor(new_connection_delay)
            )

    async def wait_up(self):
        """Wait until the store is up."""
        while not self.up:
            # A loop that waits for an outage to end is not hung, so it keeps
            # sending heartbeats however long the outage lasts.
            beat()
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL):
                    await self._up.wait()

    async def wait_down(self):
        """Wait until the store is down."""
        await self._down.wait()

    async def wait_stalled(self):
        """Wait until pooled connections are found stalled; the store is up."""
        await self._stalled.wait()

    async def _monitor(self, new_connection_delay):
        """Probe the store until it answers, and track an outage.

        :param new_connection_delay: seconds until a new connection is
            tried as well
        """
        if await self._probe_pooled_then_new(new_connection_delay):
            return
        self._up.clear()
        self._down.set()
        lost_at = self._clock.steady()
        LOG.info("store_lost")
        await self._probe_until_up()
        self._recovered_at = self._clock.steady()
        self._down.clear()
        self._up.set()
        outage = self._recovered_at - lost_at
        LOG.info("store_back", after=round(outage, 3))

    async def _probe_pooled_then_new(self, new_connection_delay):
        """Return whether a first probe was answered.

        Probes on a pooled connection, then also on a new one if there is no
        answer by then.

        :param new_connection_delay: seconds until the probe on a new
            connection
        """
        started_at = asyncio.get_running_loop().time()
        new_timeout = FIRST_PROBE_TIMEOUT - NEW_CONNECTION_DELAY
        pooled = asyncio.ensure_future(
            self._send_probe(new_connection_delay + new_timeout)
        )
        done, _pending = await asyncio.wait(
            {pooled}, timeout=new_connection_delay
        )
        if done and pooled.result():
            return True
        new = asyncio.ensure_future(
            self._send_probe(new_timeout, new_connection=True)
        )
        try:
            await asyncio.wait(
                {pooled, new}, return_when=asyncio.FIRST_COMPLETED
            )
            if not pooled.done() and new.result():
                self._report_stalled(started_at)
                return True
            return await pooled or await new
        finally:
            pooled.cancel()
            new.cancel()

    def _report_stalled(self, idle_since):
        """Report that pooled connections may be stalled.

        :param idle_since: the event loop's time at which the probe began;
            connections idle since before it may be stalled
        """
        LOG.info("store_connections_silent")
        if self.on_stalled is not None:
            self.on_stalled(idle_since)
        self._stalled.set()
        self._stalled.clear()

    async def _probe_until_up(self):
        pending = set()
        try:
            while True:
                probe = self._send_probe(PROBE_TIMEOUT, new_connection=True)
                pending.add(asyncio.ensure_future(probe))
                deadline = self._clock.steady() + PROBE_INTERVAL
                done, pending = await asyncio.wait(
                    pending,
                    timeout=PROBE_INTERVAL,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(task.result() for task in done):
                    return
                await asyncio.sleep(deadline - self._clock.steady())
        finally:
            for task in pending:
                task.cancel()

    async def _send_probe(self, timeout, new_connection=False):
        """Return whether a probe was answered."""
        sent_at = self._clock.steady()
        try:
            async with asyncio.timeout(timeout):
                await self._probe(new_connection)
        except (StoreError, asyncio.TimeoutError):
            return False
        except Exception:
            # No other task would detect that the store is up again, so an
            # unexpected error must not end the probing.
            LOG.error("store_probe_failed", exc_info=True)
            return False
        self.record_answer(sent_at)
        return True
