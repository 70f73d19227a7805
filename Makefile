.PHONY: ci figures generate

# ci runs what the project's pipeline runs.
ci:
	bash .ci/run

# figures prints figures of the source tree.
figures:
	go run ./internal/figurer

# generate makes the generated pages and code anew.
generate:
	go generate ./...
