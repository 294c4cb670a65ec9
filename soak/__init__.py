"""A fault soak: real routers, faults from outside, promises checked."""
