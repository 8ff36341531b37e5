"""Start a node on the platform from a checkout, without installing the package."""

import gc
import signal
import sys
import warnings
from pathlib import Path

# What the imports make lives until the end, so collections would find nothing.
gc.disable()

# Until its handler is set, a SIGHUP would end the process, also during the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from comfreytray.platform import earlyimports, earlystart  # noqa: E402

early = earlystart.begin() if __name__ == "__main__" else None

earlyimports.leave_out_tls()
with earlyimports.load_at_first_use("asyncio"):
    import eventlet

# A node starts no processes.
eventlet.monkey_patch(subprocess=False)

from comfreytray.platform.main import main  # noqa: E402

if early is not None:
    sys.exit(main(early))
