"""The entry in front of hosts without agents, on a platform that configures it."""
