"""birchslip: admission and scheduling for app servers behind balancers that nobody can change."""
