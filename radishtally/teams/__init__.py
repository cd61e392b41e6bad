"""Teams of callers and the API keys by which they are recognized."""
