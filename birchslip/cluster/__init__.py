"""The fleet: who is there, who leads, and what is done when a site is lost."""
