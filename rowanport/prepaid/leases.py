"""The leases that go with each record of a router.

They begin anew just before the record is made, so their keys tell how old it
is at most, by the store's own clock.
"""

import asyncio

from ..errors import LeaseOver
from ..errors import StoreBusy
from ..errors import StoreError
from ..store import Write
from .allowance import LEASE_SPANS

LEASE_PREFIX = "rowanport/lease/"
# Part of its span up to which a lease serves for one more record: records in
# quick succession, and long leases, then cost fewer calls.
REUSE_SHARE = 0.1


class RecordLeases:
    """One router's leases, one for each span.

    :param store: a TransactionStore
    :param address: the router's peer address, the same in its next run
    :param clock: a Clock
    """

    def __init__(self, store, address, clock):
        self._store = store
        self._clock = clock
        self._keys = {
            span: f"{LEASE_PREFIX}{address}/{span}" for span in LEASE_SPANS
        }
        self._leases = {}
        # Steady time by span at which a lease may have begun at the earliest.
        self._began_at = {}

    async def refresh(self):
        """Let all leases begin anew just now, unless they did lately.

        A renewal costs a tenth of a grant.

        :raises StoreBusy: there are none to be had
        """
        calls = [self._refresh_one(s) for s in self._keys if self._is_due(s)]
        for error in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(error, StoreError):
                # A lease that nobody knows of changes nothing.
                raise StoreBusy(f"no lease: {error}") from None
            if error is not None:
                raise error

    def _is_due(self, span):
        """Return whether a lease is to begin anew before the next record."""
        if span not in self._leases:
            return True
        now = self._clock.steady()
        return now >= self._began_at[span] + REUSE_SHARE * span

    async def _refresh_one(self, span):
        # A renewal without an answer may be done late, when the lease is to
        # have ended: such a lease is not used again.
        lease = self._leases.pop(span, None)
        began = self._clock.steady()
        if lease is None or not await self._renew(lease):
            began = self._clock.steady()
            lease = await self._store.grant_lease(span)
        self._leases[span] = lease
        self._began_at[span] = began

    async def _renew(self, lease):
        """Renew a lease; return whether it had not ended."""
        try:
            await self._store.renew_lease(lease)
        except LeaseOver:
            return False
        return True

    def discard(self):
        """Use the leases at hand no more."""
        self._leases = {}

    def writes(self, record_id):
        """Return the Writes that keep a record's mark while leases last."""
        return [
            Write(self._keys[span], record_id, None, lease)
            for span, lease in self._leases.items()
        ]

    async def shortest(self, record_id):
        """Return the span of the shortest lease that keeps a mark, or None.

        :raises StoreError: it could not be read
        """
        for span, key in self._keys.items():
            value = await self._store.get_value(key)
            if value.version and value.data == record_id:
                return span
        return None
