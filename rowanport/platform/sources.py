"""Feeds configuration and upstreams from the platform's store."""

import abc
import asyncio
import functools
import math

import structlog

from ..errors import MessageError
from ..errors import StoreBusy
from ..errors import StoreError
from ..errors import StoreSilent
from ..evacuations import EvacuationChange
from ..gateway.expired_entries import EXPIRY_GRACE
from ..gateway.freshness import WatchAge
from ..gateway.upstream import UpstreamList
from ..json_values import load_json
from ..supervision import beat
from ..warmup import cold_until
from .entries import decode_entry
from .entries import EntryBook
from .store import HistoryLost
from .store import Listing

LOG = structlog.get_logger(__name__)

CONFIG_KEY = "op/config"
CONFIG_PREFIX = "op/"
# A key for each evacuated data centre, whose name follows.  That the key is
# there is all that it says.
EVACUATION_PREFIX = "op/evacuate/"
# Largest usual size in bytes of the value of such a key.
RECORD_LIMIT = 4096
UPSTREAM_PREFIX = "servers/"
# Seconds between two looks whether this router is to follow the store.
DUTY_POLL = 0.5
# The same for a router that just started: as soon as it knows that its fleet
# ran before it is to follow the store, and not to serve by what is old.
YOUNG_POLL = 0.05
# Pause in seconds after a failed call.
FAILED_PAUSE = 0.2
# Pause after each change, so that changes in quick succession cost one
# call; an upstream that leaves may get work for 2 s.
BATCH_PAUSE = 0.2
# The same for a router that just started: all of a fleet follow the store
# then, and where upstreams start too there are changes all the time.  It hears
# of them from its peers meanwhile, as any router does.
YOUNG_PAUSE = 2.0
# Age in seconds of its views from which on it does not wait that long: nobody
# else follows the store.
YOUNG_AGE = 0.9
# Seconds between two calls of the store by a router that follows it, while no
# peer confirms that its link passes what the store tells.
CONFIRM_PAUSE = 0.5
# Part of all entries that have to go together to be taken for lapsed though
# no outage was seen.
LAPSE_SHARE = 0.5


class _Source(abc.ABC):
    """Lists a prefix, then follows its changes; lists again when lost.

    :param store: a PlatformStore
    :param clock: a Clock
    """

    prefix = ""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._revision = None
        self._failing = False
        self._silent = False
        self._age = WatchAge()

    @abc.abstractmethod
    async def load(self, views):
        """Read all; return the revision from which to watch."""

    @abc.abstractmethod
    async def load_old(self, views):
        """Read all as it was seconds ago, unless more is known meanwhile."""

    @abc.abstractmethod
    def is_known(self, views):
        """Return whether there is anything to serve by."""

    @abc.abstractmethod
    def change(self, views, listing):
        """Take in a Listing of changes."""

    async def run(self, views):
        """Feed the Views until cancelled."""
        views.freshness.register_watch(
            self.prefix, self._age, self._store.reach
        )
        while True:
            beat()
            try:
                await self._wait_for_duty(views)
                await self._follow(views)
            except HistoryLost:
                LOG.info("watch_history_lost", prefix=self.prefix)
                self._revision = None
            except StoreSilent as error:
                # A new connection may work, and nothing is lost before it
                # does not: no pause, and no second read of all.
                self._silent = True
                LOG.info("watch_silent", prefix=self.prefix, error=str(error))
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(FAILED_PAUSE)
                await self._store.reach.wait_up()

    async def _wait_for_duty(self, views):
        """Wait until this router is one of those that follow the store."""
        while not views.watches_store:
            # What happens meanwhile comes from peers, also what is newer than
            # an old answer, which costs a tenth of a new one.
            self._revision = None
            self._age.reset()
            beat()
            if not self.is_known(views):
                await self.load_old(views)
                self._note_success()
            await asyncio.sleep(YOUNG_POLL if views.starting_up else DUTY_POLL)

    async def _follow(self, views):
        if self._revision is None:
            sent_at = self._clock.steady()
            self._revision = await self.load(views)
            self._age.record_read(sent_at)
            self._note_success()
        listing = await self._watch(views)
        self._note_success()
        self._revision = max(self._revision, listing.revision)
        if listing.items:
            self.change(views, listing)
            await self._pause(views)

    async def _pause(self, views):
        """Wait while changes gather that one call tells all of."""
        until = self._clock.steady() + YOUNG_PAUSE
        await asyncio.sleep(BATCH_PAUSE)
        while views.starting_up and self._clock.steady() < until:
            freshness = views.freshness
            if freshness.aging and freshness.age > YOUNG_AGE:
                break
            await asyncio.sleep(BATCH_PAUSE)

    async def _watch(self, views):
        """Wait for changes, no longer than the store can be reached.

        :raises StoreError: it cannot, or there was no answer
        """
        if not self._store.reach.up:
            raise StoreBusy("the store is away")
        watch = asyncio.ensure_future(
            self._store.watch(self.prefix, self._revision, self._silent)
        )
        self._silent = False
        self._age.begin(self._clock.steady())
        down = asyncio.ensure_future(self._store.reach.wait_down())
        silence = asyncio.ensure_future(self._store.reach.wait_stalled())
        try:
            await asyncio.wait(
                (watch, down, silence), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                listing = watch.result()
                self._age.complete(views.freshness.contact_at)
                return listing
            if down.done():
                raise StoreBusy("the store is away")
            raise StoreSilent("kept connections turned out silent")
        finally:
            self._age.abort(views.freshness.contact_at)
            watch.cancel()
            down.cancel()
            silence.cancel()

    def _note_failure(self, error):
        if not self._failing:
            self._failing = True
            LOG.info("watch_lost", prefix=self.prefix, error=str(error))
        # Nobody else may call the store at this time, and what became of it
        # decides whether entries that go are taken for lapsed.
        self._store.reach.record_failure()
        # A list is quicker than a watch to say that the store is back.
        self._revision = None

    def _note_success(self):
        if self._failing:
            self._failing = False
            LOG.info("watch_back", prefix=self.prefix)


class ConfigSource(_Source):
    """Feeds what operators write: configuration and evacuations."""

    prefix = CONFIG_PREFIX

    def __init__(self, store, clock):
        super().__init__(store, clock)
        # Revision of each record of an evacuation that was unreadable.
        self._unreadable = {}

    async def load(self, views):
        listing = await self._store.list(self.prefix)
        self._apply_config(views, listing)
        self._check_records(views, listing)
        changes = _evacuation_changes(listing)
        names = [change.data_centre for change in changes]
        views.apply_evacuations(listing.revision, names, "store")
        return listing.revision

    async def load_old(self, views):
        # Neither goes back to what an old answer says.  That a record is
        # missing says nothing, as nobody knows how old the answer is.
        self.change(views, await self._store.list(self.prefix, stale=True))

    def is_known(self, views):
        return views.table is not None

    def change(self, views, listing):
        self._apply_config(views, listing)
        self._check_records(views, listing)
        views.apply_evacuation_changes(_evacuation_changes(listing), "store")

    @staticmethod
    def _apply_config(views, listing):
        for item in listing.items:
            if item.key == CONFIG_KEY and item.data is not None:
                views.apply_config(item.data, "store")

    def _check_records(self, views, listing):
        """Log and count records of evacuations with unexpected content.

        They are in force all the same: that they exist is unmistakable.
        """
        for item in listing.items:
            evacuation = item.key.startswith(EVACUATION_PREFIX)
            if not evacuation or item.data is None or is_record(item.data):
                continue
            if self._unreadable.get(item.key) != item.revision:
                self._unreadable[item.key] = item.revision
                views.evacuations.unreadable += 1
                LOG.error(
                    "evacuation_unreadable",
                    data_centre=item.key.removeprefix(EVACUATION_PREFIX),
                    size=len(item.data),
                )


def is_record(data):
    """Return whether the content of a record is a table of usual size."""
    if len(data) > RECORD_LIMIT:
        return False
    try:
        return isinstance(load_json(data), dict)
    except ValueError:
        return False


def _evacuation_changes(listing):
    """Return the EvacuationChanges in a Listing."""
    return [
        EvacuationChange(
            item.revision,
            item.key.removeprefix(EVACUATION_PREFIX),
            item.data is not None,
        )
        for item in listing.items
        if item.key.startswith(EVACUATION_PREFIX)
    ]


class UpstreamSource(_Source):
    """Feeds the list of upstreams."""

    prefix = UPSTREAM_PREFIX

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self._missing = {}
        self._book = EntryBook()
        self._mass_grace_until = -math.inf

    async def run(self, views):
        """Feed the Views until cancelled, and drop what stays missing."""
        # A peer may know that the store was not away.
        views.on_answer = functools.partial(self._settle, views)
        # Both end if one fails, so that what starts them again doubles none.
        async with asyncio.TaskGroup() as group:
            group.create_task(super().run(views))
            group.create_task(self._run_settling(views))
            group.create_task(self._run_probes(views))
            group.create_task(self._run_confirms(views))

    async def load(self, views):
        listing = await self._store.list(self.prefix)
        present = {item.key for item in listing.items}
        self._book.keep({key.removeprefix(self.prefix) for key in present})
        known = views.upstreams.upstreams
        gone = {
            name: upstream
            for name, upstream in known.items()
            if self.prefix + name not in present
        }
        self._miss(views, gone)
        self._apply(views, listing, {})
        return listing.revision

    async def load_old(self, views):
        listing = await self._store.list(self.prefix, stale=True)
        if self.is_known(views):
            return
        # An old answer may name the store's newest revision, and a newer list
        # of a peer would then not be taken over.
        revision = max((item.revision for item in listing.items), default=0)
        self._apply(views, Listing(listing.items, revision), {})

    def is_known(self, views):
        return views.upstreams.revision > 0

    def change(self, views, listing):
        self._apply(views, listing, views.upstreams.upstreams)

    def _apply(self, views, listing, kept):
        """Hand on a new list if anything but heartbeats has changed.

        :param kept: Upstream by id, of those that the Listing does not name
        """
        known = views.upstreams.upstreams
        upstreams = dict(kept)
        gone = {}
        for item in listing.items:
            name = item.key.removeprefix(self.prefix)
            if item.data is not None:
                self._missing.pop(name, None)
                self._take(name, item.data, upstreams, known.get(name))
                continue
            self._book.forget(name)
            if name in upstreams:
                gone[name] = upstreams.pop(name)
        self._miss(views, gone)
        for name, upstream in self._missing.items():
            upstreams.setdefault(name, upstream.as_lapsing())
        # A peer may know a newer state, of which this one is no change.
        newer = listing.revision >= views.upstreams.revision
        if newer and upstreams != known:
            self._hand_on(views, upstreams, listing.revision)

    def _take(self, name, data, upstreams, known):
        """Take in an entry that was written.

        :param upstreams: Upstream by id, which it changes
        :param known: the Upstream that was known under its id, or None
        """
        try:
            entry = decode_entry(name, data)
        except MessageError as error:
            upstreams.pop(name, None)
            self._book.forget(name)
            LOG.error("upstream_unreadable", upstream=name, error=str(error))
            return
        self._set_cold(entry, known)
        if self._book.take(entry, self._clock.steady()):
            upstreams[name] = entry.upstream
            return
        LOG.info("upstream_entry_late", upstream=name, beat=entry.beat)
        if known is not None:
            upstreams[name] = known

    def _set_cold(self, entry, known):
        """Set until when the upstream of an Entry is cold.

        :param known: the Upstream that was known under its id, or None
        """
        upstream = entry.upstream
        same_run = known is not None and known.run == upstream.run
        upstream.cold_until = cold_until(
            known.cold_until if same_run else None,
            entry.cold,
            self._clock.steady(),
        )
        if entry.cold is None and not same_run:
            LOG.error("cold_time_unreadable", upstream=upstream.id)

    def _hand_on(self, views, upstreams, revision):
        known = views.upstreams
        step = 0
        if revision <= known.revision:
            revision, step = known.revision, known.step + 1
        views.apply_upstreams(
            UpstreamList(revision, upstreams.values(), step), "store"
        )

    def _grace_until(self, views):
        """Return until when a missing entry may have lapsed in an outage."""
        # Only an outage lets entries lapse.  A call that failed by itself, or
        # an outage of this router alone, would keep a removed upstream in use
        # beyond what its bound allows.
        reach = self._store.reach
        if not views.freshness.may_have_expired:
            return self._mass_grace_until
        if reach.is_probing:
            return math.inf
        if reach.recovered_at is None:
            return self._mass_grace_until
        return max(self._mass_grace_until, reach.recovered_at + EXPIRY_GRACE)

    def _miss(self, views, gone):
        """Keep entries for a while that may have lapsed in an outage.

        :param views: the Views, with all that were known before
        :param gone: Upstream by id, of those that went together
        """
        known = views.upstreams.upstreams
        # A router that began to follow the store just now did not see it
        # away; but that most upstreams leave at once is no plan of anybody's.
        if len(gone) > LAPSE_SHARE * len(known):
            until = self._clock.steady() + EXPIRY_GRACE
            self._mass_grace_until = until
        if self._clock.steady() < self._grace_until(views):
            for name, upstream in gone.items():
                self._missing.setdefault(name, upstream)
                LOG.info("upstream_missing", upstream=name)

    async def _run_probes(self, views):
        """Find out each outage, also where nobody calls the store.

        A watch survives an outage, and at its end tells of what lapsed just
        as of what was removed.
        """
        while True:
            if views.watches_store:
                await self._store.reach.probe_when_idle()
            else:
                await asyncio.sleep(DUTY_POLL)

    async def _run_confirms(self, views):
        """Ask the store for an answer while no peer gives one."""
        reach = self._store.reach
        while True:
            await asyncio.sleep(CONFIRM_PAUSE)
            if views.watches_store and views.freshness.aging:
                await reach.confirm()
                views.freshness.record_contact(reach.last_answered_at)

    async def _run_settling(self, views):
        """Drop what stays missing, and take in what nobody objected to."""
        while True:
            await asyncio.sleep(BATCH_PAUSE)
            self._settle(views)

    def _settle(self, views):
        """Hand on a list by what was decided without a word of the store."""
        gone = self._end_grace(views)
        settled = self._book.settle(self._clock.steady())
        if not gone and not settled:
            return
        upstreams = dict(views.upstreams.upstreams)
        for name in gone:
            del upstreams[name]
        for entry in settled:
            upstreams[entry.upstream.id] = entry.upstream
        self._hand_on(views, upstreams, 0)

    def _end_grace(self, views):
        """Return the ids of upstreams that were missing for too long."""
        if self._clock.steady() < self._grace_until(views):
            return []
        known = views.upstreams.upstreams
        # A peer may have heard meanwhile that one is back, or that it is gone.
        gone = [
            name
            for name in self._missing
            if name in known and known[name].lapsing
        ]
        self._missing.clear()
        for name in gone:
            LOG.info("upstream_gone", upstream=name)
        return gone
