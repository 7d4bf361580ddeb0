"""Settings of hypothesis for every test, so that a verdict never changes."""

from hypothesis import HealthCheck, settings

# The same examples each time, and nothing that depends on how busy the
# machine is: a deadline or a slow generator failed whole runs before.
settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-verdict")
