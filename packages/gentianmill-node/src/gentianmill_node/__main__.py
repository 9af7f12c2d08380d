"""Run the node with ``python -m gentianmill_node``."""

from gentianmill_node.cli import main

main()
