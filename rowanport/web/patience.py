"""What follows when an answer falls silent, and waits that ask for it."""

import abc
import asyncio


class Patience(abc.ABC):
    """Decides what follows when an answer falls silent."""

    @abc.abstractmethod
    async def give_up(self):
        """Return whether the answer is let go, asked at each silence."""


class NoPatience(Patience):
    """Lets an answer go at its first silence."""

    async def give_up(self):
        return True


NO_PATIENCE = NoPatience()


async def wait_patiently(reading, timeout, patience):
    """Return what a coroutine returns, however often it falls silent.

    :param timeout: longest silence in seconds, None for any
    :param patience: the Patience asked after each silence
    :raises TimeoutError: it was given up
    """
    if patience is NO_PATIENCE:
        async with asyncio.timeout(timeout):
            return await reading
    task = asyncio.ensure_future(reading)
    try:
        while True:
            await asyncio.wait((task,), timeout=timeout)
            # What came while the decision was made is not let go.
            if task.done() or await patience.give_up() and not task.done():
                break
        if not task.done():
            raise asyncio.TimeoutError
        return task.result()
    finally:
        task.cancel()
