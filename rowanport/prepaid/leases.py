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
# Age in seconds up to which leases serve for one more record: two batches in
# quick succession then cost fewer calls.
REUSE_SECONDS = 0.4


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
        self._began = 0.0

    async def begin(self):
        """Let all leases begin anew just now, unless they have done so.

        A renewal costs a tenth of a grant.

        :raises StoreBusy: there are none to be had
        """
        now = self._clock.steady()
        whole = len(self._leases) == len(self._keys)
        if whole and now < self._began + REUSE_SECONDS:
            return
        calls = [self._begin_one(span) for span in self._keys]
        for error in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(error, StoreError):
                # A lease that nobody knows of changes nothing.
                raise StoreBusy(f"no lease: {error}") from None
            if error is not None:
                raise error
        self._began = now

    async def _begin_one(self, span):
        # A renewal without an answer may be done late, when the lease is to
        # have ended: such a lease is not used again.
        lease = self._leases.pop(span, None)
        if lease is None or not await self._renew(lease):
            lease = await self._store.grant_lease(span)
        self._leases[span] = lease

    async def _renew(self, lease):
        """Renew a lease; return whether it had not ended."""
        try:
            await self._store.renew_lease(lease)
        except LeaseOver:
            return False
        return True

    def forget(self):
        """Use the leases at hand no more."""
        self._leases = {}

    def writes(self, mark):
        """Return the Writes that keep a record's mark while leases last."""
        return [
            Write(self._keys[span], mark, None, lease)
            for span, lease in self._leases.items()
        ]

    async def shortest(self, mark):
        """Return the span of the shortest lease that keeps a mark, or None.

        :raises StoreError: it could not be read
        """
        for span, key in self._keys.items():
            value = await self._store.get_value(key)
            if value.version and value.data == mark:
                return span
        return None
