"""Administration: requests between the admin services of nodes."""
