"""The verdict on the orderly end of an answer without a length.

The code here does no I/O and has no clock.
"""

import enum


class Opened(enum.Enum):
    """What became of a connection to the upstream opened after the end.

    PROMPT: it was opened at once.  LATE: it was opened so late that a process
    started since may have accepted it.  REFUSED: nobody listens.  UNREACHABLE:
    there was no answer.  NOT_ALLOWED: no connection is left for it.
    """

    PROMPT = "prompt"
    LATE = "late"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    NOT_ALLOWED = "not_allowed"


class Instance(enum.Enum):
    """Who answers a health check at the upstream's address.

    UNNAMED: somebody who does not say.  SILENT: nobody in time, over a
    connection that stays open.  GONE: the connection ended.
    """

    SAME = "same"
    ANOTHER = "another"
    UNNAMED = "unnamed"
    SILENT = "silent"
    GONE = "gone"


class Peers(enum.Enum):
    """What peers saw of the upstream as the answer ended.

    OPEN: an earlier connection of theirs is open.  CUT: their connections with
    answers due ended then, too.  NOTHING: neither, or nobody answered.
    """

    OPEN = "open"
    CUT = "cut"
    NOTHING = "nothing"


class Step(enum.Enum):
    """What to do about the end of an answer.

    WAIT: look once more whether earlier connections are open.  ASK: send a
    health check.
    """

    WHOLE = "whole"
    BROKEN = "broken"
    WAIT = "wait"
    ASK = "ask"
    ASK_PEERS = "ask_peers"


class Reason(enum.Enum):
    """What decided a verdict, for logs and metrics."""

    EARLIER_CONNECTION = "earlier_connection"
    NEW_CONNECTION = "new_connection"
    PEER_CONNECTION = "peer_connection"
    SAME_INSTANCE = "same_instance"
    LEAVING = "leaving"
    CUT_TOGETHER = "cut_together"
    SENT_AGAIN = "sent_again"
    REFUSED = "refused"
    NO_PROOF = "no_proof"
    NOT_SAME_INSTANCE = "not_same_instance"


# These are no proof by themselves: a proxy accepts connections before it finds
# that nobody listens behind it.
ACCEPTED = (Opened.PROMPT, Opened.LATE)


class Evidence:
    """What is known of an upstream some time after an answer of it ended.

    :ivar earlier_open: whether a connection to it that was open at the end is
        still open
    :ivar waited: whether these had the time to show a lost end
    :ivar opened: what became of a new connection, an Opened
    :ivar instance: who answered a health check, None if none was sent
    :ivar peers: what peers saw, a Peers, None if none was asked
    :ivar leaving: whether it is to end its process on its own soon
    :ivar cut_together: whether other answers of it ended early with this one
    :ivar may_run_again: whether the request can be sent to another upstream
    """

    __slots__ = (
        "earlier_open",
        "waited",
        "opened",
        "instance",
        "peers",
        "leaving",
        "cut_together",
        "may_run_again",
    )

    def __init__(self, earlier_open, opened):
        self.earlier_open = earlier_open
        self.opened = opened
        self.waited = False
        self.instance = None
        self.peers = None
        self.leaving = False
        self.cut_together = False
        self.may_run_again = False


def judge(evidence):
    """Return the Step, and the Reason of a final one, otherwise None.

    Without proof that the upstream's process outlived the answer, the answer
    is broken.  An upstream that leaves is the exception: its process ends on
    its own behind its last answer.

    :param evidence: the Evidence
    """
    if evidence.earlier_open:
        if evidence.opened is Opened.REFUSED and not evidence.leaving:
            # Their ends may wait behind bytes on a slow link.
            return Step.BROKEN, Reason.REFUSED
        silent = (Opened.REFUSED, Opened.UNREACHABLE)
        if evidence.opened in silent and not evidence.waited:
            # The ends of the earlier connections may have been lost.
            return Step.WAIT, None
        return Step.WHOLE, Reason.EARLIER_CONNECTION
    if evidence.opened in ACCEPTED:
        if evidence.instance is None:
            return Step.ASK, None
        if evidence.instance is Instance.SAME:
            return Step.WHOLE, Reason.SAME_INSTANCE
    if evidence.opened is Opened.PROMPT:
        # A busy upstream lets health checks wait, or turns them away.
        if evidence.instance in (Instance.UNNAMED, Instance.SILENT):
            return Step.WHOLE, Reason.NEW_CONNECTION
    if evidence.opened is Opened.REFUSED and not evidence.leaving:
        return Step.BROKEN, Reason.REFUSED
    if evidence.peers is None:
        return Step.ASK_PEERS, None
    if evidence.peers is Peers.OPEN:
        return Step.WHOLE, Reason.PEER_CONNECTION
    if evidence.leaving:
        return _judge_leaving(evidence)
    if evidence.instance is not None:
        return Step.BROKEN, Reason.NOT_SAME_INSTANCE
    return Step.BROKEN, Reason.NO_PROOF


def _judge_leaving(evidence):
    """Return the verdict on an answer of an upstream that left behind it."""
    if evidence.cut_together or evidence.peers is Peers.CUT:
        # A planned end waits for the answers under way.
        return Step.BROKEN, Reason.CUT_TOGETHER
    if evidence.may_run_again:
        # Another run proves the answer, and costs only itself.
        return Step.BROKEN, Reason.SENT_AGAIN
    return Step.WHOLE, Reason.LEAVING
