"""Stand-ins, load tool and invariant checks.

Import the modules by name; most of them also run with ``python -m``. This file
imports none of them, as Python would then load a module that is run twice.
"""
