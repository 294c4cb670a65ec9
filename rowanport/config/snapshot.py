"""A version of the configuration, decoded from its stored parts."""

from ..hashing import content_hash
from ..hashing import shard_of
from ..policy import DEFAULT_SOURCE
from ..policy import Policy
from ..schema.messages import OrganisationsPart
from ..schema.messages import PolicyRecord
from ..schema.messages import RootRecord
from ..schema.messages import UpstreamsPart

ROOT_KEY = "config/root"
# Number of parts over which organisations are spread by a hash of their name.
ORGANISATION_PARTS = 64
POLICY = "policy"
UPSTREAMS = "upstreams"


def part_key(digest):
    """Return the store key of a part by its content hash."""
    return f"config/part/{digest}"


def organisations_part(name):
    """Return the name of the part that holds an organisation."""
    return f"organisations/{shard_of(name, ORGANISATION_PARTS)}"


def empty_root():
    """Return the root of the configuration before the first change."""
    return RootRecord(0, "", {}, [], "")


class Snapshot:
    """One complete version of the configuration, decoded and compiled.

    :param root: the RootRecord
    :param parts: packed parts by content hash
    :param previous: an older Snapshot, whose decoded parts are reused where
        they are unchanged: decoding all of a large configuration would block
        the event loop
    """

    def __init__(self, root, parts, previous=None):
        self._reusable_parts = previous._decoded_parts if previous else {}
        self._decoded_parts = {}
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
            part = self._reusable_parts.get(digest)
            if part is None:
                part = _decode_part(name, self.parts[digest])
            self._decoded_parts[digest] = part
            self._apply_part(name, part)
        self._reusable_parts = {}
        if self.policy is None:
            self.policy = Policy(DEFAULT_SOURCE)

    @property
    def version(self):
        return self.root.version

    def _apply_part(self, name, part):
        if name == POLICY:
            self.policy = part
        elif name == UPSTREAMS:
            self.groups = part.groups
            self.upstreams = part.upstreams
        else:
            self.organisations.update(part.organisations)


def _decode_part(name, data):
    """Decode a part: compile the policy, unpack the others."""
    if name == POLICY:
        return Policy(PolicyRecord.unpack(data).source)
    if name == UPSTREAMS:
        return UpstreamsPart.unpack(data)
    return OrganisationsPart.unpack(data)


def empty_snapshot():
    """Return the snapshot before the first change."""
    return Snapshot(empty_root(), {})


def missing_parts(root, parts):
    """Return the content hashes in a root that ``parts`` does not have."""
    return sorted(set(root.parts.values()) - set(parts))


def verify_part(digest, data):
    """Return whether the data match the content hash."""
    return content_hash(data) == digest
