"""The chain that a transaction passes: take in, admit, route, send, relay, book."""
