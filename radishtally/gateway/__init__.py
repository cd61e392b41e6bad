"""Gateway: the entry for hosts without agents, configured by an outside platform."""
