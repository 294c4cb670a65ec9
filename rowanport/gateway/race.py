"""Races hedged runs of one request; the first to make progress wins."""

import asyncio

from ..errors import UpstreamError
from .relay import is_stream

# Seconds for which a run that makes progress waits for another one that has
# begun to answer: two engines may run the same request for at most 0.4 s.
MAX_OVERLAP = 0.3


class Race:
    """Waits for the first of several Attempts to make progress.

    An Attempt makes progress once it is ``usable``.

    :param first: the unresponsive Attempt
    :param second: its hedge
    :param responder: the Responder of the caller
    :param clock: a Clock
    :param start_hedge: function of an unresponsive Attempt that starts a
        further hedge; returns the Attempt, or None if that is not allowed
    :param drop: function that is called with a failed Attempt and its
        UpstreamError
    """

    def __init__(self, first, second, responder, clock, start_hedge, drop):
        self._attempts = [first, second]
        self._responder = responder
        self._clock = clock
        self._start_hedge = start_hedge
        self._drop = drop
        # Tasks that wait until an Attempt is usable, by Attempt.
        self._waits = {}

    @property
    def attempts(self):
        """Return the Attempts that have not failed, the oldest first."""
        return list(self._attempts)

    @property
    def _usable(self):
        """Return the latest Attempt that is usable, or None."""
        for attempt in reversed(self._attempts):
            if attempt.usable:
                return attempt
        return None

    @property
    def _winner(self):
        """Return the Attempt that wins the race, or None if undecided.

        A stream that has begun at a later Attempt runs there, so an earlier
        one does not win any more, even if it makes progress after all.
        """
        for attempt in reversed(self._attempts):
            if attempt.usable:
                return attempt
            if attempt.head_received and is_stream(attempt.answer):
                return None
        return None

    async def run(self):
        """Return the winner, or the last Attempt that has not failed.

        The last Attempt is returned even if it fails at the same time; its
        error is then raised when the caller waits for its answer.
        """
        try:
            while len(self._attempts) > 1:
                progressed = await self._wait_for_progress()
                self._drop_failed()
                winner = self._winner if progressed else self._usable
                if winner is not None:
                    return winner
        finally:
            await _cancel(self._waits.values())
        return self._attempts[0]

    async def _wait_for_progress(self):
        """Wait until an Attempt is usable or fails; return whether one did.

        If all Attempts are unresponsive for too long, a further hedge is
        started.
        """
        self._start_waits()
        pending = [wait for wait in self._waits.values() if not wait.done()]
        done, _ = await asyncio.wait(
            pending,
            timeout=self._timeout(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if done:
            return True
        if self._usable is None:
            hedge = self._start_hedge(self._attempts[-1])
            if hedge is not None:
                self._attempts.append(hedge)
        return False

    def _start_waits(self):
        for attempt in self._attempts:
            if attempt not in self._waits:
                wait = asyncio.ensure_future(attempt.wait_until_usable())
                self._waits[attempt] = wait

    def _timeout(self):
        """Return the time-out of the wait in seconds, None for no limit."""
        if self._usable is not None:
            return MAX_OVERLAP
        stalled_at = self._attempts[-1].stalled_at
        if stalled_at is None:
            return None
        return max(0.0, stalled_at - self._clock.steady())

    def _drop_failed(self):
        """Remove the Attempts that failed, except for the last one."""
        for attempt in list(self._attempts):
            error = self._error_of(attempt)
            if error is not None and len(self._attempts) > 1:
                self._drop(attempt, error)
                self._attempts.remove(attempt)

    def _error_of(self, attempt):
        """Return the UpstreamError of an Attempt, None if it has none.

        An Attempt whose stream is known to break off has failed, though events
        before that have arrived: it would end runs that may become whole.
        """
        wait = self._waits.get(attempt)
        if wait is None or not wait.done():
            return None
        try:
            wait.result()
            attempt.check(self._responder)
        except UpstreamError as error:
            return error
        return attempt.fault


async def _cancel(tasks):
    """Cancel tasks, and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
