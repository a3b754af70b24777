"""Administration: what the admin services of nodes ask each other."""
