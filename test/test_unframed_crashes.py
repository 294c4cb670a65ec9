"""Requests that crash upstreams whose answers have no length.

The half answer of an upstream that a request crashed ended as a whole one
does, and cleared the request.
"""

import asyncio
import functools
from test.crash_world import crash_test
from test.crash_world import CrashingUpstream
from test.crash_world import CrashWorld
from test.crash_world import LETHAL
from test.platform_world import ID_HEADER
from test.test_crashing_requests import MOST_CRASHES
from unittest import mock

import pytest

from rowanport.ends import EndCheck
from rowanport.ends import Reason
from rowanport.standins.upstream import is_health_check

PATHS = ("/once/", "/safe/", "/stream/")
# Requests in series, and the seconds between them.
COUNT = 10
PAUSE = 0.5
# Seconds after a request at which its caller leaves, behind the crash.
LEAVE_SECONDS = 0.06


class UnframedUpstream(CrashingUpstream):
    """A CrashingUpstream whose answers end with their connections.

    A lethal request gets one half of its answer before the crash.
    """

    async def _answer(self, connection, writer, request, body):
        if is_health_check(request):
            await super()._answer(connection, writer, request, body)
            return
        loop = asyncio.get_running_loop()
        self.runs.append((loop.time(), body))
        names = {n.decode(): v.decode() for n, v in request.headers}
        self._note_run(connection, names)
        fields = [*self._head(names), ("connection", "close")]
        parts = [b"one half of ", b"an answer"]
        if "x-rowanport-token-count" in names:
            fields.append(("content-type", "text/event-stream"))
            first = int(names.get("last-event-id", 0)) + 1
            parts = [
                f"id: {n}\ndata: {names[ID_HEADER]}\n\n".encode()
                for n in (first, first + 1)
            ]
        rows = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields)]
        writer.write("\r\n".join([*rows, "", ""]).encode())
        writer.write(parts[0])
        await asyncio.sleep(0.05)
        if body in self.lethal:
            self.crash()
            return
        writer.write(parts[1])
        writer.close()

    def crash(self):
        """Crash; the kernel ends all connections in order."""
        for writer in list(self._writers):
            writer.close()
        super().crash()


class UnframedWorld(CrashWorld):
    """A CrashWorld with UnframedUpstreams."""

    def _new_upstream(self, name):
        return UnframedUpstream(name, self.lethal)


unframed_test = functools.partial(crash_test, UnframedWorld)


async def statuses(world, path):
    """Return the statuses of a lethal request at all routers."""
    return {
        await world.ask("x", LETHAL, path=path, host=host)
        for host in list(world.gateways)
    }


async def repeat(world, path, count=COUNT):
    """Send a lethal request again and again, beside sound ones."""
    others = world.spawn(
        world.ask_many(10 * count, PAUSE / 10, "other", path="/once/")
    )
    tasks = await world.ask_many(
        count, PAUSE, "lethal", body=LETHAL, path=path
    )
    await asyncio.gather(*tasks, *await others)


@pytest.mark.parametrize("path", PATHS)
def test_a_lethal_request_without_lengths_is_blocked(path):
    # Guards against a request that goes on to crash upstreams, as half of an
    # answer clears it each time; and against sound ones that are blamed.
    @unframed_test()
    async def run(world):
        await repeat(world, path)
        assert 3 <= len(world.crashes) <= MOST_CRASHES
        assert await statuses(world, path) == {400}
        assert world.outcomes["other", 400] == 0
        blocked = {
            fingerprint
            for gateway in world.gateways.values()
            for fingerprint in gateway.crashes.table.blocked
        }
        assert len(blocked) == 1

    run()


def test_half_answers_that_look_whole_clear_a_lethal_request():
    # Guards against a test above that would pass without the check.
    async def trust(_check, _answer, _source):
        return Reason.NEW_CONNECTION

    @unframed_test()
    async def run(world):
        await repeat(world, "/once/")
        assert len(world.crashes) > MOST_CRASHES
        assert 400 not in await statuses(world, "/once/")

    with mock.patch.object(EndCheck, "confirm", trust):
        run()


@unframed_test()
async def test_sound_requests_beside_crashes_are_not_blocked(world):
    # Guards against requests that are blamed for crashes that others cause,
    # as their answers have no length.
    others = world.spawn(world.ask_many(400, 0.02, "innocent", path="/safe/"))
    for _crash in range(4):
        await asyncio.sleep(1.8)
        world.crash_busiest()
    await asyncio.gather(*await others)
    assert len(world.crashes) == 4
    assert world.outcomes == {("innocent", 200): 400}
    for gateway in world.gateways.values():
        assert not gateway.crashes.table.blocked


@unframed_test()
async def test_a_lethal_request_whose_callers_leave_early_is_blocked(world):
    # Guards against crashes that count for nobody, as the caller leaves while
    # the end of the half answer is confirmed.
    async def ask_briefly(number):
        asking = world.spawn(world.ask(f"l{number}", LETHAL, path="/once/"))
        await asyncio.sleep(LEAVE_SECONDS)
        asking.cancel()

    for number in range(COUNT):
        await ask_briefly(number)
        await asyncio.sleep(PAUSE)
    assert 3 <= len(world.crashes) <= MOST_CRASHES
    assert await statuses(world, "/once/") == {400}
