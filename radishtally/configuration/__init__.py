"""Parse, check, merge and store the operators' configuration."""
