"""The claim home's shell, and the entry's calls to it."""

import asyncio

from ..errors import ErrorKind
from ..errors import PeerError
from ..errors import RequestError
from ..errors import StoreConflict
from ..errors import StoreError
from ..hashing import shard_of
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import Claim
from ..schema.messages import Claimed
from ..schema.messages import ClaimEnd
from ..schema.messages import ClaimShardRecord
from ..tasks import TaskSet
from .shard import ClaimShard
from .shard import DONE
from .shard import new_claim_shard
from .shard import RELEASED

TICK = 0.01
IDLE_TICK = 0.5
FAILED_PAUSE = 0.3
ANSWER_MARGIN = 0.3
END_TIMEOUT = 2.0
END_TRIES = 20


def claim_key(shard):
    """Return the store key of a claim shard."""
    return f"claims/{shard}"


class _Place:
    """One claim shard at this router and what is known of its record."""

    __slots__ = ("shard", "queue", "record", "version", "next_write", "task")

    def __init__(self, shard):
        self.shard = shard
        self.queue = ClaimShard()
        self.record = None
        self.version = 0
        self.next_write = 0.0
        self.task = None


class ClaimKeeper:
    """Claims requests, as home of some shards and as entry.

    :param write_limiter: the WriteLimiter of this router
    """

    def __init__(
        self,
        incarnation,
        store,
        peers,
        members,
        settings,
        write_limiter,
        clock,
    ):
        self._incarnation = incarnation
        self._store = store
        self._peers = peers
        self._members = members
        self._settings = settings
        self._write_limiter = write_limiter
        self._clock = clock
        self._places = {}
        self._answers = {}
        self._tasks = TaskSet()
        self._wake = asyncio.Event()

    # Entry

    async def claim(self, call, run, upstream):
        """Claim the one run of a request; return the Claimed answer.

        :param call: the Call
        :param run: id of the run that wants to be the one
        :raises RequestError: no claim could be written, and this run will
            never start
        """
        now = self._clock.wall()
        until = min(call.deadline, now + self._settings.wait)
        message = Claim(
            call.request,
            run,
            call.deadline + self._settings.memory,
            upstream,
            call.fingerprint,
            until,
        )
        home = self._home(call.request)
        try:
            answer = await self._send(
                home, message, until - now + ANSWER_MARGIN
            )
        except PeerError as error:
            self.end(call.request, run, RELEASED)
            raise RequestError(
                ErrorKind.CLAIM_UNAVAILABLE, f"no claim home: {error}"
            ) from None
        if isinstance(answer, Claimed):
            return answer
        self.end(call.request, run, RELEASED)
        detail = getattr(answer, "detail", "unexpected answer")
        raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, detail)

    def end(self, request, run, state=DONE):
        """Say how a claimed run ended, in the background."""
        message = ClaimEnd(request, run, state)
        self._tasks.spawn(self._end(message))

    async def _end(self, message):
        for _try in range(END_TRIES):
            try:
                home = self._home(message.request)
                await self._send(home, message, END_TIMEOUT)
                return
            except PeerError:
                await asyncio.sleep(FAILED_PAUSE)

    def _home(self, request):
        return self._members.home(self._shard(request), "claims")

    def _shard(self, request):
        return shard_of(request, self._settings.shards)

    async def _send(self, home, message, timeout):
        if home == self._incarnation:
            return await self.handle(message)
        return await self._peers.call(address_of(home), message, timeout)

    # Home

    async def handle(self, message):
        """Answer a Claim or ClaimEnd."""
        place = self._place(self._shard(message.request))
        self._wake.set()
        if isinstance(message, ClaimEnd):
            place.queue.end(message)
            return Ack()
        place.queue.claim(message)
        future = asyncio.get_running_loop().create_future()
        self._answers.setdefault(message.run, []).append(future)
        return await future

    def _place(self, shard):
        return self._places.setdefault(shard, _Place(shard))

    async def run(self):
        """Write queued claims until cancelled."""
        while True:
            now = self._clock.wall()
            places = list(self._places.values())
            for place in places:
                self._step(place, now)
            self._wake.clear()
            dirty = any(place.queue.dirty for place in places)
            try:
                await asyncio.wait_for(
                    self._wake.wait(), TICK if dirty else IDLE_TICK
                )
            except asyncio.TimeoutError:
                pass

    def _step(self, place, now):
        for message, answer in place.queue.expire(now):
            place.queue.end(ClaimEnd(message.request, message.run, RELEASED))
            self._finish(message, answer)
        if place.task is not None and not place.task.done():
            return
        if now < place.next_write or not place.queue.dirty:
            return
        if self._write_limiter.try_acquire(
            place.queue.waiting, self._clock.steady()
        ):
            place.next_write = now + self._settings.interval
            place.task = self._tasks.spawn(self._write(place))

    async def _write(self, place):
        try:
            if place.record is None:
                await self._read(place)
            while True:
                record = place.record.copy()
                answers = place.queue.apply(record, self._clock.wall())
                try:
                    place.version = await self._store.put(
                        claim_key(place.shard), record.pack(), place.version
                    )
                    break
                except StoreConflict:
                    await self._read(place)
        except StoreError:
            # A write may have taken effect: read before the next one.
            place.record = None
            place.next_write = self._clock.wall() + FAILED_PAUSE
            return
        place.record = record
        place.queue.written()
        for message, answer in answers:
            self._finish(message, answer)

    async def _read(self, place):
        value = await self._store.get(claim_key(place.shard))
        place.version = value.version
        place.record = (
            ClaimShardRecord.unpack(value.data)
            if value.version
            else new_claim_shard()
        )

    def _finish(self, message, answer):
        for future in self._answers.pop(message.run, []):
            if not future.done():
                future.set_result(answer)

    async def stop(self, deadline):
        """Write what is queued; return whether all was in time."""
        while self._clock.wall() < deadline:
            if not any(place.queue.dirty for place in self._places.values()):
                return True
            await asyncio.sleep(TICK)
        return False
