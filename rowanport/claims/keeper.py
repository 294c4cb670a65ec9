"""Claims at their home router, and calls to it from entry routers."""

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
from .shard import ClaimQueue
from .shard import DONE
from .shard import new_claim_shard
from .shard import RELEASED

TICK = 0.01
IDLE_TICK = 0.5
STORE_RETRY_DELAY = 0.3
ANSWER_MARGIN = 0.3
END_TIMEOUT = 2.0
MAX_END_ATTEMPTS = 20


def claim_key(shard):
    """Return the store key of a claim shard."""
    return f"claims/{shard}"


class _ShardState:
    """One claim shard at this router.

    :ivar queue: its ClaimQueue
    :ivar record: the ClaimShardRecord as last read or written, None if it
        has to be read
    :ivar version: version of the record in the store
    :ivar next_write: wall time from which the next write may start
    :ivar task: task of the last write, or None
    """

    __slots__ = ("shard", "queue", "record", "version", "next_write", "task")

    def __init__(self, shard):
        self.shard = shard
        self.queue = ClaimQueue()
        self.record = None
        self.version = 0
        self.next_write = 0.0
        self.task = None


class ClaimKeeper:
    """Claims runs of requests, as an entry router and as home of shards.

    :param incarnation: incarnation of this router
    :param store: the Store
    :param peers: a PeerClient
    :param members: the Membership
    :param settings: ClaimSettings

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
        self._shards = {}
        self._answers = {}
        self._tasks = TaskSet()
        self._wake = asyncio.Event()

    # Entry router

    async def claim(self, call, run, upstream):
        """Claim a request for one run; return the Claimed answer.

        :param call: the Call
        :param run: id of the run to claim it for
        :param upstream: address of the upstream
        :raises RequestError: no claim could be written; the run must not
            start
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
                ErrorKind.CLAIM_UNAVAILABLE,
                f"home router of the claim failed: {error}",
            ) from None
        if isinstance(answer, Claimed):
            return answer
        self.end(call.request, run, RELEASED)
        detail = getattr(answer, "detail", "unexpected answer")
        raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, detail)

    def end(self, request, run, state=DONE):
        """Report in the background how a claimed run ended."""
        message = ClaimEnd(request, run, state)
        self._tasks.spawn(self._end(message))

    async def _end(self, message):
        for _try in range(MAX_END_ATTEMPTS):
            try:
                home = self._home(message.request)
                await self._send(home, message, END_TIMEOUT)
                return
            except PeerError:
                await asyncio.sleep(STORE_RETRY_DELAY)

    def _home(self, request):
        return self._members.home(self._shard(request), "claims")

    def _shard(self, request):
        return shard_of(request, self._settings.shards)

    async def _send(self, home, message, timeout):
        if home == self._incarnation:
            return await self.handle(message)
        return await self._peers.call(address_of(home), message, timeout)

    # Home router

    async def handle(self, message):
        """Answer a Claim or ClaimEnd."""
        state = self._shard_state(self._shard(message.request))
        self._wake.set()
        if isinstance(message, ClaimEnd):
            state.queue.end(message)
            return Ack()
        state.queue.claim(message)
        future = asyncio.get_running_loop().create_future()
        self._answers.setdefault(message.run, []).append(future)
        return await future

    def _shard_state(self, shard):
        return self._shards.setdefault(shard, _ShardState(shard))

    async def run(self):
        """Write queued claims until cancelled."""
        while True:
            now = self._clock.wall()
            states = list(self._shards.values())
            for state in states:
                self._write_if_due(state, now)
            self._wake.clear()
            dirty = any(state.queue.dirty for state in states)
            try:
                await asyncio.wait_for(
                    self._wake.wait(), TICK if dirty else IDLE_TICK
                )
            except asyncio.TimeoutError:
                pass

    def _write_if_due(self, state, now):
        for message, answer in state.queue.expire(now):
            state.queue.end(ClaimEnd(message.request, message.run, RELEASED))
            self._resolve(message, answer)
        if state.task is not None and not state.task.done():
            return
        if now < state.next_write or not state.queue.dirty:
            return
        if self._write_limiter.try_acquire(
            state.queue.waiting, self._clock.steady()
        ):
            state.next_write = now + self._settings.interval
            state.task = self._tasks.spawn(self._write(state))

    async def _write(self, state):
        try:
            if state.record is None:
                await self._read(state)
            while True:
                record = state.record.copy()
                answers = state.queue.apply(record, self._clock.wall())
                try:
                    state.version = await self._store.put(
                        claim_key(state.shard), record.pack(), state.version
                    )
                    break
                except StoreConflict:
                    await self._read(state)
        except StoreError:
            # The write may have taken effect: read before the next one.
            state.record = None
            state.next_write = self._clock.wall() + STORE_RETRY_DELAY
            return
        state.record = record
        state.queue.written()
        for message, answer in answers:
            self._resolve(message, answer)

    async def _read(self, state):
        value = await self._store.get(claim_key(state.shard))
        state.version = value.version
        state.record = (
            ClaimShardRecord.unpack(value.data)
            if value.version
            else new_claim_shard()
        )

    def _resolve(self, message, answer):
        for future in self._answers.pop(message.run, []):
            if not future.done():
                future.set_result(answer)

    async def stop(self, deadline):
        """Wait until the queues are written; return whether they were.

        :param deadline: wall time at which to stop waiting
        """
        while self._clock.wall() < deadline:
            if not any(state.queue.dirty for state in self._shards.values()):
                return True
            await asyncio.sleep(TICK)
        return False
