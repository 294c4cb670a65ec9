"""Simulation of upstreams that say in answers to leave or to back off."""

import asyncio
import collections
from test.crash_world import CrashingUpstream
from test.crash_world import CrashWorld
from test.virtual_net import HOST

from rowanport.standins.upstream import ID_HEADER
from rowanport.standins.upstream import is_health_check

# Seconds after an upstream has told a router that it leaves from which on no
# new request of that router may reach it.
DRAIN_SECONDS = 2.0
# Seconds after a refusal in which what is under way may arrive, and requests
# that may arrive in the rest of the time that the upstream asked for.
GRACE_SECONDS = 0.5
MOST_IN_BACKOFF = 2


class Arrival:
    """A request or a question that reached an upstream.

    :ivar at: loop time
    :ivar router: host of the router that sent it
    :ivar name: id of the request, "" for a question
    """

    __slots__ = ("at", "router", "name")

    def __init__(self, at, router, name):
        self.at = at
        self.router = router
        self.name = name


class AskedBackoff:
    """A time for which an upstream wants no requests of a router.

    :ivar at: loop time of the refusal
    :ivar router: host of the router
    :ivar until: loop time of its end
    """

    __slots__ = ("at", "router", "until")

    def __init__(self, at, router, until):
        self.at = at
        self.router = router
        self.until = until


class SayingUpstream(CrashingUpstream):
    """An upstream that says that it leaves, or to back off.

    :ivar refusing: whether it turns all requests away
    :ivar born: when it started, None if its entry does not tell
    :ivar arrivals: the Arrivals
    :ivar told_at: loop time of the first answer that says that it leaves, by
        router
    :ivar backoffs: the AskedBackoffs, by the refusals that named them
    """

    def __init__(self, name, lethal):
        super().__init__(name, lethal)
        self.refusing = False
        self.born = None
        self.arrivals = []
        self.told_at = {}
        self.backoffs = []

    def entry(self, service="feed", state="ready"):
        entry = super().entry(service, state)
        return entry if self.born is None else {**entry, "born": self.born}

    async def _answer(self, connection, writer, request, body):
        router = writer.get_extra_info("peername")[0]
        names = {n.decode(): v.decode() for n, v in request.headers}
        now = asyncio.get_running_loop().time()
        name = "" if is_health_check(request) else names.get(ID_HEADER, "")
        self.arrivals.append(Arrival(now, router, name))
        if self.leaving_text == "1":
            self.told_at.setdefault(router, now)
        names["router"] = router
        self._senders = {**getattr(self, "_senders", {}), connection: router}
        try:
            await super()._answer(connection, writer, request, body)
        finally:
            self._senders.pop(connection, None)

    def _next_behaviour(self, names):
        return "full" if self.refusing else super()._next_behaviour(names)

    async def _do_full(self, connection, writer, names, body):
        if self.backoff_text is not None:
            self._note_backoff(self._senders[connection])
        await super()._do_full(connection, writer, names, body)

    def _note_backoff(self, router):
        now = asyncio.get_running_loop().time()
        try:
            seconds = float(self.backoff_text)
        except ValueError:
            return
        self.backoffs.append(AskedBackoff(now, router, now + seconds))

    def late_arrivals(self, asked_at):
        """Return the Arrivals of requests after the upstream said it leaves.

        :param asked_at: loop time by name of the request at which its caller
            sent it
        """
        return [
            arrival
            for arrival in self.arrivals
            if arrival.router in self.told_at
            and asked_at.get(arrival.name, 0.0)
            > self.told_at[arrival.router] + DRAIN_SECONDS
        ]

    def broken_backoffs(self):
        """Return the AskedBackoffs in which too much arrived."""
        broken = []
        for backoff in self.backoffs:
            count = sum(
                arrival.router == backoff.router
                and backoff.at + GRACE_SECONDS < arrival.at < backoff.until
                for arrival in self.arrivals
            )
            if count > MOST_IN_BACKOFF:
                broken.append(backoff)
        return broken


class NoticeWorld(CrashWorld):
    """Routers, and upstreams whose answers say something of themselves.

    :ivar asked_at: loop time by name of the request at which it was sent
    :ivar answered_at: the same of the end of its answer
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.asked_at = {}
        self.answered_at = {}

    def _new_upstream(self, name):
        return SayingUpstream(name, self.lethal)

    async def start_run(self, address, name, born=1000000):
        """Start the next run of an upstream under its name; return it.

        :param born: when it started, None if its entry does not tell
        """
        HOST.set(address)
        upstream = self._new_upstream(name)
        upstream.born = born
        await upstream.start_at(address, 80)
        self.upstreams[address] = upstream
        await self.store.put(f"servers/{name}", upstream.entry())
        HOST.set("caller")
        return upstream

    async def ask(self, name, body, path="/stream/", **options):
        self.asked_at[name] = self.now
        try:
            return await super().ask(name, body, path, **options)
        finally:
            self.answered_at[name] = self.now

    def some(self, count):
        """Return some upstreams."""
        return list(self.upstreams.values())[:count]

    def late(self):
        """Return all Arrivals at upstreams that had said that they leave."""
        return [
            arrival
            for upstream in self.upstreams.values()
            for arrival in upstream.late_arrivals(self.asked_at)
        ]

    def broken_backoffs(self):
        """Return the broken AskedBackoffs, and the number of all."""
        upstreams = list(self.upstreams.values())
        broken = [
            backoff for u in upstreams for backoff in u.broken_backoffs()
        ]
        return broken, sum(len(u.backoffs) for u in upstreams)

    def statuses(self, kind):
        """Return the number of requests of a kind by outcome."""
        return collections.Counter(
            {
                outcome: count
                for (name, outcome), count in self.outcomes.items()
                if name == kind
            }
        )

    async def ask_mixed(self, seconds, rate=50, kind="mixed"):
        """Ask for streams and plain answers at a rate, and wait for all."""
        paths = ("/stream/", "/safe/", "/once/")
        tasks = []
        for number in range(int(rate * seconds)):
            path = paths[number % len(paths)]
            name = f"{kind}{number}"
            tasks.append(self.spawn(self._count(kind, name, path=path)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
