"""Typed messages, stored records and settings, generated from a schema."""
