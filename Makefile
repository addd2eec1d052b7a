# Shortcuts; 'mvn -B verify' is what counts.
.PHONY: build test lint run

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B checkstyle:check@lint

# Needs EDGE_CONFIG, and EDGE_NAME and EDGE_LISTEN where the file does not name them.
run: build
	$(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)
