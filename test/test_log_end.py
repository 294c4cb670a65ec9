"""What becomes of a process whose log nobody reads any more.

Cause, found by reading: only a reader that is slow was expected.  One that is
gone, or a full disk, made each log line an error: requests were dropped for
the line that says how they ended, and a stop ended, with all that was in
hand, at its first line.  A process that ended also left out the lines that
still waited, among them the one that says what the stop cut.
"""

import asyncio
import concurrent.futures
import os
from test.process_world import GatewayProcess
from test.process_world import request_of
from test.process_world import SlowCaller

import pytest

from rowanport.logs import BoundedWriter

# More than a pipe takes.
LINES = 1000
LINE = "x" * 300


@pytest.fixture
def pipe():
    """Return the ends of a pipe; whoever closes one sets it to None."""
    ends = list(os.pipe())
    yield ends
    for end in ends:
        if end is not None:
            os.close(end)


def read_all(source):
    """Return what a pipe holds until its other end is closed."""
    pieces = []
    while piece := os.read(source, 65536):
        pieces.append(piece)
    return b"".join(pieces)


def test_a_reader_that_is_gone_is_no_error(pipe):
    writer = BoundedWriter(pipe[1])
    writer.msg("first")
    os.close(pipe[0])
    pipe[0] = None
    for _number in range(LINES):
        writer.msg(LINE)
    assert writer.dropped == LINES


def test_lines_that_wait_are_written_at_the_end(pipe):
    writer = BoundedWriter(pipe[1])
    for _number in range(LINES):
        writer.msg(LINE)

    with concurrent.futures.ThreadPoolExecutor() as pool:
        reading = pool.submit(read_all, pipe[0])
        try:
            writer.finish(10.0)
        finally:
            os.close(pipe[1])
            pipe[1] = None
    assert reading.result() == f"{LINE}\n".encode() * LINES
    assert writer.dropped == 0


def test_the_end_does_not_wait_for_a_reader_that_hangs(pipe):
    writer = BoundedWriter(pipe[1])
    for _number in range(LINES):
        writer.msg(LINE)
    writer.finish(0.1)
    assert 0 < writer.dropped < LINES


def test_a_process_serves_and_stops_without_a_reader_of_its_log(tmp_path):
    async def run():
        async with GatewayProcess(tmp_path) as process:
            await process.start()
            await process.wait(lambda: process.row("gateway_ready"))
            process.close_log()
            for name in ("r1", "r2"):
                for upstream in process.upstreams:
                    upstream.script = ["late"]
                    upstream.heads.clear()
                caller = SlowCaller()
                await caller.open(process.callers)
                await caller.send(request_of(name, b"question"))
                await process.wait(
                    lambda: any(u.heads for u in process.upstreams)
                )
                if name == "r2":
                    process.stop()
                # Until the answer is whole: a kept connection stays open.
                while not caller.body.endswith(b"question"):
                    assert await caller.read()
                assert caller.body == f"body of {name} question".encode()
                caller.close()
            assert await process.end() == 0

    asyncio.run(run())
