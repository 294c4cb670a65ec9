"""Signals that come when a process is not at its ordinary work.

Four runs of the soak ended with ``r2 ended by itself with -1``, a SIGHUP some
20 ms before and no log line of that life: the handlers were installed by the
running loop, 0.4 s after the start, most of which goes into imports.  The
loop takes its handlers away as it closes, so that a signal at the very end
was an end by that signal too.
"""

import asyncio
import signal
from test.process_world import GatewayProcess
from test.process_world import PATIENCE
from test.process_world import request_of
from test.process_world import SlowCaller
import time

import pytest

from bench.fleet import Fleet

# Starts the program, which gets a signal in the middle of its imports.
LAUNCH = """
import os
import runpy
import sys


class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == "structlog":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), {number})


sys.meta_path.insert(0, Sender())
runpy.run_module("rowanport.platform", run_name="__main__")
"""
SEED = "127.0.0.9:1"
# Seconds between two signals of a series.
PAUSE = 0.003


def run_with_process(directory, body):
    """Run a coroutine function with a GatewayProcess."""

    async def run():
        async with GatewayProcess(directory) as process:
            await body(process)

    asyncio.run(run())


async def ask(process, name):
    """Send a request that is answered 0.3 s later; return its caller."""
    for upstream in process.upstreams:
        upstream.script = ["late"]
    caller = SlowCaller()
    await caller.open(process.callers)
    await caller.send(request_of(name, b"question"))
    await process.wait(lambda: any(u.heads for u in process.upstreams))
    return caller


def check_answered(caller, name):
    assert caller.head.startswith("http/1.1 200 ")
    assert caller.body == f"body of {name} question".encode()


def test_a_reload_during_the_start_is_heard(tmp_path):
    async def body(process):
        await process.start("-c", LAUNCH.format(number=int(signal.SIGHUP)))
        await process.wait(lambda: process.row("gateway_ready"))
        assert process.row("settings_reloaded")
        process.stop()
        assert await process.end() == 0

    run_with_process(tmp_path, body)


@pytest.mark.parametrize("number", (signal.SIGTERM, signal.SIGINT))
def test_a_stop_during_the_start_ends_it_at_once(tmp_path, number):
    async def body(process):
        await process.start("-c", LAUNCH.format(number=int(number)))
        assert await process.end() == 0
        assert (process.rows, process.other_lines) == ([], [])

    run_with_process(tmp_path, body)


def test_a_reload_while_it_runs_is_heard(tmp_path):
    async def body(process):
        await process.start()
        await process.wait(lambda: process.row("gateway_ready"))
        process.write_settings([SEED])
        process.signal(signal.SIGHUP)
        await process.wait(
            lambda: process.row("settings_reloaded", seeds=f"['{SEED}']")
        )
        process.stop()
        assert await process.end() == 0

    run_with_process(tmp_path, body)


def test_signals_during_a_stop_cost_no_answer(tmp_path):
    async def body(process):
        await process.start()
        await process.wait(lambda: process.row("gateway_ready"))
        caller = await ask(process, "r1")
        process.stop()
        await process.wait(lambda: process.row("gateway_stopping"))
        process.signal(signal.SIGHUP)
        process.stop()
        await process.wait(lambda: process.row("settings_reloaded"))
        await caller.read_rest()
        check_answered(caller, "r1")
        late = await ask(process, "r2")
        process.stop()
        await late.read_rest()
        check_answered(late, "r2")
        assert await process.end() == 0
        assert process.row("gateway_stopped", busy="0", cut="0")

    run_with_process(tmp_path, body)


def test_signals_up_to_the_very_end_are_no_end_by_a_signal(tmp_path):
    async def body(process):
        await process.start()
        await process.wait(lambda: process.row("gateway_ready"))
        ending = asyncio.ensure_future(process.end())
        while not ending.done():
            for number in (signal.SIGTERM, signal.SIGHUP):
                if process.process.returncode is None:
                    process.signal(number)
            await asyncio.sleep(PAUSE)
        assert await ending == 0

    run_with_process(tmp_path, body)


# The own interface


@pytest.fixture
def router():
    with Fleet(routers=1, engines=1, services=1, data_centres=("n",)) as fleet:
        yield fleet.routers[0], fleet.path / f"{fleet.routers[0].name}.log"


async def wait_for_line(log, text):
    """Wait until a log has a line with some text."""
    async with asyncio.timeout(PATIENCE):
        while text not in log.read_text():
            await asyncio.sleep(0.05)


def test_a_hang_up_stops_the_own_router_in_order(router):
    # What happened: SIGHUP, as a terminal sends it when it closes, ended the
    # process with all its streams.
    process, log = router
    asyncio.run(wait_for_line(log, "router_started"))
    process.signal(signal.SIGHUP)
    assert process.wait() == 0
    assert "router_stopped" in log.read_text()


def test_signals_up_to_the_very_end_are_no_end_of_the_own_router(router):
    process, log = router
    asyncio.run(wait_for_line(log, "router_started"))
    while process.alive:
        process.signal(signal.SIGTERM)
        process.signal(signal.SIGHUP)
        time.sleep(PAUSE)
    assert process.wait() == 0
    assert "router_stopped" in log.read_text()
