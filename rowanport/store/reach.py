"""Whether the store can be reached, found out by few cheap calls.

Each user of a store that is away would try it again and again, and each call
has a price.  Here one probe speaks for all of them: a call that fails begins
it, and while it fails too, other calls are not made at all.

Kept connections may go silent for good while new ones work.  So a probe on a
kept connection that is not answered soon is followed by one on a new
connection, and if that one is answered first, the kept ones are given up.

A watch waits through an outage, and its user may call nothing else meanwhile.
So one who has to know of each outage lets the store be probed when it has
answered nothing for a while.
"""

import asyncio
import contextlib

import structlog

from ..errors import StoreError
from ..supervision import beat
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

# Seconds for the first answer to a probe after a call failed: a store that is
# only slow answers by then.
FIRST_TIMEOUT = 0.5
# Seconds after which a first probe that is not answered is followed by one on
# a new connection.
FRESH_AFTER = 0.1
# Seconds without an answer after which the store is probed for one who has to
# know of each outage.  Entries of upstreams lapse 2.4 s after its begin at the
# earliest (two heartbeats of 1.2 s); it is known 1.8 s after it at the latest.
IDLE_LIMIT = 1.1
# The same as FRESH_AFTER where no call has failed: a store that is only slow
# is not to be asked twice, nor its kept connections taken for silent.
IDLE_FRESH_AFTER = 0.3
# Seconds between two probes; those of a store that is silent overlap.
INTERVAL = 0.3
# Seconds for the answer to each of them.
TIMEOUT = 1.0
# Seconds between two beats of a loop that waits for the end of an outage.
BEAT_PAUSE = 1.0


class Reach:
    """What is known of one store's availability.

    :param probe: coroutine function, a cheap call that raises StoreError; it
        is told whether to use a new connection
    :param clock: a Clock
    :ivar on_silence: function that is told when kept connections turned out
        silent: the event loop's time before which they were opened
    """

    def __init__(self, probe, clock):
        self._probe = probe
        self._clock = clock
        self._up = asyncio.Event()
        self._up.set()
        self._down = asyncio.Event()
        self._silence = asyncio.Event()
        self._back_at = None
        self._heard_at = clock.steady()
        self.on_silence = None
        self._tasks = TaskSet()
        self._prober = None

    @property
    def up(self):
        """Return whether calls are worth making."""
        return self._up.is_set()

    @property
    def back_at(self):
        """Return the steady time at which a lost store was found back.

        None while it was never lost; a call that failed is no loss.
        """
        return self._back_at

    @property
    def heard_at(self):
        """Return when the newest call was sent that the store answered."""
        return self._heard_at

    @property
    def in_doubt(self):
        """Return whether a probe is yet to tell if the store is there."""
        return self._prober is not None and not self._prober.done()

    def note_answer(self, sent_at):
        """Note that a call was answered.

        :param sent_at: steady time at which it was sent; the store may be
            away since then
        """
        self._heard_at = max(self._heard_at, sent_at)

    def note_failure(self):
        """Note that a call failed; find out whether others would, too."""
        self._begin_probing(FRESH_AFTER)

    async def probe_when_idle(self):
        """Wait until the store has answered nothing for long; probe it.

        Returns once the store is known to be there.
        """
        while not self.in_doubt:
            left = self._heard_at + IDLE_LIMIT - self._clock.steady()
            if left <= 0:
                self._begin_probing(IDLE_FRESH_AFTER)
                break
            await asyncio.sleep(left)
        # It goes on for others if this wait is cancelled.
        await asyncio.wait({self._prober})

    async def confirm(self):
        """Call the store once; whatever comes of it, it is not given up."""
        if self.up:
            await self._try(TIMEOUT)

    def _begin_probing(self, fresh_after):
        if not self.in_doubt:
            self._prober = self._tasks.spawn(self._watch(fresh_after))

    async def wait_up(self):
        """Wait until calls are worth making."""
        while not self.up:
            # An outage of any length is no hang of who waits for its end.
            beat()
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(BEAT_PAUSE):
                    await self._up.wait()

    async def wait_down(self):
        """Wait until calls are not worth making."""
        await self._down.wait()

    async def wait_silence(self):
        """Wait until kept connections turn out silent; the store is there."""
        await self._silence.wait()

    async def _watch(self, fresh_after):
        """Probe the store until it answers.

        :param fresh_after: seconds until a new connection is tried, too
        """
        if await self._try_both(fresh_after):
            return
        self._up.clear()
        self._down.set()
        lost_at = self._clock.steady()
        LOG.info("store_lost")
        await self._probe_until_back()
        self._back_at = self._clock.steady()
        self._down.clear()
        self._up.set()
        away = self._back_at - lost_at
        LOG.info("store_back", after=round(away, 3))

    async def _try_both(self, fresh_after):
        """Return whether a first probe was answered, of two if need be."""
        begun_at = asyncio.get_running_loop().time()
        fresh_timeout = FIRST_TIMEOUT - FRESH_AFTER
        kept = asyncio.ensure_future(self._try(fresh_after + fresh_timeout))
        done, _pending = await asyncio.wait({kept}, timeout=fresh_after)
        if done and kept.result():
            return True
        fresh = asyncio.ensure_future(self._try(fresh_timeout, fresh=True))
        try:
            await asyncio.wait(
                {kept, fresh}, return_when=asyncio.FIRST_COMPLETED
            )
            if not kept.done() and fresh.result():
                self._note_silence(begun_at)
                return True
            return await kept or await fresh
        finally:
            kept.cancel()
            fresh.cancel()

    def _note_silence(self, opened_before):
        """Let all know that connections opened before a time are silent."""
        LOG.info("store_connections_silent")
        if self.on_silence is not None:
            self.on_silence(opened_before)
        self._silence.set()
        self._silence.clear()

    async def _probe_until_back(self):
        pending = set()
        try:
            while True:
                probe = self._try(TIMEOUT, fresh=True)
                pending.add(asyncio.ensure_future(probe))
                deadline = self._clock.steady() + INTERVAL
                done, pending = await asyncio.wait(
                    pending,
                    timeout=INTERVAL,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(task.result() for task in done):
                    return
                await asyncio.sleep(deadline - self._clock.steady())
        finally:
            for task in pending:
                task.cancel()

    async def _try(self, timeout, fresh=False):
        """Return whether a probe was answered."""
        sent_at = self._clock.steady()
        try:
            async with asyncio.timeout(timeout):
                await self._probe(fresh)
        except (StoreError, asyncio.TimeoutError):
            return False
        except Exception:
            # Nobody else would ever find out that the store is back.
            LOG.error("store_probe_failed", exc_info=True)
            return False
        self.note_answer(sent_at)
        return True
