"""Gossip membership of the fleet: which nodes are alive, suspected or dead. Does no I/O, reads no clock.

References: "SWIM" is Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol (2002); "Lifeguard" is Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for
More Accurate Failure Detection (2018).
"""
