"""Organisations' API keys; only salted hashes of them are kept."""

import hashlib
import hmac
import os
import secrets

PREFIX = "rp"
SALT_BYTES = 16


def new_key(organisation):
    """Return a fresh key that names its organisation.

    The secret has 256 random bits, so a fast salted hash is enough.
    """
    return f"{PREFIX}.{organisation}.{secrets.token_urlsafe(32)}"


def organisation_of(key):
    """Return the organisation that a key names, or an empty text."""
    parts = key.split(".", 2)
    if len(parts) != 3 or parts[0] != PREFIX:
        return ""
    return parts[1]


def new_salt():
    """Return a random salt."""
    return os.urandom(SALT_BYTES)


def hash_key(salt, key):
    """Return the salted hash of a key."""
    return hashlib.sha256(salt + key.encode()).digest()


def matches(record, key):
    """Return whether a key is that of an OrganisationRecord.

    It takes the same time whether it matches or not.
    """
    return hmac.compare_digest(hash_key(record.salt, key), record.key_hash)
