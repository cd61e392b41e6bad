"""Routes: which request goes to which upstream, and on what terms."""
