"""The app server's process and its sockets; all decisions are made in `birchslip.admission`."""
