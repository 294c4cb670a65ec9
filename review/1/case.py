"""A router that relays for another one is killed in the middle of answers."""

import asyncio
import pathlib
import signal

import fleet as fleets
from fleet import config
from fleet import route
from fleet import ZONES
from proxy import Proxy

ROUTERS = 7
# An answer without a length, whose second half comes 3 s after its first one.
PLAIN = "/index/map?body=60000&halves=3000&plain=1"
SIZE = 60000
# A stream without a length: an event in each tenth of a second for 4 s.
STREAM = "/digest/today?events=40&gap=100&plain=1"
EVENTS = 40
USUAL = "/index/{}?ms=60"
SHORT = "/digest/short?events=2&gap=10"
TOKENS = {
    "X_Rowanport_Model": "m",
    "X_Rowanport_Token_Count": "100,40",
    "X_Rowanport_Prompt_Prefix": "aa:60,bb:40",
}


async def start(fleet):
    """Start seven routers, and six runners behind proxies."""
    for number in range(ROUTERS):
        fleet.add_router(ZONES[number % 3])
    proxies = []
    for number in range(6):
        service = "portal" if number < 3 else "llm"
        runner = fleet.add_runner(service, ZONES[number % 3])
        ip, _, port = runner.address.rpartition(":")
        proxy = Proxy(fleet, (ip, int(port)))
        own = ip.replace(".2.", ".3.", 1)
        await proxy.start(own, int(port))
        runner.listed = f"{own}:{port}"
        proxies.append(proxy)
    routes = [
        route("/index/", "idempotent", "portal"),
        route(
            "/digest/",
            "streaming",
            "llm",
            timeout_ms=12000,
            max_attempts=1,
        ),
    ]
    await fleet.start(config(routes, ["portal", "llm"]))
    await asyncio.sleep(5)
    return proxies


def relay_of(name, proxies):
    """Return the router that passed a request on to a runner."""
    for proxy in proxies:
        if name in proxy.users:
            return proxy.users[name]
    return None


def broken(answer):
    """Return what is wrong with an answer that looks complete, or None."""
    if answer.status != 200 or not answer.whole:
        return None
    if answer.target == PLAIN and len(answer.body) != SIZE:
        return f"MIXED: {len(answer.body)} of {SIZE} bytes as a whole answer"
    if answer.target == STREAM:
        events = answer.body.count(b"\n\n")
        if events != EVENTS:
            return f"ORDER: {events} of {EVENTS} events as a whole stream"
    return None


async def play(fleet):
    proxies = await start(fleet)
    caller = fleets.Caller(fleet)
    cut = fleet.routers[0]
    for number in range(6):
        await caller.send(cut, "GET", USUAL.format(number))
    if fleets.TROUBLE:
        for proxy in proxies:
            proxy.begin_cut(cut)
        fleet.write("a router is cut off from the runners", router=cut.name)
        # The router finds out by its usual requests.
        for number in range(10):
            await caller.send(cut, "GET", USUAL.format(f"after-{number}"))
            await caller.send(cut, "POST", SHORT, **TOKENS)
            await asyncio.sleep(0.1)
    asks = [
        asyncio.ensure_future(caller.send(cut, "GET", PLAIN))
        for _number in range(4)
    ]
    asks += [
        asyncio.ensure_future(caller.send(cut, "POST", STREAM, **TOKENS))
        for _number in range(4)
    ]
    await asyncio.sleep(1.5)
    names = [f"{number:08x}" for number in range(1, caller.count + 1)][-8:]
    relays = {name: relay_of(name, proxies) for name in names}
    print("sent on by:", {k: v and v.name for k, v in relays.items()})
    if fleets.TROUBLE:
        others = [one for one in relays.values() if one not in (None, cut)]
        if not others:
            return fleets.UNABLE
        victim = max(set(others), key=others.count)
        victim.process.signal(signal.SIGKILL)
        fleet.write("a router is killed", router=victim.name)
        print("killed:", victim.name)
    await asyncio.gather(*asks)
    found = [(one.id, broken(one)) for one in caller.answers]
    found = [(name, what) for name, what in found if what]
    for name, what in found:
        print(name, what)
    print(f"{len(caller.answers)} requests, {len(found)} of them wrong")
    return fleets.BROKEN if found else fleets.HELD


fleets.run(pathlib.Path(__file__).parent, play)
