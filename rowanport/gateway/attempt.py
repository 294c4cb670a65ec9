"""One send of a request to one upstream, and how far its answer came."""

import asyncio

from ..errors import UpstreamError
from .events import END
from .relay import BUFFER_LIMIT
from .relay import is_stream

# Answers from this status on are failures of the upstream.
SERVER_ERROR = 500


class Attempt:
    """One send of a Job to one upstream.

    Waiting for its answer may be broken off and begun again; only
    :meth:`close` gives the answer up.

    :param state: the UpstreamState that it went to
    :param opening: task that returns its HttpAnswer
    :param relay: function from the HttpAnswer to its Relay
    :param flight: the InFlightSend that counts it
    :ivar flight: its InFlightSend
    :ivar tokens: tokens that are set aside for it beside another one
    :ivar answer: the HttpAnswer, None until its head is here
    :ivar stalled_at: steady time from which its silence is too long, None if
        nothing else can be done than to wait
    :ivar silence_note: what its silence has led to, None unless it is too
        long
    """

    __slots__ = (
        "state",
        "flight",
        "tokens",
        "answer",
        "stalled_at",
        "stall_note",
        "_opening",
        "_make_relay",
        "_relay",
        "_pieces",
        "_ended",
        "_closed",
    )

    def __init__(self, state, opening, relay, flight):
        self.state = state
        self.flight = flight
        self.tokens = 0
        self.answer = None
        self.stalled_at = None
        self.stall_note = None
        self._opening = opening
        self._make_relay = relay
        self._relay = None
        self._pieces = []
        self._ended = False
        self._closed = False
        state.outstanding += 1

    @property
    def closed(self):
        """Return whether it was closed."""
        return self._closed

    @property
    def head_received(self):
        """Return whether its answer has begun to arrive."""
        return self.answer is not None

    @property
    def chosen(self):
        """Return whether its answer is the one that is passed on."""
        return self._relay is not None

    @property
    def usable(self):
        """Return whether what has arrived is surely of use by itself.

        That is a whole event of a stream, or a plain answer that is whole or
        too large to hold.  Less than that may end right after.
        """
        if self.answer is None:
            return False
        if self._ended:
            return True
        if is_stream(self.answer):
            return END in b"".join(self._pieces)
        return sum(len(piece) for piece in self._pieces) > BUFFER_LIMIT

    async def advance(self):
        """Wait until there is more of the answer: its head, its next piece.

        The head of a stream alone is no sign that the upstream works on it.

        :raises UpstreamError: it failed or broke off
        """
        if self._pieces or self._ended:
            return
        if self.answer is None:
            await self._read_head()
            if not is_stream(self.answer):
                return
        await self._read_piece()

    async def wait_until_usable(self):
        """Wait until enough of the answer is here to go on with it.

        :raises UpstreamError: it failed or broke off
        """
        if self.answer is None:
            await self._read_head()
        while not self.usable:
            await self._read_piece()

    async def _read_head(self):
        self.answer = await asyncio.shield(self._opening)

    async def _read_piece(self):
        piece = await self.answer.next_piece()
        if piece is None:
            self._ended = True
        else:
            self._pieces.append(piece)

    def check(self, responder):
        """Raise UpstreamError unless its answer can be the caller's."""
        status = self.answer.status
        if status >= SERVER_ERROR:
            raise UpstreamError(f"status {status}")
        if responder.started and not is_stream(self.answer):
            raise UpstreamError(f"status {status} instead of events")

    async def forward(self):
        """Pass on what has arrived.

        :raises UpstreamError: the answer is none that may be passed on
        """
        if self._relay is None:
            self._relay = self._make_relay(self.answer)
        for piece in self._pieces:
            await self._relay.pass_on(piece)
        self._pieces.clear()
        if self._ended:
            await self._relay.finish()

    def close(self):
        """Give the answer up unless it is whole; may be called again."""
        if self._closed:
            return
        self._closed = True
        self.state.outstanding -= 1
        if self.answer is not None:
            self.answer.close()
        elif not self._opening.cancel():
            self._close_unseen()

    def _close_unseen(self):
        """Close an answer whose head nobody has waited for."""
        if not self._opening.cancelled() and not self._opening.exception():
            self._opening.result().close()
