"""zinniahookd: entry and agent.

A program: it is run, and only the tests import its modules. Nothing is
imported here, as an entry would hold the modules of an agent for nothing.
"""
