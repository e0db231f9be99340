"""Kept results: what labelled transactions were begun and what came of them, across restarts."""
