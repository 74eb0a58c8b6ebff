"""Which instances of the fleet live: SWIM with Lifeguard's suspicion, gossip and anti-entropy. No I/O."""
