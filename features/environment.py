"""Prepare the tests: one seed, no wall clock, hypothesis derandomized."""

import sys
from pathlib import Path

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=50,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")

# Helpers that several step files share.
sys.path.insert(0, str(Path(__file__).parent))
