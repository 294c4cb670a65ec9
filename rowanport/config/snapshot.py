"""A configuration as a router uses it, and its parts as stored."""

from ..hashing import content_hash
from ..hashing import shard_of
from ..policy import DEFAULT_SOURCE
from ..policy import Policy
from ..schema.messages import OrganisationsPart
from ..schema.messages import PolicyRecord
from ..schema.messages import RootRecord
from ..schema.messages import UpstreamsPart

ROOT_KEY = "config/root"
BUCKETS = 64
POLICY = "policy"
UPSTREAMS = "upstreams"


def part_key(digest):
    """Return the store key of a part by its content hash."""
    return f"config/part/{digest}"


def organisations_part(name):
    """Return the name of the part that holds an organisation."""
    return f"organisations/{shard_of(name, BUCKETS)}"


def empty_root():
    """Return the root before the first change."""
    return RootRecord(0, "", {}, [], "")


class Snapshot:
    """One version of the configuration, whole and compiled.

    :param root: the RootRecord
    :param parts: packed parts by content hash
    :param previous: an older Snapshot, whose unchanged parts are not read
        again: reading all of a large configuration would hold up the loop
    """

    def __init__(self, root, parts, previous=None):
        self._known = previous._read_parts if previous else {}
        self._read_parts = {}
        self.root = root
        self.parts = {
            digest: parts[digest]
            for digest in root.parts.values()
            if digest in parts
        }
        self.organisations = {}
        self.groups = {}
        self.upstreams = {}
        self.policy = None
        for name, digest in root.parts.items():
            part = self._known.get(digest)
            if part is None:
                part = _read_part(name, self.parts[digest])
            self._read_parts[digest] = part
            self._take(name, part)
        self._known = {}
        if self.policy is None:
            self.policy = Policy(DEFAULT_SOURCE)

    @property
    def version(self):
        return self.root.version

    def _take(self, name, part):
        if name == POLICY:
            self.policy = part
        elif name == UPSTREAMS:
            self.groups = part.groups
            self.upstreams = part.upstreams
        else:
            self.organisations.update(part.organisations)


def _read_part(name, data):
    """Return a part as it is used: a policy compiled, others unpacked."""
    if name == POLICY:
        return Policy(PolicyRecord.unpack(data).source)
    if name == UPSTREAMS:
        return UpstreamsPart.unpack(data)
    return OrganisationsPart.unpack(data)


def empty_snapshot():
    """Return the snapshot before the first change."""
    return Snapshot(empty_root(), {})


def missing_parts(root, parts):
    """Return the content hashes that a root names and ``parts`` lacks."""
    return sorted(set(root.parts.values()) - set(parts))


def verify_part(digest, data):
    """Return whether the data are what the content hash names."""
    return content_hash(data) == digest
