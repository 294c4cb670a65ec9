"""Changes of budgets by operators, each one compare-and-swap on a shard."""

import asyncio

from ..config import audit
from ..errors import ConflictError
from ..errors import StoreConflict
from ..errors import StoreError
from ..errors import UserError
from ..hashing import shard_of
from ..schema.messages import AuditRecord
from .keeper import read_shard
from .keeper import shard_key
from .record import add_budget
from .record import free_tokens

MAX_ATTEMPTS = 20
RETRY_INTERVAL = 0.05


class BudgetEditor:
    """Creates, changes and reads budgets in the store.

    :param store: the Store
    :param shards: number of ledger shards
    :param who: name of the operator, for the audit trail
    :param clock: a Clock
    """

    def __init__(self, store, shards, who, clock):
        self._store = store
        self._shards = shards
        self._who = who
        self._clock = clock

    async def read(self, name):
        """Return the shard and the BudgetRecord of a budget.

        :raises UserError: there is no such budget
        """
        value = await self._store.get(shard_key(self._shard(name)))
        record = read_shard(value)
        budget = record.budgets.get(name)
        if budget is None:
            raise UserError(f"no budget {name!r}")
        return record, budget

    async def create(self, change_id, name, tokens):
        """Add a budget with prepaid tokens.

        :param change_id: id of the change; a repeat has no effect
        :raises UserError: the budget exists
        """

        def make(record):
            if not add_budget(record, name, tokens):
                raise UserError(f"budget {name!r} exists")
            return "", str(tokens)

        await self._apply(change_id, name, f"create budget {name}", make)

    async def top_up(self, change_id, name, tokens):
        """Add tokens to a budget; a negative number removes tokens.

        :param change_id: id of the change; a repeat has no effect
        :raises UserError: more would be removed than is free
        """

        def make(record):
            budget = record.budgets.get(name)
            if budget is None:
                raise UserError(f"no budget {name!r}")
            before = budget.total
            free = free_tokens(budget)
            if free + tokens < 0:
                granted = sum(budget.grants.values())
                spent = budget.settled + budget.absorbed
                raise UserError(
                    f"budget {name!r} cannot be lowered by {-tokens}: of"
                    f" {before}, {spent} are spent and {granted} granted,"
                    f" {free} are free; nothing was changed"
                )
            budget.total += tokens
            return str(before), str(budget.total)

        await self._apply(change_id, name, f"top up budget {name}", make)

    async def _apply(self, change_id, name, what, make):
        failure = None
        for _try in range(MAX_ATTEMPTS):
            try:
                return await self._apply_once(change_id, name, what, make)
            except StoreError as error:
                # If the write took effect and only its answer was lost, the
                # next attempt finds the change id in the audit trail.
                failure = error
                await asyncio.sleep(RETRY_INTERVAL)
        if isinstance(failure, StoreConflict):
            raise ConflictError(f"budget {name!r} keeps changing; try again")
        raise UserError(
            f"the store does not answer; change {change_id} may have taken"
            " effect, repeat it with the same id to be sure"
        )

    async def _apply_once(self, change_id, name, what, make):
        key = shard_key(self._shard(name))
        value = await self._store.get(key)
        record = read_shard(value)
        recent = await audit.read_trail(
            self._store, record, 2 * audit.MAX_INLINE_ENTRIES
        )
        if any(entry.change == change_id for entry in recent):
            return
        before, after = make(record)
        now = self._clock.wall()
        entry = AuditRecord(change_id, self._who, now, what, before, after)
        await audit.append(self._store, record, entry)
        await self._store.put(key, record.pack(), value.version)

    async def trail(self, limit):
        """Return the latest AuditRecords of all shards, newest first."""
        keys = map(shard_key, range(self._shards))
        values = await asyncio.gather(*map(self._store.get, keys))
        entries = []
        for value in values:
            record = read_shard(value)
            entries += await audit.read_trail(self._store, record, limit)
        entries.sort(key=lambda entry: -entry.when)
        return entries[:limit]

    def _shard(self, name):
        return shard_of(name, self._shards)
