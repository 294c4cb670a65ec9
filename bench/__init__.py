"""Loads, experiments and measurements; these scripts start processes."""
