"""Tools for the repository itself."""
