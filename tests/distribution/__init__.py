"""Tests of distributing a configuration to every process."""
