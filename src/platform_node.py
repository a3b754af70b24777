"""Entry point of a node on the users' platform, run from a plain source checkout."""

import gc
import signal

# The platform sends SIGHUP when settings change, possibly while the imports run; by default the
# signal ends the process. The settings are read later, so ignoring it here misses no change.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Objects that imports create live as long as the process. Scanning them for garbage, now and in
# every later collection, would only slow down a node's first seconds.
gc.disable()

from bramblebeam.platform.main import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    raise SystemExit(main())
