# `make demo` and `make test` are all that a newcomer needs; both set up .venv first.
.PHONY: control-demo demo fleet sites test

.venv/requirements.txt: requirements.txt
	rm -rf .venv && python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/requirements.txt

demo: .venv/requirements.txt
	.venv/bin/python -m violetdoor demo

fleet: .venv/requirements.txt
	.venv/bin/python -m examples.fleet

control-demo: .venv/requirements.txt
	.venv/bin/python -m examples.control

test: .venv/requirements.txt
	PATH=.venv/bin:$$PATH sh -c 'ruff check . && ruff format --check . && mypy && pytest -q -n 6'

# The made-up customers of deploy/sites are played by the bench's programs, which want three files of the kit beside
# a site. They are laid there, git ignores them, and nothing else needs them.
KIT = ../given/kit
sites:
	@test -d $(KIT) || { echo "make sites: no kit at $(KIT); only the acceptance runs need it" >&2; exit 2; }
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/users/unlock.txt deploy/sites/
