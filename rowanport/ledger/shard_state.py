"""Synchronisation state of one ledger shard at one router."""


class ShardState:
    """One shard at this router: its holder, data and next sync.

    A sync reads the shard if that is due and writes the next batch.  Times
    are wall times.

    :ivar shard: shard number
    :ivar holder: the Holder
    :ivar data: the shard's bytes as last read or written
    :ivar version: version of the data in the store
    :ivar last_sync: time at which the last sync began
    :ivar next_sync: time at which the next sync is due
    :ivar next_read: time from which a sync reads the shard first
    :ivar sync_task: task of the last sync, or None
    :ivar home_until: time until which this router counts as home router
    :ivar dead_since: by holder id, the time at which a holder of this cell
        was first found dead or last recovered
    :ivar holder_number: how many holders of the shard this router has had
    """

    __slots__ = (
        "shard",
        "holder",
        "data",
        "version",
        "last_sync",
        "next_sync",
        "next_read",
        "sync_task",
        "home_until",
        "dead_since",
        "holder_number",
    )

    def __init__(self, shard, holder, holder_number):
        self.shard = shard
        self.holder = holder
        self.data = b""
        self.version = 0
        self.last_sync = 0.0
        self.next_sync = 0.0
        self.next_read = 0.0
        self.sync_task = None
        self.home_until = 0.0
        self.dead_since = {}
        self.holder_number = holder_number

    @property
    def syncing(self):
        """Return whether a sync is in progress."""
        return self.sync_task is not None and not self.sync_task.done()
