"""A randomized soak: faults by a seed while promises are checked.

`schedules` draws what goes wrong and when, `relays` disturbs datagrams and
connections, `judges` finds broken promises in what clients and targets saw. The
deployment of real processes is the caller's.
"""

from .relays import Disturbance, Relays
from .schedules import Fault, draw, shrink
from .verification import Disruption, Verifier

__all__ = ["Disturbance", "Fault", "Verifier", "Relays", "Disruption", "draw", "shrink"]
