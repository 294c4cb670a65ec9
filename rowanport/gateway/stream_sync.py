"""Lets streams go on at the version that began them, at any router.

The version of a stream is announced before its first event is passed on, to
the routers that keep the records of its id.  A router that takes up a stream
asks these, and in a small fleet all others, too.
"""

import asyncio

import structlog

from ..errors import ErrorKind
from ..errors import PeerError
from ..errors import RequestError
from ..hashing import rendezvous
from ..incarnation import address_of
from ..incarnation import HISTORY_PROTOCOL
from ..schema.messages import Ack
from ..schema.messages import StreamAnswer
from ..schema.messages import StreamAsk
from ..schema.messages import StreamNews
from ..schema.messages import StreamRow
from ..tasks import TaskSet
from ..versions import HISTORY_SECONDS
from ..versions import Knowledge
from ..versions import resolve
from ..versions import stream_key
from ..versions import StreamVersions
from ..versions import VersionHistory
from .store_watchers import FULL_MESH_LIMIT
from .store_watchers import store_watchers

LOG = structlog.get_logger(__name__)

# Routers that keep the record of a stream besides the one that began it, and
# how many of those that follow them are asked in a large fleet, as the one
# that announced it may have seen other members.
KEEPERS = 2
MAX_ASKED = 4
# Time-out in seconds of a question: many round trips within a region, and
# short compared to every objective.
ASK_TIMEOUT = 0.15
# Time-out in seconds of an announcement that needs a new connection.
ANNOUNCE_TIMEOUT = 1.0
# Seconds beyond the time-out of a route for which the versions have to be
# known where no router has left a record of them: a first try may have waited
# for a connection.
SPAN_MARGIN = 2.0
# Protocol of routers that keep versions of streams.
STREAM_PROTOCOL = 2
# Maximum records in one message of a planned stop.
MAX_ROWS = 500


class StreamSync:
    """The versions of streams, shared with the peers.

    :param peers: a PeerClient
    :param members: the Membership
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    :ivar history: the VersionHistory
    :ivar on_versions: function that is called when a service has a new
        version or lost one
    """

    def __init__(self, peers, members, address, clock, metrics):
        self._peers = peers
        self._members = members
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._streams = StreamVersions()
        self._tasks = TaskSet()
        self.history = VersionHistory()
        self.on_versions = None

    def update(self, upstreams):
        """Apply a list of Upstreams."""
        if self.history.update(upstreams, self._clock.steady()):
            self.on_versions()

    # Announcing

    def begin(self, job, version):
        """Bind a job to the version whose first event is about to be sent.

        :param version: version of the upstream that wrote the event
        """
        job.version = version
        key = _key(job)
        self._streams.record(key, version, self._clock.steady())
        news = StreamNews([StreamRow(key, version, 0.0)])
        self._announce(self._keepers(key)[:KEEPERS], news)

    def _announce(self, addresses, news):
        for address in addresses:
            if not self._members.speaks(address, STREAM_PROTOCOL):
                continue
            if self._peers.is_connected(address):
                self._peers.tell([address], news)
            else:
                self._tasks.spawn(self._call(address, news))

    async def _call(self, address, news):
        try:
            await self._peers.call(address, news, ANNOUNCE_TIMEOUT)
        except PeerError as error:
            LOG.info("streams_not_announced", peer=address, error=str(error))

    def _keepers(self, key):
        """Return the addresses of routers, the keepers of a stream first."""
        return rendezvous(f"streams/{key}", store_watchers(self._members))

    def receive(self, news):
        """Record the rows of a peer's StreamNews."""
        now = self._clock.steady()
        for row in news.rows:
            self._streams.record(row.key, row.version, now, row.age)
        return Ack()

    def hand_off(self):
        """Announce all records to the other routers, before a planned stop."""
        rows = {}
        for key, version, age in self._streams.rows(self._clock.steady()):
            row = StreamRow(key, version, age)
            others = [a for a in self._keepers(key) if a != self._address]
            for address in others[:KEEPERS]:
                rows.setdefault(address, []).append(row)
        for address, own in rows.items():
            for first in range(0, len(own), MAX_ROWS):
                news = StreamNews(own[first : first + MAX_ROWS])
                self._announce([address], news)

    # Taking up

    async def bind(self, job):
        """Bind a job that takes up a stream to the version that began it.

        :raises RequestError: the version is not known for sure
        """
        span = job.route.timeout + SPAN_MARGIN
        ask = StreamAsk(_key(job), job.service, HISTORY_SECONDS)
        resolution = resolve([self._knowledge(ask)], False, span)
        if resolution.reason == "unanswered":
            named = job.resumes is not None
            resolution = await self._resolve(ask, named, span)
        self._metrics.resumptions.inc({"outcome": resolution.reason})
        LOG.info(
            "stream_taken_up",
            request=job.id,
            resumes=job.resumes,
            version=resolution.version,
            reason=resolution.reason,
        )
        if resolution.version is None:
            raise RequestError(
                ErrorKind.NO_UPSTREAM,
                f"the version of the stream is {resolution.reason}",
            )
        job.version = resolution.version

    async def _resolve(self, ask, named, span):
        """Return the Resolution by what the peers know.

        :param named: whether the caller names the stream, so that its keepers
            may know it
        :param span: seconds for which some router has to know all versions
        """
        peers = self._peers_to_ask(ask.key)
        answers = await asyncio.gather(*(self._ask(p, ask) for p in peers))
        answered = {self._address} | {
            peer for peer, answer in zip(peers, answers) if answer is not None
        }
        known = [answer for answer in answers if answer is not None]
        known.append(self._knowledge(ask))
        keepers = self._keepers(ask.key)[:KEEPERS] if named else ()
        return resolve(known, answered.issuperset(keepers), span)

    def _peers_to_ask(self, key):
        keepers = self._keepers(key)[:MAX_ASKED]
        others = self._members.live_peers()
        if len(others) <= FULL_MESH_LIMIT:
            keepers += [address_of(other) for other in others]
        return sorted(
            address
            for address in {*keepers} - {self._address}
            if self._members.speaks(address, STREAM_PROTOCOL)
        )

    async def _ask(self, address, ask):
        """Return the Knowledge of a peer, None without an answer."""
        try:
            answer = await self._peers.call(address, ask, ASK_TIMEOUT)
        except PeerError as error:
            LOG.info("stream_unanswered", peer=address, error=str(error))
            return None
        version = answer.version or None
        watched = answer.watched
        if not self._members.speaks(address, HISTORY_PROTOCOL):
            # It knows what it listed itself, not what others did before it.
            watched = 0.0
        return Knowledge(version, set(answer.versions), watched)

    def _knowledge(self, ask):
        """Return what this router knows of the stream of a StreamAsk."""
        now = self._clock.steady()
        return Knowledge(
            self._streams.find(ask.key, now),
            self.history.versions(ask.service, now),
            self.history.watched(now),
        )

    def answer(self, ask):
        """Answer a peer's StreamAsk."""
        known = self._knowledge(ask)
        return StreamAnswer(
            known.version or "", sorted(known.versions), known.watched
        )

    def close(self):
        """End the announcements under way."""
        self._tasks.cancel()


def _key(job):
    """Return the key of the stream that a job begins or takes up."""
    organisation = job.organisation and job.organisation.name
    return stream_key(organisation, job.resumes or job.id)
