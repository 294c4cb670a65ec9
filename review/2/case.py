"""Three of twelve runners crash at once, twice, as all run the same request.

Many callers of one tenant send the same request (a digest that everybody asks
for); each runner works on some of them.
"""

import asyncio
import pathlib
import signal

import fleet as fleets
from fleet import config
from fleet import route
from fleet import ZONES

RUNNERS = 12
# A quarter of them, as on the site's standard days.
CRASHES = 3
# A stream of 114 events in 8 s (200 are the most of its kind), and requests
# for it a second in each zone.
HOT = "/brief/today?events=114&gap=70"
HOT_BODY = b"label today's waveform"
HOT_RATE = 1.5
# Streams of half a second, each of another request.
OTHER = "/brief/other?events=10&gap=50"
OTHER_RATE = 5.0
DOWN = 4.5
TIMES = 2
PAUSE = 6.0
SECONDS = 45.0


def fields(prompt):
    return {
        "X_Rowanport_Model": "m",
        "X_Rowanport_Token_Count": "900,200",
        "X_Rowanport_Prompt_Prefix": prompt,
        "X_Rowanport_Deadline_Ms": "15000",
    }


async def call_hot(caller, router, until):
    """Send the request that all callers have in common."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < until:
        sending = caller.send(
            router, "POST", HOT, HOT_BODY, **fields("70da4:900")
        )
        tasks.append(asyncio.ensure_future(sending))
        await asyncio.sleep(1 / HOT_RATE)
    await asyncio.gather(*tasks)


async def call_others(caller, router, until):
    """Send requests that are all different."""
    loop = asyncio.get_running_loop()
    tasks = []
    number = 0
    while loop.time() < until:
        number += 1
        own = f"{router.name.replace('front-', 'a')}{number:05x}"
        sending = caller.send(
            router, "POST", OTHER, own.encode(), **fields(f"{own}:900")
        )
        tasks.append(asyncio.ensure_future(sending))
        await asyncio.sleep(1 / OTHER_RATE)
    await asyncio.gather(*tasks)


async def play(fleet):
    for zone in ZONES:
        fleet.add_router(zone)
    for number in range(RUNNERS):
        fleet.add_runner("llm", ZONES[number % 3])
    routes = [
        route(
            "/brief/",
            "streaming",
            "llm",
            timeout_ms=15000,
            stream_resume=True,
            gap_aim_ms=400,
        )
    ]
    await fleet.start(config(routes, ["llm"], prepaid=10**11))
    await asyncio.sleep(5)
    caller = fleets.Caller(fleet)
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    calls = []
    for router in fleet.routers:
        for call in (call_hot, call_others):
            sending = call(caller, router, until)
            calls.append(asyncio.ensure_future(sending))
    await asyncio.sleep(10)
    for _time in range(TIMES if fleets.TROUBLE else 0):
        counts = fleet.at_work(HOT)
        victims = sorted(counts, key=counts.get, reverse=True)[:CRASHES]
        print("at work on it:", list(counts.values()))
        for runner in victims:
            runner.process.signal(signal.SIGKILL)
        fleet.write("runners crash", runners=[one.id for one in victims])
        await asyncio.sleep(DOWN)
        for runner in victims:
            runner.process.kill()
        await asyncio.gather(*(one.start() for one in victims))
        fleet.write("the runners are back")
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*calls)
    for router in fleet.routers:
        for event in ("request_blocked", "request_unblocked"):
            for row in router.lines(event)[:6]:
                print(router.name, row)
    own = [
        one
        for one in caller.answers
        if 300 <= one.status < 500
        and one.status not in (408, 421, 429)
        and "x-rowanport-server-stamp" not in one.fields
    ]
    statuses = {}
    for one in caller.answers:
        key = one.target.partition("?")[0], one.status, one.whole
        statuses[key] = statuses.get(key, 0) + 1
    print(statuses)
    bound = 5 + len(caller.answers) / 500
    print(
        f"{len(caller.answers)} requests, {len(own)} ended with a 4xx of the "
        f"fleet's own; bound {bound:.1f}"
    )
    return fleets.BROKEN if len(own) > bound else fleets.HELD


fleets.run(pathlib.Path(__file__).parent, play)
