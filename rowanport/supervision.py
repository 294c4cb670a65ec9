"""Loops that must run as long as their process.

One that ends is started again, and one that hangs is noticed.  A router whose
loop stands still would serve on by what it knew then: tokens that nobody
renews, a configuration that stays as it was.
"""

import asyncio
import contextvars
import math

import structlog

LOG = structlog.get_logger(__name__)

# Seconds before a loop that ended is started again, the first time and at
# most; the pause doubles in between.  A fault that stays costs few starts.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 5.0
# Seconds after a start from which a loop is taken for sound again.
SOUND_SECONDS = 5.0
# Ends in a row, each before the loop was sound, from which it keeps failing.
FAILING_ENDS = 3
# Seconds between two looks at which loops hang.
CHECK_SECONDS = 1.0

# The loop that the running task belongs to.
_running = contextvars.ContextVar("loop", default=None)


def beat():
    """Note that the loop of the running task goes on; call it each round."""
    loop = _running.get()
    if loop is not None:
        loop.beat()


class _Loop:
    """One loop and how it fares.

    :ivar ends: ends in a row since it was last sound
    :ivar sound_at: steady time from which it is sound if it runs till then,
        None while it does not run
    :ivar beat_at: steady time of its last beat, or of its start
    :ivar hangs: whether it was found hanging
    """

    __slots__ = (
        "name",
        "function",
        "ends",
        "sound_at",
        "beat_at",
        "hangs",
        "_longest_round",
        "_clock",
    )

    def __init__(self, name, function, longest_round, clock):
        self.name = name
        self.function = function
        self.ends = 0
        self.sound_at = None
        self.beat_at = clock.steady()
        self.hangs = False
        self._longest_round = longest_round
        self._clock = clock

    def start(self):
        """Note that it starts."""
        self.sound_at = self._clock.steady() + SOUND_SECONDS
        self.beat()

    def beat(self):
        """Note that it goes on."""
        self.beat_at = self._clock.steady()

    def is_silent(self, now):
        """Return whether it runs, and goes on no more."""
        late = now > self.beat_at + self._longest_round
        return self.sound_at is not None and late

    def is_sound(self, now):
        """Return whether it has run well for a while."""
        return self.sound_at is not None and now >= self.sound_at

    def is_failing(self, now):
        """Return whether it has ended again and again, or hangs."""
        if self.is_silent(now):
            return True
        return self.ends >= FAILING_ENDS and not self.is_sound(now)

    @property
    def pause(self):
        """Return the seconds before its next start."""
        return min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (self.ends - 1))


class Supervisor:
    """Keeps loops running, and knows which of them keep failing.

    :param tasks: a TaskSet in which they run; to cancel it ends them all
    :param clock: a Clock
    :param on_restart: function that is given a loop's name as it is started
        again
    """

    def __init__(self, tasks, clock, on_restart):
        self._tasks = tasks
        self._clock = clock
        self._on_restart = on_restart
        self._loops = []
        self._check = None

    @property
    def failing(self):
        """Return the names of the loops that keep failing, or hang."""
        now = self._clock.steady()
        return [loop.name for loop in self._loops if loop.is_failing(now)]

    def silences(self):
        """Return by loop the seconds since its last beat."""
        now = self._clock.steady()
        return {loop.name: now - loop.beat_at for loop in self._loops}

    def start(self, name, function, longest_round=math.inf):
        """Run a loop until the tasks are cancelled.

        :param name: what it does, for logs and metrics
        :param function: coroutine function that does not return
        :param longest_round: seconds from which it hangs if it did not call
            beat()
        """
        loop = _Loop(name, function, longest_round, self._clock)
        self._loops.append(loop)
        self._tasks.spawn(self._keep(loop))
        if self._check is None:
            self._check = self._tasks.spawn(self._check_beats())

    async def _check_beats(self):
        """Log which loops hang, and which of them go on again."""
        while True:
            now = self._clock.steady()
            for loop in self._loops:
                hangs = loop.is_silent(now)
                if hangs != loop.hangs:
                    loop.hangs = hangs
                    LOG.error(
                        "loop_hangs" if hangs else "loop_goes_on",
                        loop=loop.name,
                        silent=round(now - loop.beat_at, 1),
                    )
            await asyncio.sleep(CHECK_SECONDS)

    async def _keep(self, loop):
        _running.set(loop)
        while True:
            loop.start()
            error = await _run(loop.function)
            self._note_end(loop, error)
            restart_at = self._clock.steady() + loop.pause
            while self._clock.steady() < restart_at:
                await asyncio.sleep(restart_at - self._clock.steady())
            self._on_restart(loop.name)
            LOG.info("loop_restarted", loop=loop.name, ends=loop.ends)

    def _note_end(self, loop, error):
        if loop.is_sound(self._clock.steady()):
            loop.ends = 0
        loop.ends += 1
        loop.sound_at = None
        LOG.error(
            "loop_failed",
            loop=loop.name,
            ends=loop.ends,
            failing=loop.ends >= FAILING_ENDS,
            exc_info=error,
        )


async def _run(function):
    """Run a loop until it ends; return the error, None if it returned.

    :raises asyncio.CancelledError: the task that runs it was cancelled
    """
    try:
        await function()
    except asyncio.CancelledError as error:
        # One that the loop met in something it waited for is no end of ours.
        if asyncio.current_task().cancelling():
            raise
        return error
    except Exception as error:
        return error
    return None
