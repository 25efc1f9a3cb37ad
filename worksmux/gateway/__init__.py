"""The running front: clients, engines, the list of engines and the clock, around the door.  No decision."""
