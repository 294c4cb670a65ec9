"""Several runs of one request at once, of which the first to go on stays."""

import asyncio

from ..errors import UpstreamError
from .relay import is_stream

# Longest time in seconds for which a run that has begun holds up one that goes
# on: two engines may work on one request for 0.4 s.
OVERLAP = 0.3


class Race:
    """Waits for the first of some Attempts to go on.

    :param first: the Attempt that is silent
    :param second: the one that was asked beside it
    :param responder: the Responder of the caller
    :param clock: a Clock
    :param ask: function of a silent Attempt that returns one more, or None
    :param drop: function of an Attempt and the UpstreamError that ended it
    """

    def __init__(self, first, second, responder, clock, ask, drop):
        self._attempts = [first, second]
        self._responder = responder
        self._clock = clock
        self._ask = ask
        self._drop = drop
        # The task that waits for each one's proof.
        self._proofs = {}

    @property
    def attempts(self):
        """Return the Attempts that have not failed."""
        return list(self._attempts)

    @property
    def _proved(self):
        """Return the latest Attempt that goes on, None if none does."""
        for attempt in reversed(self._attempts):
            if attempt.usable:
                return attempt
        return None

    @property
    def _winner(self):
        """Return the Attempt that ends the race, None while there is none.

        A stream that has begun elsewhere runs there: its earlier run must
        end, even if it goes on after all.
        """
        for attempt in reversed(self._attempts):
            if attempt.usable:
                return attempt
            if attempt.head_received and is_stream(attempt.answer):
                return None
        return None

    async def run(self):
        """Return the Attempt that goes on, or the last that has not failed.

        The last one is left as it is, also if it failed in the same moment:
        who waits for it hears of that.
        """
        try:
            while len(self._attempts) > 1:
                news = await self._wait_for_news()
                self._drop_failed()
                winner = self._winner if news else self._proved
                if winner is not None:
                    return winner
        finally:
            await _end(self._proofs.values())
        return self._attempts[0]

    async def _wait_for_news(self):
        """Wait until an Attempt goes on or fails; return whether one did.

        If all stay silent for too long, one more upstream is asked.
        """
        self._start_proofs()
        waits = [proof for proof in self._proofs.values() if not proof.done()]
        done, _ = await asyncio.wait(
            waits,
            timeout=self._patience(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if done:
            return True
        if self._proved is None:
            other = self._ask(self._attempts[-1])
            if other is not None:
                self._attempts.append(other)
        return False

    def _start_proofs(self):
        for attempt in self._attempts:
            if attempt not in self._proofs:
                proof = asyncio.ensure_future(attempt.wait_until_usable())
                self._proofs[attempt] = proof

    def _patience(self):
        """Return the seconds to wait for news, None for any."""
        if self._proved is not None:
            return OVERLAP
        stalled_at = self._attempts[-1].stalled_at
        if stalled_at is None:
            return None
        return max(0.0, stalled_at - self._clock.steady())

    def _drop_failed(self):
        """Take out the Attempts that failed, but for the last one."""
        for attempt in list(self._attempts):
            error = self._error_of(attempt)
            if error is not None and len(self._attempts) > 1:
                self._drop(attempt, error)
                self._attempts.remove(attempt)

    def _error_of(self, attempt):
        """Return why an Attempt is of no use, None if it may be."""
        proof = self._proofs.get(attempt)
        if proof is None or not proof.done():
            return None
        try:
            proof.result()
            attempt.check(self._responder)
        except UpstreamError as error:
            return error
        return None


async def _end(tasks):
    """Cancel tasks, and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
