"""A send of a request to one upstream, and the state of its answer."""

import asyncio

from ..errors import UpstreamError
from .relay import is_stream

# Answers from this status on are failures of the upstream.
SERVER_ERROR = 500


class Attempt:
    """A send of a Job to one upstream.

    Waiting for the answer may be cancelled and repeated; only :meth:`close`
    abandons the answer.

    :param state: the UpstreamState of the upstream
    :param opening: task that sends the request and returns the HttpAnswer
    :param make_relay: function from the HttpAnswer to its Relay
    :param in_flight_send: the InFlightSend of this send
    :param confirm_end: coroutine function that raises UpstreamError unless an
        HttpAnswer without a length, which has ended, is whole
    :ivar in_flight_send: the InFlightSend of this send
    :ivar tokens: extra tokens reserved for it if it is a hedge
    :ivar answer: the HttpAnswer, None until its head has arrived
    :ivar stalled_at: monotonic time from which it counts as stalled, None if
        the job cannot be sent to another upstream
    :ivar stall_note: reaction to its stall as logged last, None unless it is
        stalled
    """

    __slots__ = (
        "state",
        "in_flight_send",
        "tokens",
        "answer",
        "stalled_at",
        "stall_note",
        "_opening",
        "_make_relay",
        "_confirm_end",
        "_confirming",
        "_relay",
        "_forwarding",
        "_ended",
        "_closed",
    )

    def __init__(
        self, state, opening, make_relay, in_flight_send, confirm_end
    ):
        self.state = state
        self.in_flight_send = in_flight_send
        self.tokens = 0
        self.answer = None
        self.stalled_at = None
        self.stall_note = None
        self._opening = opening
        self._make_relay = make_relay
        self._confirm_end = confirm_end
        # Task that confirms the end of the answer.
        self._confirming = None
        # What has arrived of the answer, once its head has.
        self._relay = None
        self._forwarding = False
        self._ended = False
        self._closed = False
        state.outstanding += 1

    @property
    def closed(self):
        """Return whether it was closed."""
        return self._closed

    @property
    def confirming(self):
        """Return whether it is not known yet if its end is the answer's."""
        return self._confirming is not None and not self._confirming.done()

    @property
    def head_received(self):
        """Return whether the head of its answer has arrived."""
        return self.answer is not None

    @property
    def path(self):
        """Return the Path of its answer, None until its head has arrived."""
        return self.answer and self.answer.path

    @property
    def forwarding(self):
        """Return whether its answer is being forwarded."""
        return self._forwarding

    @property
    def has_events(self):
        """Return whether events of its answer have been forwarded."""
        return self._relay is not None and self._relay.has_events

    @property
    def fault(self):
        """Return the UpstreamError behind what has arrived, or None."""
        return self._relay and self._relay.fault

    @property
    def usable(self):
        """Return whether enough has arrived to forward the answer.

        That is a complete event of a stream, or a plain answer that is
        complete or too large to buffer.  With less, the answer may still break
        off before anything can be forwarded.
        """
        return self._ended or self._relay is not None and self._relay.ready

    async def advance(self):
        """Wait for the next part of the answer: its head or a chunk.

        The head of a stream is not enough, since it does not show that the
        upstream is processing the request.

        Returns at once if progress came while it was part of a race.

        :raises UpstreamError: the send failed or the answer broke off
        """
        if self.usable or self._relay is not None and self._relay.has_progress:
            return
        if self.answer is None:
            await self._read_head()
            if not is_stream(self.answer):
                return
        await self._read_chunk()

    async def wait_until_usable(self):
        """Wait until the answer is usable.

        :raises UpstreamError: the send failed or the answer broke off
        """
        if self.answer is None:
            await self._read_head()
        while not self.usable:
            await self._read_chunk()

    async def _read_head(self):
        self.answer = await asyncio.shield(self._opening)
        self._relay = self._make_relay(self.answer)

    async def _read_chunk(self):
        """Read a chunk or the end of the answer.

        :raises UpstreamError: the answer broke off, or what can be forwarded
            of it ended before
        """
        relay = self._relay
        if relay.fault is not None:
            raise relay.fault
        if self._confirming is None:
            chunk = await self.answer.next_piece()
            if chunk is not None:
                relay.feed(chunk)
                if relay.fault is not None and not relay.ready:
                    raise relay.fault
                return
            # An end within an event must not win a race.
            relay.check_end()
            if not self.answer.framed:
                confirming = self._confirm_end(self.answer)
                self._confirming = asyncio.ensure_future(confirming)
                self._confirming.add_done_callback(_retrieve_error)
        if self._confirming is not None:
            await asyncio.shield(self._confirming)
        self._ended = True

    def check(self, responder):
        """Raise UpstreamError unless the answer may be forwarded."""
        status = self.answer.status
        if status >= SERVER_ERROR:
            raise UpstreamError(f"status {status}")
        if responder.started and not is_stream(self.answer):
            raise UpstreamError(
                f"status {status} instead of the rest of a stream"
            )

    async def forward(self):
        """Forward what has arrived; return whether that shows progress."""
        self._forwarding = True
        progress = await self._relay.forward()
        if self._ended:
            await self._relay.finish()
        return progress

    def close(self):
        """Abandon the answer unless it is complete.

        May be called more than once.
        """
        if self._closed:
            return
        self._closed = True
        self.state.outstanding -= 1
        if self._confirming is not None:
            self._confirming.cancel()
        if self.answer is not None:
            self.answer.close()
        elif not self._opening.cancel():
            self._close_unread()

    def _close_unread(self):
        """Close an answer whose head arrived but was not read."""
        if not self._opening.cancelled() and not self._opening.exception():
            self._opening.result().close()


def _retrieve_error(task):
    """Retrieve the error of a task for which nobody may wait any more."""
    if not task.cancelled():
        task.exception()
