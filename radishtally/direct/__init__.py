"""Direct upstreams: hosts that an entry reaches itself, with no agent beside them."""
