# Targets that run things.
.PHONY: check demo bench help
setup:
	tools/setup.sh
check: setup
	tools/check.sh
demo: setup
	$(MAKE) -s -j programs
	tools/demo.sh
help:
	@grep -hE '^#   make' Makefile
