"""What this router may retry: its share of the slack, and loans of peers."""

import asyncio
import random

import structlog

from ..errors import MessageError
from ..errors import PeerError
from ..errors import StoreConflict
from ..errors import StoreError
from ..incarnation import address_of
from ..membership.members import LEAVING
from ..retries import LOAN_SECONDS
from ..retries import RetryAllowance
from ..retries import ShareClaim
from ..retries import ShareRecord
from ..schema.messages import Permits
from ..schema.messages import RetryPermitAsk
from ..store import Value
from ..store import Write
from ..supervision import beat
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

SHARES_KEY = "rowanport/retries/shares"
# The kind of delegates that hold shares, and the smallest share in permits:
# with less, most retries would need loans of several peers.
HOLDER_DUTY = "retries"
MIN_SHARE = 4
# Seconds after the start until a share is claimed, by when the routers of a
# fleet that starts at once know each other, and the random spread of claims.
CLAIM_DELAY = 1.0
CLAIM_SPREAD = 1.5
# Seconds between two checks whether the share is to be renewed.
CHECK_INTERVAL = 1.0
# Attempts to write the shares while other routers' writes conflict.
MAX_CONFLICTS = 8
# Time-out in seconds of a request for a loan: many round trips within a
# region, and short compared to every objective.
LOAN_TIMEOUT = 0.1
# Maximum permits in one loan.
MAX_LOAN = 16
# Protocol of routers that lend permits.
LOAN_PROTOCOL = 2
# Requests for loans a second of all routers together, while none is granted.
ASKS_A_SECOND = 100.0


class _Borrowing:
    """The requests for loans of one service.

    :ivar waiting: number of retries that wait for a loan
    :ivar task: the task that asks a peer, or None
    :ivar ask_at: monotonic time from which peers may be asked again
    """

    __slots__ = ("waiting", "task", "ask_at")

    def __init__(self):
        self.waiting = 0
        self.task = None
        self.ask_at = 0.0


class RetryAllowances:
    """The RetryAllowance of each service, and this router's share.

    :param settings: GatewaySettings
    :param incarnation: this router's incarnation
    :param store: a TransactionStore
    :param peers: a PeerClient
    :param members: the Membership
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    """

    def __init__(
        self, settings, incarnation, store, peers, members, clock, metrics
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._address = address_of(incarnation)
        self._store = store
        self._peers = peers
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._allowances = {}
        self._borrowing = {}
        self._claim = None
        self._value = Value(b"", 0)
        self._logged_share = 0
        self._tasks = TaskSet()

    @property
    def share(self):
        """Return the permits of the slack that belong to this router now."""
        if self._claim is None:
            return 0
        return self._claim.permits(self._clock.steady())

    def allowance(self, service):
        """Return the RetryAllowance of a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            own = self._settings
            allowance = RetryAllowance(own.retry_ratio, own.retry_window)
            self._allowances[service] = allowance
        return allowance

    def record_request(self, service):
        """Record a request of a caller for a service."""
        self.allowance(service).record_request(self._clock.steady())

    # Retries

    def available(self, service):
        """Return whether a retry is allowed now; borrow one if not."""
        now = self._clock.steady()
        if self.allowance(service).available(self.share, now):
            return True
        self._start_borrowing(service)
        return False

    def try_acquire(self, service):
        """Use a retry that is available here.

        :returns: its Source, None if there is none
        """
        now = self._clock.steady()
        source = self.allowance(service).acquire(self.share, now)
        outcome = source.value if source else "denied"
        self._metrics.retries.inc({"source": outcome})
        return source

    async def acquire(self, service):
        """Use a retry, a borrowed one if none is available here.

        :returns: its Source, None if no peer lends one either
        """
        if not self.available(service):
            await self._wait_for_loan(service)
        return self.try_acquire(service)

    async def _wait_for_loan(self, service):
        borrowing = self._borrowing[service]
        if borrowing.task is None:
            return
        borrowing.waiting += 1
        try:
            # Not cancelled with its first caller: others wait for it, too.
            await asyncio.wait({borrowing.task})
        finally:
            borrowing.waiting -= 1

    # Loans

    def _start_borrowing(self, service):
        borrowing = self._borrowing.setdefault(service, _Borrowing())
        if borrowing.task is None and self._clock.steady() >= borrowing.ask_at:
            task = self._tasks.spawn(self._borrow(service, borrowing))
            borrowing.task = task

    async def _borrow(self, service, borrowing):
        """Ask a peer that may have a share for as many as retries wait."""
        try:
            lenders = [
                address
                for address in self._holders
                if address != self._address
                and self._members.speaks(address, LOAN_PROTOCOL)
            ]
            if not lenders:
                return
            now = self._clock.steady()
            pause = len(self._members.live()) / ASKS_A_SECOND
            borrowing.ask_at = now + pause
            lender = random.choice(lenders)
            wanted = max(1, min(MAX_LOAN, borrowing.waiting))
            ask = RetryPermitAsk(service, wanted)
            answer = await self._peers.call(lender, ask, LOAN_TIMEOUT)
            count = max(0, min(wanted, answer.count))
            self.allowance(service).add_loan(count, now)
            self._record_loan(service, lender, count, answer.wait)
            if count:
                borrowing.ask_at = now
        except PeerError as error:
            LOG.info("retry_loan_failed", service=service, error=str(error))
        finally:
            borrowing.task = None

    def _record_loan(self, service, lender, count, wait):
        outcome = "granted" if count else "denied"
        self._metrics.retry_loans.inc({"outcome": outcome})
        LOG.info(
            "retry_loan",
            service=service,
            lender=lender,
            count=count,
            wait=wait,
        )

    @property
    def _holders(self):
        """Return the addresses of the routers that are to have a share."""
        least = max(1, int(self._settings.retry_slack) // MIN_SHARE)
        return self._members.delegates(HOLDER_DUTY, least, 0.0)

    def lend(self, ask):
        """Answer a peer's RetryPermitAsk; return the Permits."""
        now = self._clock.steady()
        allowance = self.allowance(ask.service)
        # The borrower may use them until a loan ends.
        share = 0
        if self._claim is not None:
            share = min(self.share, self._claim.permits(now + LOAN_SECONDS))
        count = allowance.lend(share, min(MAX_LOAN, ask.wanted), now)
        wait = 0.0 if count else allowance.next_free_at(now) - now
        return Permits(count, wait)

    # The own share

    async def run(self):
        """Claim and renew the own share until cancelled."""
        if self._claim is None:
            # Only now the own address is bound, so that an earlier run at it
            # has surely ended.
            self._claim = ShareClaim(
                self._address,
                self._incarnation,
                self._settings.retry_slack,
                self._settings.retry_window,
                self._clock.steady(),
            )
        await asyncio.sleep(CLAIM_DELAY + random.uniform(0.0, CLAIM_SPREAD))
        while True:
            beat()
            if self._is_due:
                await self._update()
            self._log_share()
            await asyncio.sleep(CHECK_INTERVAL)

    @property
    def _is_due(self):
        """Return whether the share is to be claimed or renewed.

        A stopping router is to have no share any more, but its last requests
        may still need what it has.
        """
        if self._members.own_entry.state == LEAVING:
            return False
        return self._claim.is_due(self._clock.steady())

    async def _update(self):
        """Claim or renew the share, if the store can be reached."""
        try:
            for _try in range(MAX_CONFLICTS):
                if await self._write_share():
                    return
        except StoreError as error:
            LOG.info("retry_share_not_written", error=str(error))
        except MessageError as error:
            LOG.error("retry_shares_unreadable", error=str(error))

    async def _write_share(self):
        """Write the own share once; return whether nothing is left to do."""
        if not self._value.version:
            self._value = await self._store.get_value(SHARES_KEY)
        now = self._clock.steady()
        record = ShareRecord.unpack(self._value.data)
        holders = self._holders
        count = len(holders) if self._address in holders else 0
        planned = self._claim.plan(record, count, now)
        if planned is None:
            # What the others do is read before the next plan.
            self._value = Value(b"", 0)
            return True
        data = planned.pack()
        write = Write(SHARES_KEY, data, self._value.version)
        try:
            version = await self._store.commit([write])
        except StoreConflict as conflict:
            self._value = conflict.values.get(SHARES_KEY, Value(b"", 0))
            return False
        self._value = Value(data, version)
        self._claim.confirm(planned, now)
        return True

    def _log_share(self):
        share = self.share
        self._metrics.retry_share.set({}, share)
        if share != self._logged_share:
            LOG.info("retry_share", permits=share, before=self._logged_share)
            self._logged_share = share

    def close(self):
        """Stop asking peers."""
        self._tasks.cancel()
