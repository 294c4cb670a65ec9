"""Loans and hand-overs of tokens between routers."""

import asyncio
import random

import structlog

from ..errors import ErrorKind
from ..errors import PeerError
from ..hashing import new_id
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import HandOver
from ..schema.messages import LendAsk
from ..schema.messages import Lent
from ..schema.messages import Refused
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

# Longest wait for a peer's loan in seconds: a few round trips between data
# centres.
ASK_TIMEOUT = 0.1
# Longest wait for the answer to the second try of an ask.
COLLECT_TIMEOUT = 0.4
# Peers asked at once; each lends half of what it has.
ASK_FANOUT = 3
# Peers asked in all.
ASK_LIMIT = 16
# Seconds for which answers to loans and transfers are remembered.
ANSWER_MEMORY = 30.0
# A hand-over at a planned stop: tries, and seconds for each.
HAND_OVER_TRIES = 4
HAND_OVER_TIMEOUT = 0.4


class Lender:
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
        self._answers = {}
        self._tasks = TaskSet()

    # Asking

    async def ask_all(self, account):
        """Ask peers in turn until an account has what it needs."""
        others = self._lenders(account.name)
        # What several lend at once is too much for a router that draws none.
        count = ASK_FANOUT if self._keeper.is_holder(account.name) else 1
        while others and account.lacking:
            wave, others = others[:count], others[count:]
            await asyncio.gather(*(self._ask(account, p) for p in wave))
            count = ASK_FANOUT

    def _lenders(self, name):
        """Return the other live routers, those that draw first."""
        others = self._members.others()
        random.shuffle(others)
        holders = self._keeper.holders(name)
        others.sort(key=lambda other: address_of(other) not in holders)
        return others[:ASK_LIMIT]

    async def _ask(self, account, peer):
        tokens = account.loan(self._clock.steady())
        if not tokens:
            return
        message = LendAsk(new_id(), account.name, tokens, self._incarnation)
        try:
            answer = await self._peers.call(
                address_of(peer), message, ASK_TIMEOUT
            )
        except PeerError:
            account.unanswered = True
            self._members.suspect(peer)
            # Its answer may have been lost: ask once more for the same loan.
            self._tasks.spawn(self._collect(account, peer, message))
            return
        account.unanswered = False
        self._take_loan(account, answer, peer)

    async def _collect(self, account, peer, message):
        try:
            answer = await self._peers.call(
                address_of(peer), message, COLLECT_TIMEOUT
            )
        except PeerError as error:
            LOG.info(
                "loan_unanswered",
                budget=account.name,
                peer=peer,
                error=str(error),
            )
            return
        self._take_loan(account, answer, peer)

    def _take_loan(self, account, answer, peer):
        if not isinstance(answer, Lent):
            return
        LOG.info(
            "tokens_borrowed",
            budget=account.name,
            tokens=answer.tokens,
            lender=peer,
        )
        self._keeper.credit(account.name, answer.tokens)

    # Answering

    def handle(self, message):
        """Answer a LendAsk or a HandOver of a peer."""
        if isinstance(message, LendAsk):
            return self._once(message.ask, self._lend, message)
        return self._once(message.id, self._inherit, message)

    def _once(self, key, act, message):
        """Act on a message once, and give the same answer to repeats."""
        now = self._clock.steady()
        self._forget(now)
        known = self._answers.get(key)
        if known is not None:
            return known[0]
        answer = act(message)
        self._answers[key] = (answer, now + ANSWER_MEMORY)
        return answer

    def _forget(self, now):
        while self._answers:
            oldest = next(iter(self._answers))
            if self._answers[oldest][1] > now:
                return
            del self._answers[oldest]

    def _lend(self, message):
        tokens = self._keeper.lend(
            message.budget, message.tokens, address_of(message.borrower)
        )
        if not tokens:
            return Refused(ErrorKind.BUDGET_EXHAUSTED.value, "nothing to lend")
        LOG.info(
            "tokens_lent",
            budget=message.budget,
            tokens=tokens,
            borrower=message.borrower,
        )
        return Lent(message.ask, message.budget, tokens, self._incarnation)

    def _inherit(self, message):
        LOG.info(
            "tokens_inherited", sender=message.sender, tokens=message.tokens
        )
        for name, tokens in message.tokens.items():
            self._keeper.credit(name, tokens)
        return Ack()

    # Handing over

    async def hand_over(self, heirs, tokens):
        """Pass tokens by budget on to some peers, in even shares."""
        shares = _split(tokens, len(heirs))
        calls = [self._pass_on(h, s) for h, s in zip(heirs, shares) if s]
        await asyncio.gather(*calls)

    async def _pass_on(self, heir, tokens):
        message = HandOver(new_id(), self._incarnation, tokens)
        for _try in range(HAND_OVER_TRIES):
            try:
                await self._peers.call(
                    address_of(heir), message, HAND_OVER_TIMEOUT
                )
            except PeerError as error:
                LOG.info("hand_over_failed", heir=heir, error=str(error))
                continue
            LOG.info("tokens_handed_over", heir=heir, tokens=tokens)
            return
        # The heir may have them: nobody else may be given the same tokens.
        LOG.warning("tokens_stranded", heir=heir, tokens=tokens)


def _split(tokens, count):
    """Return tokens by budget in a number of even shares."""
    shares = [{} for _ in range(count)]
    for name, amount in tokens.items():
        for index, share in enumerate(shares):
            part = amount // count + (index < amount % count)
            if part:
                share[name] = part
    return shares
