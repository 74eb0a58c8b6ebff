"""The fleet's replicated state: Paxos over a log of commands, leases, and state transfer. No I/O."""
