"""Durable results by idempotency key: which requests were started and what they came to, across restarts."""
