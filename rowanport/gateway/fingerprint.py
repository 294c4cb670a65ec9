"""Recognises the same request when it comes again, at any router."""

import hashlib

FINGERPRINT_BYTES = 8
# Longest key in bytes that the hash takes.
KEY_LIMIT = 64


class Fingerprints:
    """Computes fingerprints that are the same at all routers.

    They are keyed, so that a caller cannot choose requests that share one.

    :param secret: what all routers share
    """

    def __init__(self, secret):
        self._key = secret.encode()[:KEY_LIMIT]

    def compute(self, request, organisation):
        """Return the fingerprint of a request, a number of 64 bits.

        :param request: the HttpRequest; its method, path and body count
        :param organisation: name of the caller's organisation, "" if none
        """
        hasher = hashlib.blake2b(
            request.body, digest_size=FINGERPRINT_BYTES, key=self._key
        )
        head = f"\0{request.method}\0{request.path}\0{organisation}"
        hasher.update(head.encode())
        return int.from_bytes(hasher.digest(), "big")


def format_fingerprint(fingerprint):
    """Return a fingerprint as logs show it."""
    return f"{fingerprint:016x}"
