"""The app server on real sockets; it decides nothing."""
