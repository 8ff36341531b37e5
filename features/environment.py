"""Set up hypothesis for reproducible runs, without deadlines, for all features."""

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

# Modules in this folder are shared by several step files.
sys.path.insert(0, str(Path(__file__).parent))
