"""Decision logic without I/O: functions of messages and the current time."""
