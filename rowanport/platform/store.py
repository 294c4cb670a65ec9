"""The client of the platform's key-value store."""

import asyncio
import base64
import json
import urllib.parse

from ..errors import BoundExceeded
from ..errors import ConnectionSilent
from ..errors import LeaseOver
from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreError
from ..errors import StoreSilent
from ..errors import StoreUnavailable
from ..errors import UpstreamError
from ..json_values import load_json
from ..store import Reachability
from ..store import TransactionStore
from ..store import Value
from ..store import Write
from ..store.store import PROBE_KEY

# Longest wait for one call in seconds: the store answers in 4 ms, and in
# some hundred when it is slow.
CALL_TIMEOUT = 1.0
# Longest wait of a watch in seconds; each watch that returns costs a call.
WATCH_SECONDS = 20.0
# Bytes of one answer, and seconds for its body: a link of 5 Mbit/s passes
# them in 7 s.  A watch and its answer stay below the 30 s after which a loop
# counts as hung.
ANSWER_LIMIT = 4 * 1024 * 1024
BODY_SECONDS = 8.0
# Items of one listing over all its pages: a hundred for each router and
# upstream of a fleet of a thousand.
LISTING_LIMIT = 100000
BUSY = (429, 503)


class HistoryLost(StoreError):
    """The store no longer knows what happened since a revision."""


class Item:
    """One key as a read or a watch gives it.

    :ivar key: its name
    :ivar data: its bytes, None if the key is gone
    :ivar revision: of its last change
    """

    __slots__ = ("key", "data", "revision")

    def __init__(self, row):
        """Read it from an answer; raise ValueError if it is malformed."""
        self.key = _read(row, "private_key", str)
        self.revision = _read(row, "revision", int)
        self.data = None
        if not row.get("gone"):
            self.data = base64.b64decode(_read(row, "value", str))


class Listing:
    """Items, and the store's revision up to which they are known."""

    __slots__ = ("items", "revision")

    def __init__(self, items, revision):
        self.items = items
        self.revision = revision


class PlatformStore(TransactionStore):
    """Calls the platform's store.

    Each call raises StoreUnavailable when no answer came, in which case a
    write may still take effect, and StoreBusy when it was refused.

    :param client: an HttpClient
    :param address: IP and port of the store
    :param clock: a Clock
    """

    def __init__(self, client, address, clock):
        self._client = client
        self._address = address
        self._clock = clock
        self._reach = Reachability(self._probe, clock)
        self._reach.on_stalled = client.doubt

    @property
    def on_exceeded(self):
        """Return what is told of answers beyond a bound, or None."""
        return self._client.on_exceeded

    @on_exceeded.setter
    def on_exceeded(self, function):
        self._client.on_exceeded = function

    @property
    def reach(self):
        """Return the Reachability: whether the store answers calls at all.

        Watches do not count: one that waits may be cut at any time.
        """
        return self._reach

    async def _probe(self, fresh):
        # A stale read costs a tenth and is not counted in the rate.
        query = {"private_key": PROBE_KEY, "stale": 1}
        await self._exchange("GET", "/kv-key", query, fresh=fresh)

    async def get(self, key, stale=False):
        """Return the Listing of one key, empty if it does not exist.

        :param stale: whether an answer that is seconds old will do; it
            costs a tenth
        """
        query = {"private_key": key}
        if stale:
            query["stale"] = 1
        status, answer = await self._call("GET", "/kv-key", query)
        if status == 404:
            return Listing([], _field(answer, "at", 0))
        return _listing(answer, [answer])

    async def get_value(self, key, stale=False):
        listing = await self.get(key, stale)
        if not listing.items:
            return Value(b"", 0)
        return Value(listing.items[0].data, listing.items[0].revision)

    async def list(self, prefix, stale=False):
        """Return the Listing of all keys that begin with a prefix.

        :param stale: whether an answer that is seconds old will do; it
            costs a tenth
        """
        items = []
        revision = None
        query = {"path_prefix": prefix}
        if stale:
            query["stale"] = 1
        while True:
            _status, answer = await self._call("GET", "/kv-range", query)
            page = _listing(answer, answer.get("items"))
            items += page.items
            if revision is None:
                revision = page.revision
            if not answer.get("more"):
                return Listing(items, revision)
            _check_page(page, query.get("start_after_rev"), len(items))
            query["start_after_rev"] = items[-1].key

    async def watch(self, prefix, revision, fresh=False):
        """Wait for changes after a revision; return them as a Listing.

        :param fresh: whether to use no kept connection
        :raises HistoryLost: the store does not know them any more
        :raises StoreSilent: the connection is given up, a new one may work
        """
        query = {
            "path_prefix": prefix,
            "start_after_rev": revision,
            "wait_ms": int(WATCH_SECONDS * 1000),
        }
        timeout = WATCH_SECONDS + CALL_TIMEOUT
        status, answer = await self._exchange(
            "GET", "/kv-watch", query, timeout=timeout, fresh=fresh
        )
        if status == 410:
            raise HistoryLost(prefix)
        return _listing(answer, answer.get("events"))

    async def commit(self, writes):
        expected = [
            {"private_key": write.key, "revision": write.version}
            for write in writes
            if write.version is not None
        ]
        puts = [_put(w.key, w.data, w.lease or 0) for w in writes]
        status, answer = await self._transact(expected, puts)
        if status == 412:
            items = _items(answer.get("items", []))
            values = {i.key: Value(i.data, i.revision) for i in items}
            raise StoreConflict("a key has changed", values)
        if status == 404:
            raise LeaseOver("the lease of a key")
        return _field(answer, "revision")

    async def put_leased(self, key, data, lease):
        """Write a key that goes when a lease ends.

        :raises LeaseOver: there is no such lease
        """
        await self.commit([Write(key, data, None, lease)])

    async def grant_lease(self, seconds):
        """Return the id of a new lease."""
        body = {"ttl_ms": int(seconds * 1000)}
        _status, answer = await self._call("POST", "/kv-lease", body=body)
        return _field(answer, "lease")

    async def renew_lease(self, lease):
        """Renew a lease; raise LeaseOver if it has ended."""
        status, _answer = await self._call("POST", f"/kv-keep/{lease}")
        if status == 404:
            raise LeaseOver(str(lease))

    async def _transact(self, expected, puts):
        body = {"expected_rev": expected, "put": puts, "remove": []}
        return await self._call("POST", "/kv-txn", body=body)

    async def _call(self, method, path, query=None, body=None):
        if not self._reach.up:
            raise StoreBusy("the store is away")
        sent_at = self._clock.steady()
        try:
            answer = await self._exchange(method, path, query, body)
        except StoreError:
            self._reach.record_failure()
            raise
        self._reach.record_answer(sent_at)
        return answer

    def _endless(self):
        """Report a body that takes too long; return the error."""
        error = BoundExceeded("seconds of a body", BODY_SECONDS)
        self._client.note_exceeded(self._address, error)
        return error

    async def _exchange(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout=CALL_TIMEOUT,
        fresh=False,
    ):
        if query:
            path += "?" + urllib.parse.urlencode(query)
        data = b"" if body is None else json.dumps(body).encode()
        headers = [("content-type", "application/json")] if data else []
        try:
            answer = await self._client.request(
                self._address,
                method,
                path,
                data,
                headers,
                timeout,
                fresh=fresh,
            )
            try:
                async with asyncio.timeout(BODY_SECONDS):
                    text = await answer.read(ANSWER_LIMIT)
            except asyncio.TimeoutError:
                answer.close()
                raise self._endless() from None
        except ConnectionSilent as error:
            raise StoreSilent(str(error)) from None
        except UpstreamError as error:
            if not error.started:
                raise StoreBusy(str(error)) from None
            raise StoreUnavailable(str(error)) from None
        if answer.status in BUSY:
            raise StoreBusy(f"status {answer.status}")
        if answer.status not in (200, 404, 410, 412):
            raise StoreUnavailable(f"status {answer.status}")
        if not (text or answer.framed):
            # Each answer of the store has a body; this one may have been cut.
            raise StoreUnavailable("an empty answer without a length")
        try:
            fields = load_json(text or b"{}")
        except ValueError:
            raise StoreUnavailable("the answer is not JSON") from None
        if not isinstance(fields, dict):
            raise _malformed(f"{fields!r:.80}")
        return answer.status, fields


def _check_page(page, after, count):
    """Raise StoreUnavailable unless another page of a listing is to come.

    :param after: key after which the page begins, None for the first one
    :param count: items of the listing so far
    """
    if not page.items or after is not None and page.items[-1].key <= after:
        raise _malformed("the listing goes nowhere")
    if count > LISTING_LIMIT:
        raise StoreUnavailable(f"more than {LISTING_LIMIT} items")


def _malformed(why):
    return StoreUnavailable(f"malformed answer: {why}")


def _read(row, field, type_):
    """Return a field's value; raise ValueError unless it has a type."""
    value = row.get(field) if isinstance(row, dict) else None
    # A bool is an int to Python only.
    if not isinstance(value, type_) or isinstance(value, bool):
        raise ValueError(f"{field} is {value!r:.80}")
    return value


def _field(answer, name, default=None):
    """Return a whole number; raise StoreUnavailable if it is none.

    :param default: what a missing one counts as, None if it must be there
    """
    try:
        return _read({name: default, **answer}, name, int)
    except ValueError as error:
        raise _malformed(error) from None


def _items(rows):
    """Return the Items in an answer; raise StoreUnavailable if unfit."""
    try:
        if not isinstance(rows, list):
            raise ValueError(f"items are {rows!r:.80}")
        return [Item(row) for row in rows]
    except ValueError as error:
        raise _malformed(error) from None


def _listing(answer, rows):
    """Return the Listing in an answer; raise StoreUnavailable if unfit."""
    return Listing(_items(rows), _field(answer, "at"))


def _put(key, data, lease):
    value = base64.b64encode(data).decode()
    return {"private_key": key, "value": value, "lease": lease}
