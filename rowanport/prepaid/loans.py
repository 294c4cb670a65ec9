"""Loans of tokens between routers."""

import asyncio
import enum
import math
import random

import structlog

from ..errors import PeerError
from ..hashing import new_id
from ..incarnation import address_of
from ..schema.messages import LendAsk
from ..schema.messages import Lent
from ..schema.messages import NoLoan
from ..tasks import TaskSet
from .reply_cache import ReplyCache

LOG = structlog.get_logger(__name__)

# Seconds for the first attempt of a loan request: a few round trips between
# data centres.
ASK_TIMEOUT = 0.1
# Seconds for each later attempt of a request, between two attempts, and after
# which none follows.  A stalled connection is replaced within a second, and
# tokens lent without an answer are lost permanently.
RETRY_TIMEOUT = 0.4
RETRY_PAUSE = 0.1
RETRY_SECONDS = 3.0
# Peers asked at once; each lends half of what it has.
ASK_FANOUT = 3
# Maximum peers asked for one loan.
MAX_ASKED = 16
# Seconds for which a lender remembers its replies.
REPLY_MEMORY = 30.0


class LoanResult(enum.IntEnum):
    """Outcome of asking peers; of several the highest counts."""

    UNANSWERED = 0
    NOT_AVAILABLE = 1
    # A peer lent some, or has none but is drawing them now.
    AVAILABLE = 2


class Loans:
    """Borrows tokens from peers and lends to them.

    :param keeper: the BudgetKeeper, for its accounts
    :param incarnation: this router's incarnation
    :param peers: a PeerClient
    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, keeper, incarnation, peers, members, clock):
        self._keeper = keeper
        self._incarnation = incarnation
        self._peers = peers
        self._members = members
        self._clock = clock
        self._replies = ReplyCache(clock, REPLY_MEMORY)
        self._tasks = TaskSet()

    # Borrowing

    async def ask_holders(self, account):
        """Ask the budget's holders in turn until an account has enough.

        :returns: the best LoanResult
        """
        holders = self._keeper.holders(account.name)
        others = self._candidates(account)
        return await self._ask_each(
            account, [address for address in others if address in holders]
        )

    async def ask_all(self, account):
        """Ask peers in turn until an account has enough."""
        await self._ask_each(account, self._candidates(account))

    async def _ask_each(self, account, others):
        """Ask peers by address; return the best LoanResult."""
        # A router that does not draw asks one peer first: several would lend
        # more than it needs, and that is lost if the router ends.
        draws = self._keeper.is_holder(account.name)
        count = ASK_FANOUT if draws else 1
        best = LoanResult.UNANSWERED
        while others:
            headroom = self._keeper.headroom(account)
            tokens = account.loan_size(headroom, self._clock.steady())
            if not tokens:
                break
            group, others = others[:count], others[count:]
            if not draws:
                tokens = math.ceil(tokens / len(group))
            asks = (self._ask(account, address, tokens) for address in group)
            best = max(best, *await asyncio.gather(*asks))
            count = ASK_FANOUT
        return best

    def _candidates(self, account):
        """Return the addresses of the peers to ask, in order.

        The last lender comes first, as near the end of a budget a single
        router may have all that is left; then holders, then other live
        routers.  Holders that are known by address only are included, as a
        router that just started has not heard from all of them.
        """
        own = address_of(self._incarnation)
        others = [address_of(peer) for peer in self._members.live_peers()]
        holders = set(self._keeper.holders(account.name)) - {own}
        others += filter(self._members.is_presumed_live, holders)
        random.shuffle(others)
        others.sort(key=lambda address: address not in holders)
        others.sort(key=lambda address: address != account.last_lender)
        return others[:MAX_ASKED]

    async def _ask(self, account, address, tokens):
        """Ask a peer for a loan; return the LoanResult."""
        message = LendAsk(new_id(), account.name, tokens, self._incarnation)
        try:
            answer = await self._peers.call(address, message, ASK_TIMEOUT)
        except PeerError:
            account.loan_unanswered = True
            self._members.suspect_address(address)
            # Its answer may have been lost, so retry the same loan.
            self._tasks.spawn(self._retry(account, address, message))
            return LoanResult.UNANSWERED
        account.loan_unanswered = False
        if isinstance(answer, NoLoan):
            self._keeper.merge_spent(answer.budget, answer.spent)
            return (
                LoanResult.AVAILABLE
                if answer.draws
                else LoanResult.NOT_AVAILABLE
            )
        if not isinstance(answer, Lent):
            return LoanResult.NOT_AVAILABLE
        account.last_lender = address
        self._credit_loan(account, answer, address)
        return LoanResult.AVAILABLE

    async def _retry(self, account, address, message):
        last_attempt_at = self._clock.steady() + RETRY_SECONDS
        while self._clock.steady() < last_attempt_at:
            try:
                answer = await self._peers.call(
                    address, message, RETRY_TIMEOUT
                )
            except PeerError as error:
                failure = error
                await asyncio.sleep(RETRY_PAUSE)
                continue
            self._credit_loan(account, answer, address)
            return
        LOG.info(
            "loan_unanswered",
            budget=account.name,
            peer=address,
            error=str(failure),
        )

    def _credit_loan(self, account, answer, address):
        if not isinstance(answer, Lent):
            return
        LOG.info(
            "tokens_borrowed",
            budget=account.name,
            tokens=answer.tokens,
            lender=address,
        )
        self._keeper.credit(account.name, answer.tokens)

    # Lending

    def handle(self, message):
        """Answer a peer's LendAsk."""
        return self._replies.handle_once(message.ask, self._lend, message)

    def _lend(self, message):
        tokens = self._keeper.lend(
            message.budget, message.tokens, address_of(message.borrower)
        )
        if not tokens:
            return self._keeper.no_loan(message.budget)
        LOG.info(
            "tokens_lent",
            budget=message.budget,
            tokens=tokens,
            borrower=message.borrower,
        )
        return Lent(message.ask, message.budget, tokens, self._incarnation)
