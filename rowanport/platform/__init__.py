"""Runs a gateway on the users' platform.

All that speaks the platform's names is here; it is decoded once into the
types of the other packages.
"""
