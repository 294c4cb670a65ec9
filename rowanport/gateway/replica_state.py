"""Shares the load of plain services' replicas between routers."""

import math
import struct

from ..errors import MessageError
from ..hashing import hash_of
from ..placement import Replicas
from ..placement.replicas import ReplicaRow
from .state_exchange import StateComponent

# Version of the encoding, its first byte.
ENCODING = 1
# Key of the replica, mean outstanding requests, answers, mean time to answer
# in ms, rejections, and the age of the last one.
ROW = struct.Struct("!IeBHBB")
# Most replicas in one message: two reports a second and their answers then
# take 884 bytes, less than the 1 KB a second of one component.
MOST_ROWS = 20
# Seconds of a step of ages; the highest number stands for no rejection.
AGE_STEP = 0.02
NEVER = 255
MOST_OUTSTANDING = 60000.0


def key_of(record):
    """Return the number that stands for a run of a replica.

    A replica that restarts under the same id has no past.
    """
    return hash_of(record.run.name) & 0xFFFFFFFF


def pack(rows, now):
    """Return ReplicaRows by key as bytes, the busiest ones first."""
    first = sorted(
        rows.items(), key=lambda item: item[1].outstanding, reverse=True
    )
    parts = [bytes([ENCODING])]
    for key, row in first[:MOST_ROWS]:
        age = min(NEVER, max(0.0, now - row.rejected_at) / AGE_STEP)
        parts.append(
            ROW.pack(
                key,
                min(MOST_OUTSTANDING, row.outstanding),
                min(255, math.ceil(row.answers)),
                min(65535, round(1000 * row.seconds)),
                min(255, math.ceil(row.rejections)),
                round(age),
            )
        )
    return b"".join(parts)


def unpack(data, now):
    """Return the ReplicaRows by key that :func:`pack` wrote.

    :raises MessageError: the data cannot be read
    """
    if not data or data[0] != ENCODING or (len(data) - 1) % ROW.size:
        raise MessageError(f"{len(data)} bytes of replicas cannot be read")
    rows = {}
    for values in ROW.iter_unpack(data[1:]):
        key, outstanding, answers, milliseconds, rejections, age = values
        if not 0.0 <= outstanding <= MOST_OUTSTANDING:
            raise MessageError(f"{outstanding} outstanding requests")
        at = -math.inf if age == NEVER else now - AGE_STEP * age
        rows[key] = ReplicaRow(
            outstanding, answers, milliseconds / 1000, rejections, at
        )
    return rows


class ReplicaState(StateComponent):
    """The load of the replicas of plain services.

    :param gateway: the Gateway, for its members and whether it is in a large
        fleet
    :param clock: a Clock
    """

    name = "replicas"

    def __init__(self, gateway, clock):
        self._gateway = gateway
        self._clock = clock
        self._replicas = Replicas(clock.steady())

    @property
    def active(self):
        return self._gateway.large_fleet

    # This router's requests

    def record_send(self, record):
        """Record that a request is sent to a replica."""
        self._replicas.record_send(key_of(record), self._clock.steady())

    def record_end(self, record):
        """Record that a request is no longer outstanding."""
        self._replicas.record_end(key_of(record), self._clock.steady())

    def record_answer(self, record, seconds):
        """Record the time that a replica took to answer."""
        now = self._clock.steady()
        self._replicas.record_answer(key_of(record), seconds, now)

    def record_rejection(self, record):
        """Record that a replica turned a request away."""
        self._replicas.record_rejection(key_of(record), self._clock.steady())

    def is_informed(self, now):
        """Return whether the state of the fleet is known."""
        return self._replicas.is_informed(now)

    def load(self, record, now):
        """Return the ReplicaLoad of a replica."""
        return self._replicas.load(key_of(record), now)

    def retain(self, records):
        """Drop the state of all replicas that are no longer listed.

        :param records: the listed Upstreams
        """
        self._replicas.retain({key_of(record) for record in records})

    # As a StateComponent

    def report(self):
        now = self._clock.steady()
        return pack(self._replicas.report(now), now)

    def collect(self, data, sender):
        now = self._clock.steady()
        self._replicas.collect(sender, unpack(data, now), now)

    def summarize(self, receiver):
        now = self._clock.steady()
        routers = len(self._gateway.members.addresses)
        rows = self._replicas.summary(receiver, routers, now)
        return b"" if rows is None else pack(rows, now)

    def apply(self, data, sender):
        now = self._clock.steady()
        self._replicas.apply(unpack(data, now), now)
