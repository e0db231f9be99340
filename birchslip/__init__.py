"""birchslip: admission and scheduling for app servers behind routers that are fixed and run by others."""
