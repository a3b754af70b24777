"""Starts a node on the users' platform from a plain checkout."""

from bramblebeam.platform.main import main

if __name__ == "__main__":
    raise SystemExit(main())
