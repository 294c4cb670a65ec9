"""The audit trail: in the changed record itself, spilled when it grows."""

from ..errors import StoreConflict
from ..hashing import content_hash
from ..schema.messages import AuditPage

TAIL = 50


def page_key(digest):
    """Return the store key of a page of older records."""
    return f"audit/{digest}"


async def append(store, record, entry):
    """Add an AuditRecord to a record that is about to be written.

    Older entries move to a page named by its content, written first; so a
    crash in between loses nothing and repeats nothing.
    """
    if len(record.audit) >= TAIL:
        page = AuditPage(record.audit, record.audit_page).pack()
        key = page_key(content_hash(page))
        await write_once(store, key, page)
        record.audit = []
        record.audit_page = key
    record.audit.append(entry)


async def write_once(store, key, data):
    """Write a value that its key names, unless it is there already."""
    try:
        await store.put(key, data, 0)
    except StoreConflict:
        pass


async def read_trail(store, record, limit):
    """Return up to ``limit`` AuditRecords of a record, newest first."""
    entries = list(reversed(record.audit))
    key = record.audit_page
    while key and len(entries) < limit:
        value = await store.get(key)
        page = AuditPage.unpack(value.data)
        entries.extend(reversed(page.records))
        key = page.previous
    return entries[:limit]


def find_change(record, change):
    """Return the AuditRecord of a change among the latest, or None."""
    for entry in record.audit:
        if entry.change == change:
            return entry
    return None
