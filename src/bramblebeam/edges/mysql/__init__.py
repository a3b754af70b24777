"""The callers' protocol: MySQL, by the codec of mysql-mimic."""
