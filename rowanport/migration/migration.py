"""The protocol of one run's move to another engine, as a state machine."""

import enum


class Phase(enum.Enum):
    """Where a Migration stands.

    COPYING: the run goes on at the source, and its memory is copied.
    STOPPING: the source was told to stop the run.
    RESUMING: the run goes on at the target.
    RETURNING: the target did not run it, so it goes on at the source.
    DONE: it was resumed, or it ended at the source.
    DROPPED: it cannot be resumed.
    """

    COPYING = "copying"
    STOPPING = "stopping"
    RESUMING = "resuming"
    RETURNING = "returning"
    DONE = "done"
    DROPPED = "dropped"


class Place:
    """An engine that takes part in a move.

    :ivar run: its UpstreamRun; a restarted engine has no copy
    :ivar address: its IP and port
    """

    __slots__ = ("run", "address")

    def __init__(self, run, address):
        self.run = run
        self.address = address


class Migration:
    """One move of a run, or the backup of one.

    The run executes at one engine at most: it is resumed only after the source
    ended its stream, and returns to the source only after the target answered
    that it did not run it.  A handle is used once at each engine.

    :param source: Place of the engine that executes the run
    :param target: Place of the engine that receives the copy
    :param version: version of the source, at which alone the run may go on
    :param handle: name of the copy if the source makes it by itself as the run
        grows (a backup), None if the router asks for it (a move)
    :ivar phase: the Phase
    """

    __slots__ = (
        "phase",
        "source",
        "target",
        "version",
        "_handle",
        "_is_backup",
        "_stopped",
        "_not_stopped",
        "_target_failed",
    )

    def __init__(self, source, target, version, handle=None):
        self.phase = Phase.COPYING
        self.source = source
        self.target = target
        self.version = version
        self._handle = handle
        self._is_backup = handle is not None
        self._stopped = False
        self._not_stopped = False
        self._target_failed = False

    @property
    def handle(self):
        """Return the name of the copy, None while there is none."""
        return self._handle

    @property
    def is_backup(self):
        """Return whether the source copies the run by itself."""
        return self._is_backup

    @property
    def ended(self):
        """Return whether nothing of it is left to do."""
        return self.phase in (Phase.DONE, Phase.DROPPED)

    @property
    def place(self):
        """Return the Place at which the run is to be resumed, or None."""
        if self.phase is Phase.RESUMING:
            return self.target
        if self.phase is Phase.RETURNING:
            return self.source
        return None

    @property
    def holds_copy(self):
        """Return whether a copy may exist that was not used."""
        if self._handle is None:
            return False
        return self.phase in (Phase.COPYING, Phase.STOPPING)

    @property
    def copy_address(self):
        """Return the address that names the copy in a request to resume.

        That is the target's for a backup, the source's for a move.
        """
        return (self.target if self._is_backup else self.source).address

    @property
    def may_have_stopped(self):
        """Return whether the source may have stopped the run.

        It then closes its stream without its end.
        """
        return self.phase is Phase.STOPPING and not self._not_stopped

    def fits(self, run, version):
        """Return whether a listed upstream may resume the run.

        :param run: UpstreamRun that is listed under the id now
        :param version: version that is listed for it now
        """
        place = self.place
        if place is None or place.run != run:
            return False
        return self.version == version != ""

    # Copying, of a move

    def record_copy(self, handle):
        """Record that the source copied the run's memory to the target."""
        if self.phase is Phase.COPYING:
            self._handle = handle

    def begin_stop(self):
        """Record that the source is about to be told to stop the run.

        :returns: whether it may be told; it may not without a copy
        """
        if self.phase is not Phase.COPYING or self._handle is None:
            return False
        self.phase = Phase.STOPPING
        return True

    def record_stop(self, handle, copied):
        """Record that the source stopped the run, and keeps its memory.

        :param handle: name under which it keeps the memory
        :param copied: whether the target has the whole copy
        """
        if self.phase is Phase.STOPPING:
            self._handle = handle
            self._stopped = True
            self._target_failed = not copied

    def record_no_stop(self):
        """Record that the source answered that it did not stop the run."""
        self._not_stopped = True

    # The end of the source's stream

    def record_end(self, closed):
        """Record that the source's stream broke off.

        :param closed: whether the source itself ended the connection; the run
            may go on at a source that only fell silent
        """
        if self.phase not in (Phase.COPYING, Phase.STOPPING):
            return
        if self._stopped and self._target_failed:
            self.phase = Phase.RETURNING
        elif self._handle is not None and (closed or self._stopped):
            self.phase = Phase.RESUMING
        else:
            self.phase = Phase.DROPPED

    def record_complete(self):
        """Record that the answer was forwarded completely."""
        if self.phase is not Phase.DROPPED:
            self.phase = Phase.DONE

    # Resuming

    def record_refusal(self):
        """Record that the engine did not run the request to resume."""
        if self.phase is Phase.RESUMING and self._stopped:
            self.phase = Phase.RETURNING
        elif self.place is not None:
            self.phase = Phase.DROPPED

    def drop(self):
        """Give up: the run may have been resumed, or nobody waits for it."""
        if self.phase is not Phase.DONE:
            self.phase = Phase.DROPPED
