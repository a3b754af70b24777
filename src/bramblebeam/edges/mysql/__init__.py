"""The server side of the callers' MySQL protocol, built on the codec of mysql-mimic."""
