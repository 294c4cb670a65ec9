"""Operators' changes to the configuration.

Each is published by one compare-and-swap on the root record.
"""

import asyncio

from . import audit
from ..errors import ConflictError
from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreError
from ..errors import UserError
from ..hashing import content_hash
from ..schema.messages import AuditRecord
from ..schema.messages import OrganisationsPart
from ..schema.messages import RootRecord
from ..schema.messages import UpstreamsPart
from .snapshot import empty_root
from .snapshot import organisations_part
from .snapshot import part_key
from .snapshot import ROOT_KEY
from .snapshot import Snapshot
from .snapshot import UPSTREAMS

MAX_ATTEMPTS = 8
# Seconds before the next attempt after the store failed or refused a call.
PAUSE = 0.1


class Change:
    """A change to one part of the configuration.

    :ivar part: name of the part
    :ivar data: its new packed value
    :ivar what: name of the changed object, for the audit trail
    :ivar before: the old value as the audit trail shows it, empty if none
    :ivar after: the new value as the audit trail shows it
    """

    __slots__ = ("part", "data", "what", "before", "after")

    def __init__(self, part, data, what, before, after):
        self.part = part
        self.data = data
        self.what = what
        self.before = before
        self.after = after


class ConfigEditor:
    """Reads and changes the configuration in the store.

    :param store: the Store
    :param who: name of the operator, for the audit trail
    :param clock: a Clock
    """

    def __init__(self, store, who, clock):
        self._store = store
        self._who = who
        self._clock = clock

    async def read(self):
        """Return the Snapshot in the store and the root's store version.

        :raises StoreError: if a call of the store failed
        """
        value = await self._store.get(ROOT_KEY)
        root = RootRecord.unpack(value.data) if value.data else empty_root()
        digests = sorted(set(root.parts.values()))
        keys = [part_key(digest) for digest in digests]
        values = await asyncio.gather(*map(self._store.get, keys))
        parts = {digest: found.data for digest, found in zip(digests, values)}
        return Snapshot(root, parts), value.version

    async def apply(self, change_id, make, expected=None):
        """Publish a change.

        If another change is published first, this one is computed again from
        the newer state, unless ``expected`` requires a certain version.

        :param change_id: id that makes the call idempotent: a change whose id
            is among the latest of the audit trail is not applied again
        :param make: function from Snapshot to Change; raises UserError
        :param expected: configuration version that must be the current one,
            or None for any
        :returns: a configuration version that includes the change
        :raises ConflictError: if another operator's change was published
            first
        :raises UserError: if ``make`` rejects the change, or the store does
            not answer; the change may have taken effect in the latter case
        """
        failure = None
        for _attempt in range(MAX_ATTEMPTS):
            try:
                return await self._apply_once(change_id, make, expected)
            except StoreConflict as error:
                failure = error
            except StoreBusy as error:
                failure = error
                await asyncio.sleep(PAUSE)
            except StoreError as error:
                # The write may have taken effect: the next attempt looks for
                # the change id in the audit trail.
                failure = error
                await asyncio.sleep(PAUSE)
        if isinstance(failure, StoreConflict):
            raise ConflictError(
                "conflicting changes by other operators; try again later"
            )
        raise UserError(
            f"the store does not answer; change {change_id} may have taken"
            f" effect, repeat it with the same id to be sure: {failure}"
        )

    async def _apply_once(self, change_id, make, expected):
        snapshot, store_version = await self.read()
        if await self._is_applied(snapshot.root, change_id):
            return snapshot.version
        if expected is not None and snapshot.version != expected:
            raise ConflictError(
                f"version {snapshot.version} is active, not {expected}:"
                " another operator's change came first; nothing was changed"
            )
        change = make(snapshot)
        digest = content_hash(change.data)
        await audit.write_once(self._store, part_key(digest), change.data)
        old = snapshot.root
        root = RootRecord(
            old.version + 1,
            change_id,
            {**old.parts, change.part: digest},
            list(old.audit),
            old.audit_page,
        )
        entry = AuditRecord(
            change_id,
            self._who,
            self._clock.wall(),
            change.what,
            change.before,
            change.after,
        )
        await audit.append(self._store, root, entry)
        await self._store.put(ROOT_KEY, root.pack(), store_version)
        return root.version

    async def _is_applied(self, root, change_id):
        recent = await audit.read_trail(
            self._store, root, 2 * audit.MAX_INLINE_ENTRIES
        )
        return any(entry.change == change_id for entry in recent)

    async def trail(self, limit):
        """Return the latest AuditRecords, newest first."""
        snapshot, _version = await self.read()
        return await audit.read_trail(self._store, snapshot.root, limit)


# Changes


def put_organisation(record, replace=False):
    """Return a change that adds or replaces an organisation."""

    def make(snapshot):
        existing = snapshot.organisations.get(record.name)
        if existing is not None and not replace:
            raise UserError(f"organisation {record.name!r} already exists")
        part = organisations_part(record.name)
        members = {
            name: other
            for name, other in snapshot.organisations.items()
            if organisations_part(name) == part
        }
        members[record.name] = record
        data = OrganisationsPart(members).pack()
        what = f"organisation {record.name}"
        return Change(
            part,
            data,
            what,
            _describe_organisation(existing),
            _describe_organisation(record),
        )

    return make


def _describe_organisation(record):
    if record is None:
        return ""
    return (
        f"weight {record.weight}, concurrency {record.concurrency},"
        f" rate {record.rate:g}"
    )


def put_group(group):
    """Return a change that adds or replaces an upstream group."""

    def make(snapshot):
        groups = {**snapshot.groups, group.name: group}
        data = UpstreamsPart(groups, snapshot.upstreams).pack()
        before = snapshot.groups.get(group.name)
        what = f"group {group.name}"
        return Change(
            UPSTREAMS, data, what, _describe(before), _describe(group)
        )

    return make


def put_upstream(upstream):
    """Return a change that adds or replaces an upstream."""

    def make(snapshot):
        if upstream.group not in snapshot.groups:
            raise UserError(f"no group {upstream.group!r}; add it first")
        upstreams = {**snapshot.upstreams, upstream.address: upstream}
        data = UpstreamsPart(snapshot.groups, upstreams).pack()
        before = snapshot.upstreams.get(upstream.address)
        what = f"upstream {upstream.address}"
        return Change(
            UPSTREAMS, data, what, _describe(before), _describe(upstream)
        )

    return make


def put_policy(record):
    """Return a change that publishes a policy."""

    def make(snapshot):
        before = content_hash(snapshot.policy.source.encode())
        after = content_hash(record.source.encode())
        return Change("policy", record.pack(), "policy", before, after)

    return make


def _describe(record):
    return "" if record is None else repr(record)
