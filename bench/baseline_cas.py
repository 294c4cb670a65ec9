"""A router with one store compare-and-swap per request."""

from bench.baseline import CasClient
from bench.baseline import run

run(CasClient)
