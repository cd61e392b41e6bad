"""Request routing for language models on a fixed fleet under a changing token mix."""
