"""Scale runs: many hollow nodes on real sockets, or in virtual time."""
