"""Stand-ins, load tool and invariant checks."""
