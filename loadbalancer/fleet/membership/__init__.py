"""Group membership of the fleet: SWIM with Lifeguard's suspicion, gossip and anti-entropy. Does no I/O."""
