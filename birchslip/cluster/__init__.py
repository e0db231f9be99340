"""The fleet: its members, the planner that leads, plans for lost sites, eviction permits and rollouts."""
