"""Shares of the slack in the store, and loans between routers."""

import asyncio

import pytest

from rowanport.clock import ManualClock
from rowanport.errors import PeerError
from rowanport.errors import StoreConflict
from rowanport.errors import StoreUnavailable
from rowanport.gateway import retry_allowances
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.retry_allowances import RetryAllowances
from rowanport.gateway.retry_allowances import SHARES_KEY
from rowanport.incarnation import new_incarnation
from rowanport.membership import Membership
from rowanport.membership.members import LEAVING
from rowanport.membership.members import READY
from rowanport.retries.claim import RENEW_SECONDS
from rowanport.retries.claim import VALID_SECONDS
from rowanport.retries.permits import rest_seconds
from rowanport.schema.messages import Gossip
from rowanport.schema.messages import MemberEntry
from rowanport.store import Value

from .test_membership import membership_settings
from .test_silence import settings

SERVICE = "llm"
SLACK = 50
WINDOW = 10.0


class MemoryStore:
    """A store of one process.

    :ivar fault: "" or what becomes of writes: "down", or "lost" if they are
        carried out and not answered
    """

    def __init__(self):
        self.values = {}
        self.fault = ""
        self.writes = 0

    async def get_value(self, key, stale=False):
        """Return the Value of a key."""
        return self.values.get(key, Value(b"", 0))

    async def commit(self, writes):
        """Write all keys, or raise."""
        if self.fault == "down":
            raise StoreUnavailable("down")
        self.writes += 1
        (write,) = writes
        known = self.values.get(write.key, Value(b"", 0))
        if known.version != write.version:
            raise StoreConflict("changed", {write.key: known})
        self.values[write.key] = Value(write.data, known.version + 1)
        if self.fault == "lost":
            raise StoreUnavailable("no answer")
        return known.version + 1


class Routers:
    """Routers on given time that reach each other and one store."""

    def __init__(self, count):
        self.clock = ManualClock(1000.0)
        self.store = MemoryStore()
        self.names = [f"10.0.0.{n}:82" for n in range(1, count + 1)]
        self.silent = set()
        self.incarnations = {}
        self.members = {}
        self.parts = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start a router, or start it again."""
        self.incarnations[name] = new_incarnation("cell", name)
        self.members[name] = Membership(
            self.incarnations[name], "dc", membership_settings(), self.clock
        )
        self.members[name].set_state(READY)
        self.parts[name] = RetryAllowances(
            settings("10.0.0.1", ["10.0.0.1"]).gateway,
            self.incarnations[name],
            self.store,
            self,
            self.members[name],
            self.clock,
            GatewayMetrics(),
        )
        self.gossip()

    def gossip(self):
        """Let all routers know all others."""
        for members in self.members.values():
            members.merge(
                Gossip(
                    [
                        MemberEntry(one, "dc", int(self.clock.now), READY, 0)
                        for one in self.incarnations.values()
                    ]
                )
            )

    async def call(self, address, message, timeout):
        """Pass a message on, as a PeerClient does."""
        if address in self.silent:
            raise PeerError(f"{address} did not answer")
        return self.parts[address].lend(message)

    async def update(self, seconds=0.0):
        """Let time pass, and all routers do what is due."""
        self.clock.advance(seconds)
        self.gossip()
        for part in self.parts.values():
            task = asyncio.ensure_future(part.run())
            await asyncio.sleep(0.02)
            task.cancel()

    def shares(self):
        """Return the permits of all routers."""
        return [part.share for part in self.parts.values()]


def shares_test(count=3):
    """Return a decorator that passes Routers with shares to a test."""

    def decorate(body):
        def test(monkeypatch):
            monkeypatch.setattr(retry_allowances, "CLAIM_DELAY", 0.0)
            monkeypatch.setattr(retry_allowances, "CLAIM_SPREAD", 0.0)

            async def run():
                routers = Routers(count)
                await routers.update()
                await body(routers)

            asyncio.run(run())

        test.__name__ = body.__name__
        return test

    return decorate


@shares_test()
async def test_routers_share_the_whole_slack(routers):
    assert routers.shares() == [17, 17, 16]


@shares_test()
async def test_a_share_lapses_while_the_store_is_down(routers):
    routers.store.fault = "down"
    await routers.update(VALID_SECONDS - 1.0)
    assert sum(routers.shares()) == SLACK
    await routers.update(1.0)
    assert not any(routers.shares())
    routers.store.fault = ""
    await routers.update(1.0)
    assert sum(routers.shares()) == SLACK


@shares_test()
async def test_a_renewal_without_an_answer_does_not_prolong_a_share(routers):
    routers.store.fault = "lost"
    await routers.update(RENEW_SECONDS)
    await routers.update(VALID_SECONDS - RENEW_SECONDS)
    assert not any(routers.shares())


@shares_test()
async def test_a_router_that_starts_again_waits_for_a_window(routers):
    routers.start(routers.names[0])
    await routers.update(1.0)
    assert routers.shares()[0] == 0
    routers.clock.advance(rest_seconds(WINDOW))
    assert routers.shares()[0] == 17


@shares_test()
async def test_a_stopping_router_keeps_its_share_until_the_end(routers):
    routers.members[routers.names[0]].set_state(LEAVING)
    await routers.update(RENEW_SECONDS)
    assert routers.shares()[0] == 17


@shares_test()
async def test_an_unreadable_record_gives_nobody_a_share(routers):
    routers.store.values[SHARES_KEY] = Value(b"\x93\x01", 99)
    await routers.update(VALID_SECONDS)
    assert not any(routers.shares())


@shares_test()
async def test_waiting_retries_share_one_loan(routers):
    part = routers.parts[routers.names[0]]
    while part.try_acquire(SERVICE):
        pass
    sources = await asyncio.gather(*(part.acquire(SERVICE) for _n in range(4)))
    assert [source and source.value for source in sources] == ["borrowed"] * 4


@shares_test()
async def test_without_a_lender_a_retry_is_denied(routers):
    routers.silent = set(routers.names)
    part = routers.parts[routers.names[0]]
    while part.try_acquire(SERVICE):
        pass
    assert await part.acquire(SERVICE) is None


@pytest.mark.parametrize("count", [1, 60])
def test_routers_of_any_fleet_have_at_most_the_slack(count, monkeypatch):
    @shares_test(count)
    async def check(routers):
        assert sum(routers.shares()) == SLACK
        assert routers.store.writes <= 4 * count

    check(monkeypatch)
