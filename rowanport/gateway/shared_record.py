"""Keeps a record in the store that outlives a failure of all routers."""

import abc
import asyncio

import structlog

from ..errors import MessageError
from ..errors import StoreConflict
from ..errors import StoreError
from ..store import Value
from ..store import Write
from ..supervision import beat
from .store_watchers import store_watchers

LOG = structlog.get_logger(__name__)

# Interval in seconds of checks whether to read or write the record.
CHECK_INTERVAL = 0.5
# Seconds after the start until the record is read: by then a router knows
# whether it is one of the few that access the store for a large fleet.
LOAD_DELAY = 0.5
# Consecutive writes that are tried after conflicts with other routers.
MAX_CONFLICTS = 4


class SharedRecord(abc.ABC):
    """Reads a record at the start, and writes it when it is outdated.

    :param store: a TransactionStore
    :param members: the Membership
    :param address: this router's peer address
    :param clock: a Clock
    :cvar key: the key in the store
    :cvar name: what the events of the log begin with
    """

    key = ""
    name = ""

    def __init__(self, store, members, address, clock):
        self._store = store
        self._members = members
        self._address = address
        self._clock = clock
        self._value = Value(b"", 0)
        self._loaded = False
        self._load_at = clock.steady() + LOAD_DELAY
        self._failing = False
        self._changed = asyncio.Event()

    @abc.abstractmethod
    def _receive(self, data):
        """Apply the record that was read at the start.

        :param data: its bytes, empty if there is none
        :raises MessageError: the bytes are malformed
        """

    @abc.abstractmethod
    def _must_save(self):
        """Return whether this router is to write the record now."""

    @abc.abstractmethod
    def _merge(self, data):
        """Return the bytes to write.

        :param data: the stored bytes, empty if there are none
        :raises MessageError: the stored bytes are malformed
        """

    @abc.abstractmethod
    def _on_saved(self, data):
        """Record that some bytes were written."""

    def _on_conflict(self, data):
        """Record that another router has written some bytes meanwhile.

        :raises MessageError: the bytes are malformed
        """

    def schedule(self):
        """Check at once whether to write, as something changed."""
        self._changed.set()

    async def run(self):
        """Keep the record up to date until cancelled."""
        while True:
            beat()
            try:
                await self._load_and_save()
                self._failing = False
            except StoreError as error:
                self._log_failure(error)
            except MessageError as error:
                LOG.error(f"{self.name}_unreadable", error=str(error))
                # The next write replaces it with what is known here.
                self._value = Value(b"", self._value.version)
            await self._wait()

    async def _wait(self):
        try:
            async with asyncio.timeout(CHECK_INTERVAL):
                await self._changed.wait()
        except asyncio.TimeoutError:
            return
        self._changed.clear()

    def _log_failure(self, error):
        if not self._failing:
            self._failing = True
            LOG.info(f"{self.name}_store_failed", error=str(error))

    @property
    def _must_load(self):
        """Return whether this router is to read the record now."""
        if self._loaded or self._clock.steady() < self._load_at:
            return False
        return self._address in store_watchers(self._members)

    async def _load_and_save(self):
        if self._must_load:
            self._value = await self._store.get_value(self.key)
            self._loaded = True
            self._receive(self._value.data)
        if self._must_save():
            await self._save()

    async def _save(self):
        for _attempt in range(MAX_CONFLICTS):
            data = self._merge(self._value.data)
            write = Write(self.key, data, self._value.version)
            try:
                version = await self._store.commit([write])
            except StoreConflict as conflict:
                empty = Value(b"", 0)
                self._value = conflict.values.get(self.key, empty)
                self._on_conflict(self._value.data)
                if not self._must_save():
                    return
                continue
            self._value = Value(data, version)
            self._on_saved(data)
            return
