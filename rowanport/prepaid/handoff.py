"""Handoffs of tokens to other routers, as at a planned stop.

A handoff without an answer may have been accepted, so its tokens are given to
no other router nor to the store.  It is sent again to the same run of the same
recipient until that answers.  A recipient never accepts a handoff that it has
refused.
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
MAX_RECIPIENTS = 3
# Peers that are asked first whether they accept tokens, and seconds for
# the answer: a few round trips between data centres.  This finds stalled
# connections and stopping peers before any token depends on them.
MAX_CANDIDATES = 6
PROBE_TIMEOUT = 0.15
# Seconds for each attempt of a handoff, and between two attempts.
ATTEMPT_TIMEOUT = 0.4
ATTEMPT_PAUSE = 0.2
# Seconds after which no attempt follows, and for which a recipient remembers
# its replies: far longer, as an attempt may arrive late if its link was down.
RETRY_SECONDS = 10.0
REPLY_MEMORY = 600.0
# Separates the recipient's incarnation from the random part of a handoff id.
ID_SEPARATOR = "~"


class Handoffs:
    """Sends tokens to peers, and accepts those of peers.

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

    # Receiving

    def handle(self, message):
        """Answer a peer's HandOver; an empty one only asks if it may send."""
        if not message.tokens and not message.spent:
            return self._refusal(message) or Ack()
        return self._replies.handle_once(message.id, self._accept, message)

    def _accept(self, message):
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
        """Return the Refused for a handoff, None if it is accepted."""
        if not self._is_for_this_run(message):
            # The run that it was sent to may have accepted it.
            return Refused(ErrorKind.NOT_READY.value, "sent to another run")
        if self._keeper.stopping:
            return Refused(
                ErrorKind.STOPPING.value, "this router is stopping, too"
            )
        return None

    def _is_for_this_run(self, message):
        recipient, separator, _random = message.id.partition(ID_SEPARATOR)
        return not separator or recipient == self._incarnation

    # Sending

    async def find_recipients(self):
        """Return ready peers that answer and accept tokens now."""
        candidates = self._members.ready_peers()[:MAX_CANDIDATES]
        calls = [self._accepts_tokens(peer) for peer in candidates]
        answers = await asyncio.gather(*calls)
        recipients = [p for p, accepts in zip(candidates, answers) if accepts]
        return recipients[:MAX_RECIPIENTS]

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
        """Hand tokens off to peers in even shares.

        It returns after one attempt; unanswered shares are retried in the
        background.

        :param recipients: incarnations of the peers
        :param tokens: tokens by budget
        :param deadline: monotonic time after which not to wait for answers
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
        """Hand tokens off to one peer in the background.

        :param recipient: incarnation of the peer
        :param tokens: tokens by budget
        :param spent: tokens by budget that the peer is to count as spent
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
            # The recipient may have accepted them: give them to no one else.
            LOG.warning("tokens_stranded", heir=recipient, tokens=tokens)

    async def _send(self, recipient, message):
        """Send a handoff until it is answered; return the answer or None."""
        last_attempt_at = self._clock.steady() + RETRY_SECONDS
        while self._clock.steady() < last_attempt_at:
            try:
                return await self._peers.call(
                    address_of(recipient), message, ATTEMPT_TIMEOUT
                )
            except PeerError as error:
                LOG.info("hand_over_failed", heir=recipient, error=str(error))
            await asyncio.sleep(ATTEMPT_PAUSE)
        return None

    def log_unanswered(self):
        """Log the handoffs without an answer so far."""
        for recipient, tokens in self._unanswered.values():
            LOG.warning("hand_over_unanswered", heir=recipient, tokens=tokens)


def _is_refused(answer):
    """Return whether the recipient has not accepted and never will."""
    return (
        isinstance(answer, Refused) and answer.kind == ErrorKind.STOPPING.value
    )


def _split(tokens, count):
    """Split tokens by budget into a number of even shares."""
    shares = [{} for _ in range(count)]
    for name, amount in tokens.items():
        for index, share in enumerate(shares):
            part = amount // count + (index < amount % count)
            if part:
                share[name] = part
    return shares
