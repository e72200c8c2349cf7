"""Random faults from outside on the real processes of a deployment."""
