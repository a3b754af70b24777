"""Starts a node on the users' platform from a plain checkout."""

import gc
import signal

# The platform may tell of new settings while the imports run, and that signal ends a process which
# has said nothing about it. The settings are read after this, so that nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# What imports make stays for as long as the process runs: to look for garbage among it, now and in
# every later collection, only costs a node that starts its first seconds.
gc.disable()

from bramblebeam.platform.main import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    raise SystemExit(main())
