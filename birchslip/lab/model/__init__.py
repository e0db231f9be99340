"""An emulator of a fleet in virtual time that runs the real decisions without processes or sockets."""
