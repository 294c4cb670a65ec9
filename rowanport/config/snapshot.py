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
    """

    def __init__(self, root, parts):
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
            self._read(name, self.parts[digest])
        if self.policy is None:
            self.policy = Policy(DEFAULT_SOURCE)

    @property
    def version(self):
        return self.root.version

    def _read(self, name, data):
        if name == POLICY:
            self.policy = Policy(PolicyRecord.unpack(data).source)
        elif name == UPSTREAMS:
            part = UpstreamsPart.unpack(data)
            self.groups = part.groups
            self.upstreams = part.upstreams
        else:
            part = OrganisationsPart.unpack(data)
            self.organisations.update(part.organisations)


def empty_snapshot():
    """Return the snapshot before the first change."""
    return Snapshot(empty_root(), {})


def missing_parts(root, parts):
    """Return the content hashes that a root names and ``parts`` lacks."""
    return sorted(set(root.parts.values()) - set(parts))


def verify_part(digest, data):
    """Return whether the data are what the content hash names."""
    return content_hash(data) == digest
