"""Keep what operators describe: the fleet, its teams and the policy."""
