"""A router with a static split of each budget."""

from bench.baseline import run
from bench.baseline import StaticClient

run(StaticClient)
