"""Division of engines between prefill and decode, and control of their roles."""
