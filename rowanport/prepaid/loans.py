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

# Longest wait for a peer's loan in seconds: a few round trips between data
# centres.
ASK_TIMEOUT = 0.1
# Seconds for each later try of an ask, between two of them, and after which
# none follows: a connection that turned silent is replaced within a second,
# and what was lent without an answer is lost for good.
RETRY_TIMEOUT = 0.4
RETRY_PAUSE = 0.1
RETRY_SECONDS = 3.0
# Peers asked at once; each lends half of what it has.
ASK_FANOUT = 3
# Peers asked in all.
ASK_LIMIT = 16
# Seconds for which answers to asks are remembered.
REPLY_MEMORY = 30.0


class LoanResult(enum.IntEnum):
    """What came of asking peers; of several answers the highest counts."""

    UNANSWERED = 0
    NOT_AVAILABLE = 1
    # Some tokens, or the word of one that has none but draws them now.
    AVAILABLE = 2


class Loans:
    """Asks peers for tokens and answers theirs.

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

    # Asking

    async def ask_holders(self, account):
        """Ask those that draw in turn until an account has what it needs.

        :returns: the best answer as an Asked
        """
        holders = self._keeper.holders(account.name)
        others = self._candidates(account)
        return await self._ask_each(
            account, [address for address in others if address in holders]
        )

    async def ask_all(self, account):
        """Ask peers in turn until an account has what it needs."""
        await self._ask_each(account, self._candidates(account))

    async def _ask_each(self, account, others):
        """Ask peers at some addresses; return the best answer as an Asked."""
        # What several lend at once is too much for a router that draws none:
        # it is lost if the router ends.
        draws = self._keeper.is_holder(account.name)
        count = ASK_FANOUT if draws else 1
        best = LoanResult.UNANSWERED
        while others:
            headroom = self._keeper.headroom(account)
            tokens = account.loan_size(headroom, self._clock.steady())
            if not tokens:
                break
            wave, others = others[:count], others[count:]
            if not draws:
                tokens = math.ceil(tokens / len(wave))
            asks = (self._ask(account, address, tokens) for address in wave)
            best = max(best, *await asyncio.gather(*asks))
            count = ASK_FANOUT
        return best

    def _candidates(self, account):
        """Return the addresses of other live routers, those that draw first.

        One that just started has not heard of all that draw, but of where
        they are.  Before all comes the one that lent some: near the end of a
        budget a single one may have what is left.
        """
        own = address_of(self._incarnation)
        others = [address_of(peer) for peer in self._members.others()]
        holders = set(self._keeper.holders(account.name)) - {own}
        others += filter(self._members.is_unheard, holders)
        random.shuffle(others)
        others.sort(key=lambda address: address not in holders)
        others.sort(key=lambda address: address != account.last_lender)
        return others[:ASK_LIMIT]

    async def _ask(self, account, address, tokens):
        """Ask for a loan; return what came of it as an Asked."""
        message = LendAsk(new_id(), account.name, tokens, self._incarnation)
        try:
            answer = await self._peers.call(address, message, ASK_TIMEOUT)
        except PeerError:
            account.loan_unanswered = True
            self._members.suspect_address(address)
            # Its answer may have been lost: ask on for the same loan.
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
        last_try_at = self._clock.steady() + RETRY_SECONDS
        while self._clock.steady() < last_try_at:
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

    # Answering

    def handle(self, message):
        """Answer a LendAsk of a peer."""
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
