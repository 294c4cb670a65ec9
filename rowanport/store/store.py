"""The key-value store: all that lasts goes through it."""

import abc
import urllib.parse

from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreUnavailable
from ..errors import UpstreamError

VERSION_HEADER = "x-version"
INSTANCE_HEADER = "x-instance"
VALUE_LIMIT = 1024 * 1024


class Value:
    """A stored value.

    :ivar data: the bytes; empty when the key does not exist
    :ivar version: rises with each write; 0 when the key does not exist
    """

    __slots__ = ("data", "version")

    def __init__(self, data, version):
        self.data = data
        self.version = version


class Store(abc.ABC):
    """Compare-and-swap on whole values.

    Each call raises StoreUnavailable when no answer came, in which case a
    write may have taken effect, and StoreBusy when it was refused for its
    rate, in which case it has not.
    """

    @abc.abstractmethod
    async def get(self, key):
        """Return the Value of a key."""

    @abc.abstractmethod
    async def put(self, key, data, version):
        """Write a key if its version still is the given one.

        :returns: the new version
        :raises StoreConflict: the key has another version
        """

    @abc.abstractmethod
    async def watch(self, key, version, wait):
        """Return the Value once it is newer, or the same after a wait.

        :param wait: longest wait in seconds
        """


class Write:
    """One key of a write of several.

    :ivar version: version that the key must have, 0 if it must not exist,
        None for any
    :ivar lease: lease with which the key goes, or None
    """

    __slots__ = ("key", "data", "version", "lease")

    def __init__(self, key, data, version, lease=None):
        self.key = key
        self.data = data
        self.version = version
        self.lease = lease


class TransactionStore(abc.ABC):
    """Writes several keys together, or none of them."""

    @abc.abstractmethod
    async def get_value(self, key, stale=False):
        """Return the Value of a key.

        :param stale: whether an answer that is seconds old will do
        :raises StoreError: no answer
        """

    @abc.abstractmethod
    async def grant_lease(self, seconds):
        """Return the id of a new lease that ends after some seconds.

        :raises StoreError: no answer
        """

    @abc.abstractmethod
    async def renew_lease(self, lease):
        """Let a lease begin anew, with the seconds it was granted for.

        :raises LeaseOver: it has ended
        :raises StoreError: no answer; it may be renewed later
        """

    @abc.abstractmethod
    async def commit(self, writes):
        """Write all keys if each has the version that its Write names.

        :returns: the new version of all of them
        :raises StoreConflict: with the Values that the store has
        :raises LeaseOver: a lease has ended; nothing was done
        :raises StoreBusy: the store refused the call; nothing was done
        :raises StoreUnavailable: no answer; it may still take effect
        """


class KeyValueStore(Store):
    """A key-value store over HTTP, as our stand-in serves it.

    :param client: an HttpClient
    :param address: IP and port of the store
    :param instance: name of this instance
    :param timeout: longest wait for one call in seconds
    """

    def __init__(self, client, address, instance, timeout):
        self._client = client
        self._address = address
        self._headers = [(INSTANCE_HEADER, instance)]
        self._timeout = timeout
        self.reads = 0
        self.writes = 0

    async def get(self, key):
        self.reads += 1
        return await self._call("GET", _path(key), b"", self._timeout)

    async def put(self, key, data, version):
        if len(data) > VALUE_LIMIT:
            raise ValueError(f"the value of {key} is over 1 MB")
        self.writes += 1
        path = _path(key, version=version)
        value = await self._call("PUT", path, data, self._timeout)
        return value.version

    async def watch(self, key, version, wait):
        self.reads += 1
        path = _path(key, after=version, wait=wait)
        return await self._call("GET", path, b"", self._timeout + wait)

    async def _call(self, method, path, body, timeout):
        try:
            answer = await self._client.request(
                self._address,
                method,
                path,
                body,
                headers=self._headers,
                timeout=timeout,
            )
            data = await answer.read()
        except UpstreamError as error:
            raise StoreUnavailable(str(error)) from None
        if answer.status == 409:
            raise StoreConflict(path)
        if answer.status == 429:
            raise StoreBusy(path)
        if answer.status not in (200, 404):
            raise StoreUnavailable(f"status {answer.status}")
        return Value(data, int(answer.headers.get(VERSION_HEADER, 0)))


def _path(key, **query):
    path = "/kv/" + urllib.parse.quote(key)
    return path + ("?" + urllib.parse.urlencode(query) if query else "")
