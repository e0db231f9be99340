"""Durable results by idempotency key: which requests were started and how they ended, across restarts."""
