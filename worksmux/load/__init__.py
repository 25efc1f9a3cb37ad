"""An open-loop load generator that sends at the intended times and reports when it cannot."""
