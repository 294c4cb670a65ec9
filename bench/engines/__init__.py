"""A model of engines under load, for the decisions of routers alone.

Engines read prompts in pieces between the tokens of their streams; routers
choose among them with the gateway's own code, without sockets or a clock of
their own.  A day of half a minute takes a second or two, so that a load
pattern is replayed in a test and variants are compared on many seeds.
"""
