"""Hand-overs of tokens, at a planned stop to routers that go on.

A hand-over without an answer may have been taken, so its tokens go to nobody
else, nor to the store: it is sent again to the same run of the same heir
until that says what it did.  What an heir refuses it never takes.
"""

import asyncio

import structlog

from ..errors import ErrorKind
from ..errors import PeerError
from ..hashing import new_id
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import HandOver
from ..schema.messages import Refused
from ..tasks import TaskSet
from .reply_cache import ReplyCache

LOG = structlog.get_logger(__name__)

# Peers that share what a stopping router held.
RECIPIENTS = 3
# Peers that are asked first whether they take tokens, and seconds for the
# answer: a few round trips between data centres.  A connection that turned
# silent, or a peer that stops, is found before any token depends on it.
CANDIDATES = 6
PROBE_TIMEOUT = 0.15
# Seconds for each try of a hand-over, and between two of them.
ATTEMPT_TIMEOUT = 0.4
ATTEMPT_PAUSE = 0.2
# Seconds after which no try follows, and for which an heir remembers what it
# took: far longer, as a try may be on its way while its link is down.
RETRY_SECONDS = 10.0
REPLY_MEMORY = 600.0
# Between the heir and the random part in a hand-over's id.
ID_SEPARATOR = "~"


class Handoffs:
    """Passes tokens on, and takes those of others.

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
        self._unanswered = {}

    # Taking

    def handle(self, message):
        """Answer a HandOver of a peer; one with nothing in it only asks."""
        if not message.tokens and not message.spent:
            return self._refusal(message) or Ack()
        return self._replies.handle_once(message.id, self._inherit, message)

    def _inherit(self, message):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        LOG.info(
            "tokens_inherited",
            sender=message.sender,
            tokens=message.tokens,
            spent=message.spent,
        )
        sender = address_of(message.sender)
        for name, tokens in message.tokens.items():
            self._keeper.accept_handoff(name, tokens, sender)
        for name, tokens in message.spent.items():
            self._keeper.add_spent(name, tokens)
        return Ack()

    def _refusal(self, message):
        """Return the Refused for a hand-over, None if it is welcome."""
        if not self._is_for_this_run(message):
            # The run that was meant may have taken it.
            return Refused(ErrorKind.NOT_READY.value, "another run was meant")
        if self._keeper.stopping:
            return Refused(ErrorKind.STOPPING.value, "this router stops too")
        return None

    def _is_for_this_run(self, message):
        recipient, mark, _random = message.id.partition(ID_SEPARATOR)
        return not mark or recipient == self._incarnation

    # Passing on

    async def find_recipients(self):
        """Return ready peers that answer and take tokens now."""
        candidates = self._members.ready_others()[:CANDIDATES]
        calls = [self._accepts_tokens(peer) for peer in candidates]
        answers = await asyncio.gather(*calls)
        recipients = [p for p, willing in zip(candidates, answers) if willing]
        return recipients[:RECIPIENTS]

    async def _accepts_tokens(self, peer):
        try:
            answer = await self._peers.call(
                address_of(peer), self._message(peer, {}, {}), PROBE_TIMEOUT
            )
        except PeerError as error:
            LOG.info("heir_unanswered", heir=peer, error=str(error))
            return False
        return isinstance(answer, Ack)

    def _message(self, recipient, tokens, spent):
        return HandOver(
            f"{recipient}{ID_SEPARATOR}{new_id()}",
            self._incarnation,
            tokens,
            spent,
        )

    async def distribute(self, recipients, tokens, deadline):
        """Pass tokens by budget on to some peers, in even shares.

        Those without an answer by then are sent again meanwhile.

        :param deadline: steady time after which not to wait for answers
        """
        shares = _split(tokens, len(recipients))
        tasks = [
            self._tasks.spawn(self._send_share(recipient, share, {}))
            for recipient, share in zip(recipients, shares)
            if share
        ]
        if tasks:
            left = max(0.0, deadline - self._clock.steady())
            await asyncio.wait(tasks, timeout=min(ATTEMPT_TIMEOUT, left))

    def send(self, recipient, tokens, spent):
        """Pass tokens by budget on to one peer; return at once.

        :param spent: tokens by budget that it is to count as used
        """
        self._tasks.spawn(self._send_share(recipient, tokens, spent))

    async def _send_share(self, recipient, tokens, spent):
        message = self._message(recipient, tokens, spent)
        self._unanswered[message.id] = (recipient, tokens)
        answer = await self._send(recipient, message)
        del self._unanswered[message.id]
        if isinstance(answer, Ack):
            LOG.info(
                "tokens_handed_over",
                heir=recipient,
                tokens=tokens,
                spent=spent,
            )
        elif _is_refused(answer):
            LOG.info("hand_over_refused", heir=recipient, tokens=tokens)
            self._keeper.cancel_debits(tokens)
            self._keeper.cancel_spent_reports(spent)
        else:
            # The heir may have them: nobody may be given the same tokens.
            LOG.warning("tokens_stranded", heir=recipient, tokens=tokens)

    async def _send(self, recipient, message):
        """Send a hand-over until it is answered; return None if it is not."""
        last_try_at = self._clock.steady() + RETRY_SECONDS
        while self._clock.steady() < last_try_at:
            try:
                return await self._peers.call(
                    address_of(recipient), message, ATTEMPT_TIMEOUT
                )
            except PeerError as error:
                LOG.info("hand_over_failed", heir=recipient, error=str(error))
            await asyncio.sleep(ATTEMPT_PAUSE)
        return None

    def report(self):
        """Log the hand-overs that have had no answer yet."""
        for recipient, tokens in self._unanswered.values():
            LOG.warning("hand_over_unanswered", heir=recipient, tokens=tokens)


def _is_refused(answer):
    """Return whether an heir surely did not take tokens, nor ever will."""
    return (
        isinstance(answer, Refused) and answer.kind == ErrorKind.STOPPING.value
    )


def _split(tokens, count):
    """Return tokens by budget in a number of even shares."""
    shares = [{} for _ in range(count)]
    for name, amount in tokens.items():
        for index, share in enumerate(shares):
            part = amount // count + (index < amount % count)
            if part:
                share[name] = part
    return shares
