"""A part of a prompt that crashes upstreams is blocked, and no other part.

No two requests are alike, so nothing but the part is common to the crashes.
"""

import asyncio
import collections
from test.crash_world import crash_test
from test.crash_world import CrashingUpstream
from test.crash_world import CrashWorld
from test.crash_world import LETHAL
from test.crash_world import PREFIX_HEADER
from unittest import mock

from rowanport.schema.messages import BlockedAsk
from rowanport.suspects import trials

# Seconds after the fifth crash until all routers have to block the part, and
# until sound requests begin again at the first attempt.
CONTACT_SECONDS = 3.0
RECOVERY_SECONDS = 2 * CONTACT_SECONDS
CRASHES_ALLOWED = 5
MOST_LATE_SENDS = 3
# Share of the sound requests that begin at the first attempt, relative to the
# share in undisturbed times.
SOUND_SHARE = 0.5
BAD_PART = "bad"
SHARED_PART = "shared"
WARM_UP_SECONDS = 4.0
BAD_SECONDS = 24.0
SOUND_RATE = 20.0
BAD_RATE = 2.5


def parts_of(names):
    """Return the ids of a prompt's parts before the last one."""
    listed = names.get(PREFIX_HEADER, "").split(",")[:-1]
    return {part.partition(":")[0] for part in listed}


class PartCrashingUpstream(CrashingUpstream):
    """An upstream that crashes as it begins to answer on a bad part.

    :ivar arrivals: (loop time, parts of the prompt) of all requests
    """

    def __init__(self, name, bad, lethal):
        super().__init__(name, lethal)
        self._bad = bad
        self.arrivals = []

    def _next_behaviour(self, names):
        now = asyncio.get_running_loop().time()
        parts = parts_of(names)
        self.arrivals.append((now, parts))
        return "crash" if parts & self._bad else "ok"


class PartWorld(CrashWorld):
    """A CrashWorld whose upstreams crash under requests with a bad part.

    :ivar bad: ids of the bad parts
    :ivar first_tries: (loop time, status) of sound requests
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.lethal = set()
        self.bad = {BAD_PART}
        self.first_tries = []
        self._names = 0

    def _new_upstream(self, name):
        return PartCrashingUpstream(name, self.bad, self.lethal)

    def crash_times(self, part):
        """Return the times of the crashes under a part."""
        return [
            crash.at
            for crash in self.crashes
            if any(part in parts for _at, parts in crash.upstream.arrivals)
        ]

    def late_sends(self, part):
        """Return when a part was sent although it had to be blocked."""
        crashes = self.crash_times(part)
        if len(crashes) < CRASHES_ALLOWED:
            return []
        known_at = crashes[CRASHES_ALLOWED - 1] + CONTACT_SECONDS
        everyone = [*self._crashed, *self.upstreams.values()]
        return sorted(
            at
            for one in everyone
            for at, parts in one.arrivals
            if part in parts and at > known_at
        )

    async def ask_part(self, kind, parts, host=None):
        """Send a request unlike all others; return its status."""
        self._names += 1
        name = f"{kind}{self._names}"
        at = self.now
        status = await self.ask(name, name.encode(), host=host, parts=parts)
        if kind == "bad" and status in (502, "cut"):
            # Callers repeat what failed.
            status = await self.ask(name, name.encode(), parts=parts)
        self.outcomes[kind, status] += 1
        if kind == "sound":
            self.first_tries.append((at, status))
        return status

    async def ask_steadily(self, kind, rate, seconds, choose):
        """Send requests at a rate; return the tasks.

        :param choose: function that returns the parts of each
        """
        tasks = []
        for _number in range(int(rate * seconds)):
            tasks.append(self.spawn(self.ask_part(kind, choose())))
            await asyncio.sleep(1 / rate)
        return tasks

    def served_share(self, since, until):
        """Return the share of sound requests served at the first try."""
        tries = [
            status for at, status in self.first_tries if since <= at < until
        ]
        return tries.count(200) / max(1, len(tries))


async def run_bad_day(
    world,
    choose_bad,
    choose_sound,
    seconds=BAD_SECONDS,
    warm_up=WARM_UP_SECONDS,
):
    """Send sound requests, and after a while bad ones beside them.

    :returns: (time of the first bad request, of the last one)
    """
    total = warm_up + seconds
    sound = world.spawn(
        world.ask_steadily("sound", SOUND_RATE, total, choose_sound)
    )
    await asyncio.sleep(warm_up)
    begun = world.now
    bad = world.spawn(world.ask_steadily("bad", BAD_RATE, seconds, choose_bad))
    for tasks in (await sound, await bad):
        await asyncio.gather(*tasks)
    return begun, begun + seconds


def check_day(world, begun, ended):
    """Check that bad parts were blocked, and that sound requests recovered."""
    late = {part: len(world.late_sends(part)) for part in world.bad}
    assert all(count <= MOST_LATE_SENDS for count in late.values()), late
    crashes = collections.Counter(
        {part: len(world.crash_times(part)) for part in world.bad}
    )
    last = max(at for part in world.bad for at in world.crash_times(part))
    before = world.served_share(0.0, begun)
    after = world.served_share(last + RECOVERY_SECONDS, ended)
    assert after >= SOUND_SHARE * before, (before, after, crashes)


@crash_test(PartWorld, upstreams=8)
async def test_a_bad_part_behind_a_shared_one_is_blocked(world):
    times = await run_bad_day(
        world,
        lambda: (SHARED_PART, BAD_PART),
        lambda: (SHARED_PART,),
    )
    check_day(world, *times)


@crash_test(PartWorld, upstreams=8)
async def test_a_bad_part_before_a_shared_one_is_blocked(world):
    times = await run_bad_day(
        world,
        lambda: (BAD_PART, SHARED_PART),
        lambda: ("usual", SHARED_PART),
    )
    check_day(world, *times)


@crash_test(PartWorld, upstreams=8)
async def test_two_bad_parts_are_blocked_while_routers_are_killed(world):
    world.bad.add("bad2")

    def choose_bad():
        return world.random.choice(
            [(SHARED_PART, BAD_PART), ("bad2", SHARED_PART)]
        )

    async def kill_some():
        for host in (*world.hosts, *world.hosts):
            await asyncio.sleep(2.9)
            await world.kill_router(host)
            await asyncio.sleep(0.4)
            await world.start_router(host)

    killing = world.spawn(kill_some())
    times = await run_bad_day(
        world, choose_bad, lambda: (SHARED_PART,), seconds=30.0
    )
    await killing
    check_day(world, *times)


# Crashes that no part caused


def crash_some(world, count):
    """Crash some upstreams at once, whatever they run."""
    for upstream in list(world.upstreams.values())[:count]:
        upstream.crash()


async def ask_beside_crashes(world, seconds, first, pause, waves, count):
    """Send sound requests while upstreams crash; check that none is blocked.

    :param seconds: for which requests are sent
    :param first: seconds until the first crashes
    :param pause: seconds between two waves of crashes
    :param waves: number of waves
    :param count: number of upstreams that crash at once
    """
    tasks = world.spawn(
        world.ask_steadily(
            "sound", SOUND_RATE, seconds, lambda: (SHARED_PART,)
        )
    )
    await asyncio.sleep(first)
    for _wave in range(waves):
        crash_some(world, count)
        await asyncio.sleep(pause)
    await asyncio.gather(*await tasks)
    assert not world.outcomes["sound", 400], world.outcomes


@crash_test(PartWorld, upstreams=8)
async def test_crashes_of_many_upstreams_at_once_block_no_part(world):
    await ask_beside_crashes(
        world, seconds=34.0, first=WARM_UP_SECONDS, pause=4.0, waves=6, count=5
    )
    assert world.outcomes["sound", 200] >= 0.9 * 680, world.outcomes


@crash_test(PartWorld, upstreams=8)
async def test_crashes_before_the_first_answer_block_no_part(world):
    # Nobody knows yet that the part is sound: all upstreams crash .6 s after
    # they are back, before a stream has ended.
    begun = world.now
    await ask_beside_crashes(
        world, seconds=30.0, first=0.6, pause=3.6, waves=6, count=8
    )
    served_from = begun + 0.6 + 5 * 3.6 + RECOVERY_SECONDS
    assert not world.served_share(begun, begun + 18.0)
    assert world.served_share(served_from, world.now) >= 0.9, world.outcomes


@crash_test(PartWorld, upstreams=8)
async def test_a_new_part_is_served_while_its_streams_bring_events(world):
    # Guards against a part that waits for its first whole answer, as single
    # upstreams crash under long streams with it.
    for upstream in world.upstreams.values():
        upstream.pause = 0.4
    asking = world.spawn(
        world.ask_steadily("sound", SOUND_RATE, 6.0, lambda: (SHARED_PART,))
    )
    await asyncio.sleep(1.6)
    for _crash in range(3):
        world.crash_busiest()
        await asyncio.sleep(0.5)
    await asyncio.gather(*await asking)
    assert not world.outcomes["sound", 400], world.outcomes
    assert world.outcomes["sound", 200] >= 0.95 * 120, world.outcomes


@crash_test(PartWorld, upstreams=8)
async def test_a_shared_part_is_not_blamed_before_its_first_answer(world):
    # The first requests of all are bad ones, and only crashes are known.
    _begun, ended = await run_bad_day(
        world,
        lambda: (SHARED_PART, BAD_PART),
        lambda: (SHARED_PART,),
        warm_up=0.0,
    )
    late = world.late_sends(BAD_PART)
    assert len(late) <= MOST_LATE_SENDS, late
    last = max(world.crash_times(BAD_PART))
    assert world.served_share(last + RECOVERY_SECONDS, ended) >= 0.9


@crash_test(PartWorld, upstreams=8)
async def test_single_crashes_block_no_part_that_gets_answers(world):
    await ask_beside_crashes(
        world, seconds=20.0, first=1.5, pause=1.5, waves=12, count=1
    )
    assert world.outcomes["sound", 200] >= 0.9 * 400, world.outcomes


@crash_test(PartWorld, upstreams=8)
async def test_a_crashing_request_does_not_block_its_parts(world):
    # It alone has the part when it crashes three upstreams.
    world.lethal.add(LETHAL)
    for _number in range(6):
        await world.ask(f"lethal{_number}", LETHAL, parts=("rare",))
        await asyncio.sleep(0.5)
    assert len(world.crashes) <= 4
    assert await world.ask("lethal", LETHAL, parts=("rare",)) == 400
    assert await world.ask_part("sound", ("rare",)) == 200


# What is blocked stays blocked, and is freed


async def block_part(world):
    """Send requests with the bad part until it is blocked."""
    await world.ask_part("sound", (SHARED_PART,))
    for _number in range(8):
        await world.ask_part("bad", (SHARED_PART, BAD_PART))
        await asyncio.sleep(0.4)
    assert await statuses(world) == {400}


async def statuses(world):
    """Return the statuses of requests with the bad part at all routers."""
    return {
        await world.ask_part("bad", (SHARED_PART, BAD_PART), host=host)
        for host in list(world.gateways)
    }


@crash_test(PartWorld)
async def test_a_restarted_fleet_blocks_known_parts(world):
    await block_part(world)
    await asyncio.sleep(1.0)
    crashed = len(world.crashes)
    await world.restart_routers()
    await asyncio.sleep(2.0)
    assert await statuses(world) == {400}
    assert len(world.crashes) == crashed


@crash_test(PartWorld)
async def test_a_blocked_part_is_tried_twice_at_most(world):
    await block_part(world)
    crashed = len(world.crashes)
    with mock.patch.object(trials, "TRIAL_DELAYS", (5.0, 10.0)):
        for _start in range(3):
            bad = await world.ask_steadily(
                "bad", 2.0, 15.0, lambda: (SHARED_PART, BAD_PART)
            )
            await asyncio.gather(*bad)
            # Routers that start lose what they remember.
            await world.restart_routers()
            await asyncio.sleep(2.0)
    assert len(world.crashes) == crashed + 2


@crash_test(PartWorld)
async def test_a_part_is_freed_once_upstreams_are_mended(world):
    await block_part(world)
    world.bad.clear()
    assert await statuses(world) == {400}
    for _number in range(30):
        await asyncio.sleep(5.0)
        await world.ask_part("bad", (SHARED_PART, BAD_PART))
    assert await statuses(world) == {200}
    await world.restart_routers()
    await asyncio.sleep(2.0)
    assert await statuses(world) == {200}


@crash_test(PartWorld)
async def test_an_operator_frees_a_part(world):
    await block_part(world)
    world.bad.clear()
    gateway = world.gateways[world.hosts[0]]
    listed = gateway.crashes.answer_operator(BlockedAsk([]))
    (row,) = [row for row in listed.rows if row.fingerprint < 0]
    assert not gateway.crashes.answer_operator(
        BlockedAsk([row.fingerprint])
    ).rows
    await asyncio.sleep(0.5)
    assert await statuses(world) == {200}
    await world.restart_routers()
    await asyncio.sleep(2.0)
    assert await statuses(world) == {200}
