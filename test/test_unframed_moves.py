"""Runs whose streams have no length move to other engines.

An engine that is told to stop a run closes its stream without its end, which
for a stream without a length looks like its end, at an engine that lives.
"""

import asyncio
import functools
from test.crash_world import crash_test
from test.migration_world import EVENTS
from test.migration_world import MEMORY
from test.migration_world import MigrationWorld
from test.migration_world import PAUSE
from test.test_migrations import ALL
from test.test_migrations import begin
from test.test_migrations import leave

from rowanport.platform.words import DIALECT
from rowanport.standins.copying_engine import CopyingEngine


class UnframedEngine(CopyingEngine):
    """A CopyingEngine whose streams end with their connections.

    :ivar lose_answers: whether the answer to a stop gets lost
    """

    lose_answers = False

    async def _stream(self, connection, writer, names, last, torn=b""):
        fields = [
            *self._head(names, content_type="text/event-stream"),
            ("connection", "close"),
        ]
        rows = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields)]
        writer.write("\r\n".join([*rows, "", ""]).encode())
        request = names[DIALECT.request_id]
        for number in range(int(names.get("last-event-id", 0)) + 1, last + 1):
            data = f"{request} {self.version}"
            writer.write(f"id: {number}\ndata: {data}\n\n".encode())
            await self._rest(connection, writer)
        writer.close()

    def _stop(self, span):
        writer = self._streams[span]
        # The kernel ends the connection in order.
        writer.transport.abort = writer.close
        super()._stop(span)

    def _move(self, value):
        answer = super()._move(value)
        if value["last"] and self.lose_answers:
            raise ConnectionResetError
        return answer

    def kill(self):
        """End all connections as the kernel does for a killed process."""
        for writer in list(self._writers):
            writer.abort = writer.close
        self.crash()


class UnframedWorld(MigrationWorld):
    """A MigrationWorld with UnframedEngines."""

    def _new_upstream(self, name):
        engine = UnframedEngine(name, self._links, EVENTS, MEMORY)
        engine.pause = PAUSE
        self.engines.append(engine)
        return engine


unframed_test = functools.partial(crash_test, UnframedWorld)
move_test = functools.partial(unframed_test, feature="moves")


def record_settlements(world):
    """Return the list of (budget, reserved, used) that are settled."""
    settled = []
    budgets = world.gateways[world.hosts[0]].budgets
    settle = budgets.settle

    def record(budget, reserved, used, *more):
        settled.append((budget, reserved, used))
        settle(budget, reserved, used, *more)

    budgets.settle = record
    return settled


@move_test()
async def test_a_stream_that_a_move_stops_is_not_whole_at_its_source(world):
    # Guards against half a stream that ends as complete, as its engine lives
    # behind the end.
    settled = record_settlements(world)
    task = await begin(world, events=2)
    source = world.engine_of("r1")
    await leave(world, source, 0.5)
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert [value["last"] for value in source.moves] == [False, True]
    assert world.engine_of("r1") is not source
    assert world.overlaps() == set()
    # Guards against a run that is paid for at both engines.
    assert settled == [("org", 124, 124)]


@move_test()
async def test_a_stream_that_a_move_stops_without_an_answer_is_not_whole(
    world,
):
    # Guards against half a stream that ends as complete, as the answer of its
    # engine to the stop got lost.
    task = await begin(world, events=2)
    source = world.engine_of("r1")
    source.lose_answers = True
    await leave(world, source, 1.0)
    stream = await task
    assert not stream.whole or stream.events == ALL
    assert world.overlaps() == set()


@move_test()
async def test_a_stream_that_ends_before_its_stop_is_whole(world):
    # Guards against a whole stream that counts as stopped, as its move was
    # under way when it ended.
    task = await begin(world, events=2)
    source = world.engine_of("r1")
    # The run ends by itself while its engine has not read the stop.
    delays = iter((0.0, 0.8))

    async def answer_late(connection, writer, request, body):
        if request.target.decode() == DIALECT.move_path:
            await asyncio.sleep(next(delays))
        await UnframedEngine._answer(source, connection, writer, request, body)

    source._answer = answer_late
    source.leaves_at = world.now + 0.5
    entry = source.entry(state="draining")
    await world.store.put(f"servers/{source.name}", entry)
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert [one["last"] for one in source.moves] == [False, True]
    assert len([span for span in world.spans if span.id == "r1"]) == 1


@unframed_test()
async def test_a_run_at_a_killed_engine_goes_on_where_its_copy_is(world):
    # Guards against a stream that ends as complete after half of its events,
    # though a copy of its run exists, and against a budget that pays twice.
    settled = record_settlements(world)
    task = await begin(world)
    source, target = world.engine_of("r1"), world.backup_of("r1")
    source.kill()
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert world.engine_of("r1") is target
    assert world.overlaps() == set()
    assert settled == [("org", 124, 124)]


@unframed_test()
async def test_a_run_that_ends_at_its_engine_is_not_resumed(world):
    # Guards against a whole stream that goes on at the engine of its copy.
    stream = await world.spawn(world.read("r1"))
    assert (stream.whole, stream.events) == (True, ALL)
    assert len([span for span in world.spans if span.id == "r1"]) == 1
