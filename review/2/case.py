"""All runners of a plain service crash, and are back 4.5 s later; twice more.

One such crash is enough for the fault if each runner then works on the same
lookup and the routers reach their verdicts by their own links.
"""

import asyncio
import pathlib
import signal
import time

import fleet as fleets
from fleet import config
from fleet import route
from fleet import ZONES

# A lookup that many dashboards make; each takes 300 ms of work.
HOT = "/index/today?ms=300"
HOT_PAUSE = 0.1
# Other lookups of the same route, each of another thing.
OTHER = "/index/{}?ms=60"
OTHER_PAUSE = 0.15
DOWN = 4.5
CRASHES = 3
PAUSE = 5.0
SECONDS = 40.0


async def call_all(caller, router, until):
    """Send the callers' requests of one zone."""
    loop = asyncio.get_running_loop()
    number = 0
    tasks = []
    next_hot = next_other = loop.time()
    while loop.time() < until:
        now = loop.time()
        if now >= next_hot:
            next_hot += HOT_PAUSE
            tasks.append(
                asyncio.ensure_future(caller.send(router, "GET", HOT))
            )
        if now >= next_other:
            next_other += OTHER_PAUSE
            number += 1
            target = OTHER.format(f"{router.name}-{number}")
            tasks.append(
                asyncio.ensure_future(caller.send(router, "GET", target))
            )
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


async def play(fleet):
    for zone in ZONES:
        fleet.add_router(zone)
        fleet.add_runner("portal", zone)
    routes = [route("/index/", "idempotent", "portal", timeout_ms=800)]
    await fleet.start(config(routes, ["portal"]))
    await asyncio.sleep(4)
    caller = fleets.Caller(fleet)
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    calls = [
        asyncio.ensure_future(call_all(caller, router, until))
        for router in fleet.routers
    ]
    await asyncio.sleep(6)
    for _crash in range(CRASHES if fleets.TROUBLE else 0):
        for runner in fleet.runners:
            runner.process.signal(signal.SIGKILL)
        for runner in fleet.runners:
            runner.process.kill()
        fleet.write("all runners crash")
        await asyncio.sleep(DOWN)
        await asyncio.gather(*(one.start() for one in fleet.runners))
        fleet.write("all runners are back")
        await asyncio.sleep(PAUSE)
    back_at = time.time() - PAUSE
    await asyncio.gather(*calls)
    for router in fleet.routers:
        for event in ("request_blocked", "upstream_crashed"):
            for row in router.lines(event)[:6]:
                print(router.name, row)
    own = [
        one
        for one in caller.answers
        if 300 <= one.status < 500
        and one.status not in (408, 421, 429)
        and "x-rowanport-server-stamp" not in one.fields
    ]
    late = [one for one in own if one.sent_at > back_at + 4]
    bound = 5 + len(caller.answers) / 500
    served = sum(one.status == 200 for one in caller.answers)
    print(
        f"{len(caller.answers)} requests, {served} served, {len(own)} ended "
        f"with a 4xx of the fleet's own ({len(late)} of these sent 4 s or "
        f"more after the runners were back); bound {bound:.1f}"
    )
    return fleets.BROKEN if len(own) > bound else fleets.HELD


fleets.run(pathlib.Path(__file__).parent, play)
