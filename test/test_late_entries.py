"""Entries of upstreams that are written once more after their removal.

A write whose answer was lost may be done seconds later; docs/incidents/020,
"Remains", only suspects it.
"""

from test.test_entries import entry

from rowanport.platform.entries import EntryBook


def test_a_late_write_of_a_removed_run_does_not_bring_it_back():
    # Guards against work for an upstream that has left.
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=7), 0.0)
    assert book.take(entry(born=5, seq_num=8, state="draining"), 0.1)
    book.forget("one")
    assert not book.take(entry(born=5, seq_num=7), 0.2)
