"""Statement classification, choice of the back end, and handling of replies and their loss."""
