"""Record who changed what, when and why."""
