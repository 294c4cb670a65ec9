"""The leases that are written with each record of a router.

They are renewed just before the record is made, so a key that has not expired
proves an upper bound of the record's age by the store's clock.
"""

import asyncio

from ..errors import LeaseOver
from ..errors import StoreBusy
from ..errors import StoreError
from ..store import Write
from .allowance import LEASE_SPANS

LEASE_PREFIX = "rowanport/lease/"
# Part of its span up to which a lease is reused for another record.  This
# saves calls for records in quick succession and for long leases.
REUSE_SHARE = 0.1


class RecordLeases:
    """One router's leases, one for each span in ``LEASE_SPANS``.

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
        # Monotonic time by span of the earliest possible start of a lease.
        self._began_at = {}

    async def refresh(self):
        """Renew or grant all leases that were not refreshed recently.

        A renewal costs a tenth of a grant.

        :raises StoreBusy: a lease could not be renewed or granted
        """
        calls = [self._refresh_one(s) for s in self._keys if self._is_due(s)]
        for error in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(error, StoreError):
                # Safe to repeat, even if the outcome is unknown: a lease that
                # was granted without an answer has no key.
                raise StoreBusy(f"no lease: {error}") from None
            if error is not None:
                raise error

    def _is_due(self, span):
        """Return whether to refresh a lease before the next record."""
        if span not in self._leases:
            return True
        now = self._clock.steady()
        return now >= self._began_at[span] + REUSE_SHARE * span

    async def _refresh_one(self, span):
        # A renewal without an answer may take effect late and extend the lease
        # beyond its span.  Such a lease is not used again.
        lease = self._leases.pop(span, None)
        began = self._clock.steady()
        if lease is None or not await self._renew(lease):
            began = self._clock.steady()
            lease = await self._store.grant_lease(span)
        self._leases[span] = lease
        self._began_at[span] = began

    async def _renew(self, lease):
        """Renew a lease; return False if it has expired."""
        try:
            await self._store.renew_lease(lease)
        except LeaseOver:
            return False
        return True

    def discard(self):
        """Stop using the current leases."""
        self._leases = {}

    def writes(self, record_id):
        """Return the Writes that store a record's id under each lease."""
        return [
            Write(self._keys[span], record_id, None, lease)
            for span, lease in self._leases.items()
        ]

    async def shortest(self, record_id):
        """Return the span of the shortest lease left of a record, or None.

        :raises StoreError: the keys could not be read
        """
        for span, key in self._keys.items():
            value = await self._store.get_value(key)
            if value.version and value.data == record_id:
                return span
        return None
