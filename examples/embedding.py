"""Use the ledger and the scheduler in a program of one's own.

No daemon and no network: a store in memory, one holder, one lane.  Prints
what was served and what is left.
"""

import asyncio

from rowanport.clock import SystemClock
from rowanport.errors import RequestError
from rowanport.errors import StoreConflict
from rowanport.hashing import new_id
from rowanport.ledger import apply_batch
from rowanport.ledger import Holder
from rowanport.ledger.record import add_budget
from rowanport.ledger.record import MemoryLimits
from rowanport.ledger.record import new_shard
from rowanport.ledger.sizing import Sizing
from rowanport.scheduling import Lane
from rowanport.scheduling import Ticket
from rowanport.schema.messages import Reserve
from rowanport.schema.messages import Reserved
from rowanport.schema.messages import Settle
from rowanport.schema.messages import ShardRecord
from rowanport.store import Store
from rowanport.store import Value

BUDGET = "house/main"
KEY = "ledger/0"


class MemoryStore(Store):
    """Any store with compare-and-swap will do."""

    def __init__(self):
        self._values = {}

    async def get(self, key):
        return self._values.get(key, Value(b"", 0))

    async def put(self, key, data, version):
        if (await self.get(key)).version != version:
            raise StoreConflict(key)
        self._values[key] = Value(data, version + 1)
        return version + 1

    async def watch(self, key, version, wait):
        return await self.get(key)


async def write_batch(store, holder, sizing, clock):
    """Bring what the holder did into the store; tell it the result."""
    while True:
        value = await store.get(KEY)
        record = ShardRecord.unpack(value.data)
        if holder.in_flight is None:
            holder.observe(record, clock.wall())
        batch = holder.make_batch(clock.wall())
        if batch is None:
            return
        apply_batch(record, batch, sizing, MemoryLimits())
        try:
            await store.put(KEY, record.pack(), value.version)
        except StoreConflict:
            continue
        holder.batch_applied(record, clock.wall())
        return


async def main():
    """Serve some requests out of a small budget, the urgent ones first."""
    clock = SystemClock()
    store = MemoryStore()
    shard = new_shard()
    add_budget(shard, BUDGET, 1000)
    await store.put(KEY, shard.pack(), 0)
    sizing = Sizing(least=100)
    holder = Holder("cell/127.0.0.1:1/me~1", 0, sizing, new_id)
    holder.set_entries(["me"])
    await write_batch(store, holder, sizing, clock)
    lane = Lane(10, clock)
    deadline = clock.wall() + 30
    for number in range(6):
        ticket = Ticket(
            number % 2, "house", 1, deadline, 250, 200, number, print
        )
        lane.enter(ticket, slots=1)
    served = []
    while (ticket := lane.next()) is not None:
        name = f"request-{ticket.grant}"
        ask = Reserve(name, name, BUDGET, 250, deadline, "me", deadline)
        answer = holder.reserve(ask, clock.wall())
        if answer is None:
            await write_batch(store, holder, sizing, clock)
            answers = [answer for _ask, answer in holder.take_answers()]
            answer = answers[0] if answers else None
        if not isinstance(answer, Reserved):
            continue
        bill = Settle(name, name, name, BUDGET, holder.holder, 200, deadline)
        holder.settle(bill, clock.wall())
        served.append(name)
    await write_batch(store, holder, sizing, clock)
    record = ShardRecord.unpack((await store.get(KEY)).data)
    budget = record.budgets[BUDGET]
    print("served", *served)
    print("settled", budget.settled, "of", budget.total)
    return served, budget


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except RequestError as error:
        print(error)
