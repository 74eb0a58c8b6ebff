"""The command `micastand`: one file a verb, thin."""
