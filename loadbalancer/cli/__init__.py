"""The command `micastand`: one file for each verb or group of verbs."""
