"""The audit trail of a record.

The latest entries are part of the changed record itself; older ones move to
linked pages in the store.
"""

from ..errors import StoreConflict
from ..hashing import content_hash
from ..schema.messages import AuditPage

# Largest number of entries in the record itself; also the size of a page.
MAX_INLINE_ENTRIES = 50


def page_key(digest):
    """Return the store key of a page of older entries.

    :param digest: content hash of the packed page
    """
    return f"audit/{digest}"


async def append(store, record, entry):
    """Append an AuditRecord to a record that is about to be written.

    If the record is full, its entries move to a page first.  The page is
    written before the record, under a key derived from its content, so a
    crash between both writes neither loses nor duplicates entries.
    """
    if len(record.audit) >= MAX_INLINE_ENTRIES:
        page = AuditPage(record.audit, record.audit_page).pack()
        key = page_key(content_hash(page))
        await write_once(store, key, page)
        record.audit = []
        record.audit_page = key
    record.audit.append(entry)


async def write_once(store, key, data):
    """Write a value under a key derived from its content, if it is absent."""
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
    """Return the AuditRecord of a change from the record itself, or None.

    Entries that have moved to pages are not searched.

    :param change: id of the change
    """
    for entry in record.audit:
        if entry.change == change:
            return entry
    return None
