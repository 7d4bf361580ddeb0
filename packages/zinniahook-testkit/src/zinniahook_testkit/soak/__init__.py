"""Parts of a randomized soak: seeded faults while guarantees are checked.

`schedules` draws the faults, `relays` disturbs datagrams and connections, and
`verification` finds violated guarantees in the records of clients and targets.
The caller provides the deployment of real processes.
"""

from .relays import Disturbance, Relays
from .schedules import Fault, draw, shrink
from .verification import Disruption, Verifier

__all__ = ["Disturbance", "Fault", "Verifier", "Relays", "Disruption", "draw", "shrink"]
