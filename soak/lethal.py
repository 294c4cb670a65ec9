"""Callers whose requests crash whatever runs them."""

import asyncio

from .caller import Caller
from .router import now
from .shapes import Ask
from .shapes import USUAL
from .upstream import BAD_PART
from .upstream import LETHAL

ORGANISATION = "ample"
# Mean seconds between two of its requests, and for which it waits for one.
PAUSE = 0.3
PATIENCE = 2.0


class LethalCaller(Caller):
    """Sends one request again and again, at any router.

    :param world: the World
    :param number: tells its request from others
    :cvar ask: its kind of request
    """

    ask = Ask("/safe/", True, False, True, PATIENCE)

    def __init__(self, world, number):
        super().__init__(
            world.history,
            world.balance,
            f"lethal{number}-{len(world.history.requests)}",
            ORGANISATION,
            f"key-of-{ORGANISATION}",
            PAUSE,
            USUAL,
            world.seed,
        )
        self._path = f"/safe/{LETHAL}-{number}"
        self._keeps = False

    async def run(self, until):
        """Ask until a steady time."""
        while now() < until:
            await self._attempt(self.ask, now() + PATIENCE)
            self._drop()
            await asyncio.sleep(self._random.expovariate(1 / self._pause))

    def _request(self, ask, until, before=None):
        request = super()._request(ask, until, before)
        request.path = self._path
        return request

    def _body(self, ask, request, ahead):
        return b"the same each time"

    def _comes_back(self, ask, request, retry_after, left):
        return False

    def _compare(self, ask, request, headers, answer, body):
        """Expect nothing: it is never answered by an upstream."""


class BadPartCaller(LethalCaller):
    """Sends requests that share one part, no two alike, at any router."""

    ask = Ask("/stream/", True, True, True, PATIENCE)

    def __init__(self, world, number):
        super().__init__(world, number)
        self._part = f"{BAD_PART}{number}"

    def _request(self, ask, until, before=None):
        request = Caller._request(self, ask, until, before)
        request.path = f"{ask.path}{self._part}-{request.id}"
        return request

    def _body(self, ask, request, ahead):
        return request.id.encode()

    def _parts(self, request):
        shared, _, own = super()._parts(request).partition(",")
        parts = [shared, f"{self._part}:10"]
        self._random.shuffle(parts)
        return ",".join([*parts, own])
