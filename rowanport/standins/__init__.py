"""Stand-ins of the systems that routers meet, for the demo and tests."""
