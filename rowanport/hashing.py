"""Identifiers and hashes: rendezvous order, shards, request ids."""

import hashlib
import secrets

import xxhash

ID_BYTES = 16


def rendezvous(key, names):
    """Return the names ordered by highest random weight for the key.

    Source: Thaler and Ravishankar, 1996.
    """

    def weight(name):
        return hash_of(f"{key}\0{name}")

    return sorted(names, key=weight, reverse=True)


def hash_of(key):
    """Return a number of 64 bits that only the key decides."""
    return xxhash.xxh3_64_intdigest(key.encode())


def fraction(key):
    """Return a number from 0 up to 1 that only the key decides."""
    return hash_of(key) / 2**64


def shard_of(key, shards):
    """Return the shard number of a key, of ``shards`` in all."""
    return hash_of(key) % shards


def request_id(organisation, key):
    """Return the id of a request: 32 hex digits, apart by organisation."""
    text = f"{organisation}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=ID_BYTES).hexdigest()


def content_hash(data):
    """Return the hash that names stored bytes."""
    return hashlib.blake2b(data, digest_size=ID_BYTES).hexdigest()


def new_id():
    """Return a fresh random id of 16 hex digits."""
    return secrets.token_hex(8)
