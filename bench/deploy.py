"""Set up organisations, budgets, policy and upstreams of a test fleet."""

import asyncio
import collections

from rowanport import keys
from rowanport.clock import SystemClock
from rowanport.config import ConfigEditor
from rowanport.config.editor import put_group
from rowanport.config.editor import put_organisation
from rowanport.config.editor import put_policy
from rowanport.config.editor import put_upstream
from rowanport.ledger.editor import BudgetEditor
from rowanport.schema.messages import GroupRecord
from rowanport.schema.messages import OrganisationRecord
from rowanport.schema.messages import PolicyRecord
from rowanport.schema.messages import UpstreamRecord
from rowanport.store import KeyValueStore

MODEL = "forecast"
SERVICE = "portal"
BYTES_PER_TOKEN = 4.0
POLICY = """{
  "run": true,
  "group": request.group,
  "priority": request.kind == "bulletin" ? 0
    : request.kind == "label" ? 1
    : request.kind == "advisory" ? 2
    : request.kind == "digest" ? 3 : 5
}"""
SHARDS = 16


class Deployment:
    """The configuration of a test fleet, written by the library itself.

    :param fleet: the Fleet
    :param shards: number of ledger shards
    """

    def __init__(self, fleet, shards=SHARDS):
        self._fleet = fleet
        clock = SystemClock()
        store = KeyValueStore(fleet.http, fleet.platform.address, "bench", 2.0)
        self.config = ConfigEditor(store, "bench", clock)
        self.budgets = BudgetEditor(store, shards, "bench", clock)
        self.keys = {}
        self._changes = 0

    async def apply(self, make):
        """Publish a change."""
        self._changes += 1
        return await self.config.apply(f"bench-{self._changes}", make)

    async def set_up(self, budgets, capacity=16):
        """Create everything.

        :param budgets: tokens by budget, as ORGANISATION/BUDGET
        :returns: the configuration version
        """
        for organisation in dict.fromkeys(
            name.partition("/")[0] for name in budgets
        ):
            await self.add_organisation(organisation)
        model = GroupRecord(MODEL, "engine", 0, 64, BYTES_PER_TOKEN)
        await self.apply(put_group(model))
        await self.apply(put_group(GroupRecord(SERVICE, "service", 0, 1, 1.0)))
        for engine in self._fleet.engines:
            record = UpstreamRecord(engine.address, MODEL, "", capacity, False)
            await self.apply(put_upstream(record))
        for service in self._fleet.services:
            record = UpstreamRecord(service.address, SERVICE, "", 64, False)
            await self.apply(put_upstream(record))
        version = await self.apply(put_policy(PolicyRecord(POLICY, [])))
        for name, tokens in budgets.items():
            await self.budgets.create(f"bench-{name}", name, tokens)
        return version

    async def add_organisation(self, name):
        """Create an organisation, keep its key, return the version."""
        key = keys.new_key(name)
        salt = keys.new_salt()
        record = OrganisationRecord(
            name, salt, keys.hash_key(salt, key), 1, 0, 0.0
        )
        self.keys[name] = key
        return await self.apply(put_organisation(record))

    async def settled(self, seconds=10.0):
        """Wait until all routers have settled; return whether they have."""
        for _try in range(int(seconds * 10)):
            states = [
                await self._fleet.status(router)
                for router in self._fleet.routers
                if router.alive
            ]
            if not any(state.get("unsettled", 1) for state in states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def served(self):
        """Return the tokens that the engines generated, by budget."""
        return await self._sum_counts("tokens")

    async def served_by_request(self):
        """Return the tokens that the engines generated, by request."""
        return await self._sum_counts("served")

    async def _sum_counts(self, name):
        total = collections.Counter()
        for engine in self._fleet.engines:
            counts = await self._fleet.counts(engine)
            total.update(counts[name])
        return total

    async def mismatched(self, name):
        """Return the requests whose account differs from what was served.

        :param name: budget, as ORGANISATION/BUDGET
        :returns: ``(served, billed, absorbed)`` in tokens, by request
        """
        record, _budget = await self.budgets.read(name)
        served = await self.served_by_request()
        billed = collections.Counter()
        absorbed = collections.Counter()
        for key, bill in record.bills.items():
            request, separator, _run = key.partition("/")
            side = absorbed if separator else billed
            side[request] += bill.tokens
        return {
            request: (served[request], billed[request], absorbed[request])
            for request in {*served, *billed, *absorbed}
            if served[request] != billed[request] + absorbed[request]
        }
