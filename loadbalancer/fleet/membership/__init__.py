"""Which instances live: SWIM with Lifeguard's suspicion, gossip, and name conflicts. No I/O."""
