"""What callers still get of their answers when a process ends.

A router ended with the last bytes of an answer in its own memory.  A job
counts as done when the whole answer has been handed to the connection, of
which up to 64 KB may still wait for a slow caller; nobody waited for them.  A
caller that read on 2 s after the signal, with 2 s of the grace left, got
12,288 of 51,211 bytes, and 6,144 where its next requests lay unread.

The tests run on real sockets and real processes: a network in memory delivers
what was written, whatever becomes of its sender.
"""

import asyncio
import socket
from test.platform_world import Platform
from test.process_world import GatewayProcess
from test.process_world import LOCAL
from test.process_world import request_of
from test.process_world import SlowCaller

import pytest

from bench.ports import free_ports
from rowanport.web import HttpServer
from rowanport.web.server import HttpLimits

# More than a small socket buffer takes, and less than a writer is held for.
ANSWER = bytes(range(256)) * 200
BODY_LIMIT = 100000
# Seconds that a slow caller pauses: a stop without it would be over.
PAUSE = 0.8
# Seconds that a server waits for what is in hand.
GRACE = 10.0


def run_with_server(body, answer=ANSWER, closing=False):
    """Run a coroutine function with a server and its port.

    Sockets of the server take a few KB, as on a slow link.
    """

    async def handle(_request, responder):
        responder.closing = closing
        await responder.reply(200, answer)

    async def run():
        server = HttpServer(handle, limits=HttpLimits(body=BODY_LIMIT))
        port = free_ports(1)[0]
        await server.start(LOCAL, port)
        for listener in server._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        try:
            await body(server, port)
        finally:
            await server.close()

    asyncio.run(run())


async def caller_of(port, *requests):
    """Return a caller that has sent requests and read one piece."""
    caller = SlowCaller()
    await caller.open(port)
    for request in requests:
        await caller.send(request)
    await caller.read()
    return caller


def check_whole(caller, answer=ANSWER):
    assert len(caller.body) == len(answer)
    assert caller.body == answer


@pytest.mark.parametrize("closing", (False, True))
def test_an_answer_that_is_not_out_is_waited_for(closing):
    # With closing the connection ends with its answer; without it is kept,
    # and was dropped as idle.
    async def body(server, port):
        caller = await caller_of(port, request_of("slow"))
        server.drain()
        finishing = asyncio.ensure_future(server.finish(GRACE))
        await asyncio.sleep(PAUSE)
        assert server.busy == 1
        assert not finishing.done()
        reading = asyncio.ensure_future(caller.read_rest())
        await finishing
        assert server.busy == 0
        await reading
        check_whole(caller)
        caller.close()

    run_with_server(body, closing=closing)


def test_an_answer_that_nobody_reads_holds_no_stop_beyond_its_time():
    async def body(server, port):
        caller = await caller_of(port, request_of("stuck"))
        async with asyncio.timeout(GRACE):
            await server.finish(PAUSE)
        assert server.busy == 1
        caller.close()

    run_with_server(body)


def test_a_caller_that_has_gone_holds_no_stop():
    async def body(server, port):
        caller = await caller_of(port, request_of("gone"))
        caller.close()
        async with asyncio.timeout(GRACE / 2):
            await server.finish(GRACE)
        assert server.busy == 0

    run_with_server(body)


def test_bytes_that_come_late_do_not_cost_the_answer_before():
    # What happened: the server closed with bytes unread, the kernel reset
    # the connection and dropped what it still held of the answer.
    async def body(_server, port):
        caller = await caller_of(port, request_of("first"))
        await caller.push(request_of("second"), 10)
        await caller.read_rest(1024, 0.001)
        check_whole(caller)
        caller.close()

    run_with_server(body, closing=True)


def test_a_caller_that_is_still_sending_gets_its_refusal():
    # What happened: a body over the limit was refused and the connection
    # closed with the rest of it unread; the caller got a reset instead.
    async def body(_server, port):
        reader, writer = await asyncio.open_connection(LOCAL, port)
        writer.write(request_of("large", size=10 * BODY_LIMIT))
        for _time in range(10):
            writer.write(bytes(BODY_LIMIT))
            await writer.drain()
            await asyncio.sleep(0.02)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 413 ")
        writer.close()

    run_with_server(body)


# A real process


def run_with_process(directory, body):
    """Run a coroutine function with a GatewayProcess that is ready."""

    async def run():
        async with GatewayProcess(directory) as process:
            await process.start_on_full_link()
            await body(process)

    asyncio.run(run())


def is_done(process, name):
    """Return whether the router takes a request for answered."""
    return process.row("request", request=name, outcome="done")


def test_a_process_ends_when_its_answers_are_out(tmp_path):
    async def body(process):
        caller = await caller_of(process.callers, request_of("r1", ANSWER))
        await process.wait(lambda: is_done(process, "r1"))
        process.stop()
        await asyncio.sleep(2.0)
        await caller.read_rest()
        check_whole(caller, b"body of r1 " + ANSWER)
        assert await process.end() == 0
        caller.close()

    run_with_process(tmp_path, body)


def test_requests_behind_the_last_one_do_not_cost_its_answer(tmp_path):
    # What happened: the caller's next requests lay unread as the process
    # ended, and the kernel dropped what it still held of the answer.
    async def body(process):
        caller = SlowCaller()
        await caller.open(process.callers)
        process.stop()
        await process.wait(lambda: process.row("gateway_stopping"))
        await caller.send(request_of("r1", ANSWER))
        await process.wait(lambda: is_done(process, "r1"))
        await caller.read()
        assert "connection: close" in caller.head
        await caller.push(request_of("r2"), 40)
        await caller.read_rest(1024, 0.001)
        check_whole(caller, b"body of r1 " + ANSWER)
        assert await process.end() == 0
        caller.close()

    run_with_process(tmp_path, body)


# Faults of the stop itself


@pytest.mark.parametrize("failing", (1, 2))
def test_a_failed_hand_over_ends_no_answer(failing):
    # What happened: an error in passing tokens on, as the division by zero
    # with no holder left was one, ended the stop and with it the process,
    # whatever it had in hand.
    async def run():
        async with Platform() as platform:
            calls = []

            async def hand_over():
                calls.append(failing)
                if len(calls) == failing:
                    raise ZeroDivisionError

            platform.gateway.budgets.hand_off = hand_over
            for upstream in platform.upstreams:
                upstream.pause = 0.2
            answer = await platform.stream("/stream/")
            await platform.gateway.stop()
            assert (await answer.read()).count(b"data: r1") == 6
            assert len(calls) == 2
            assert platform.gateway.stopping.cut == 0

    asyncio.run(run())
