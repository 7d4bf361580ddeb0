"""Stand-ins, load tool and invariant checks.

Each module is used by its name and most are run with ``python -m``; nothing
is imported here, as Python would then load a module that is run twice.
"""
