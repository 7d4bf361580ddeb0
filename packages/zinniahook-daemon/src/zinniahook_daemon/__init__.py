"""zinniahookd, the daemon of entries and agents.

This is a program and not a library: only tests import its modules. Nothing is
imported here, as an entry would otherwise load the unused modules of an agent.
"""
