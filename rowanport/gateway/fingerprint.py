"""Fingerprints, by which all routers identify repetitions of a request."""

import hashlib

FINGERPRINT_BYTES = 8
# Longest key in bytes that BLAKE2b accepts.
MAX_KEY_BYTES = 64


class Fingerprints:
    """Computes request fingerprints that are the same at all routers.

    The hash is keyed, so that callers cannot construct collisions.

    :param secret: secret shared by all routers
    """

    def __init__(self, secret):
        self._key = secret.encode()[:MAX_KEY_BYTES]

    def compute(self, request, organisation):
        """Return the 64-bit fingerprint of a request.

        :param request: HttpRequest, whose method, path and body are hashed
        :param organisation: name of the caller's organisation, "" if none
        """
        hasher = hashlib.blake2b(
            request.body, digest_size=FINGERPRINT_BYTES, key=self._key
        )
        parts = f"\0{request.method}\0{request.path}\0{organisation}"
        hasher.update(parts.encode())
        return int.from_bytes(hasher.digest(), "big")


def format_fingerprint(fingerprint):
    """Return a fingerprint as 16 hexadecimal digits, as in log lines."""
    return f"{fingerprint:016x}"
