"""Examples, run by the tests."""
