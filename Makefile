# Shortcuts; 'mvn -B verify' is what counts.
.PHONY: build deployed test lint run prove-results prove-memory prove-change prove-judge prove-roll prove-ready prove-cold prove-hostile bench-change bench-builds bench-results bench-memory measure-candidates

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B checkstyle:check@lint

# Needs EDGE_CONFIG, and EDGE_NAME and EDGE_LISTEN where the file does not name them.
run: build
	$(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)

# As the platform builds it, with the JVM's archive of classes: memory is measured with it.
deployed:
	$(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)

# What the proofs and benchmarks run on: the tests' classes before the program's.
target/classpath: pom.xml
	mvn -q -B dependency:build-classpath -Dmdep.outputFile=$@ -Dmdep.includeScope=test

CLASSES = target/test-classes:target/classes:$$(cat target/classpath)

# Kills a real daemon at moments drawn from a seed (SEED=N; SHORT=1 for the brief form); closes on one line, exit 0 or 1.
prove-results: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.ProveResults $(SEED)

# Asks real daemons for many windows more than they have room for; SHORT=1 and SEED=N as above.
prove-memory: deployed target/classpath
	java -Dpackaged=true -cp $(CLASSES) wharftrestle.prove.ProveMemory $(SEED)

# Changes one box forwards and back under load, with stops and kills; SHORT=1, CHANGES=N and SEED=N as above. The long form
# makes two earlier builds from the repository's own commits.
prove-change: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.ProveChange $(SEED)

# Rolls of a fleet in virtual time, with releases that are no worse and with bad ones; SHORT=1 and SEED=N as above.
prove-judge: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.ProveJudge $(SEED)

# Rolling changes of 14 real boxes, good and bad, with faults between processes; SHORT=1 and SEED=N as above.
prove-roll: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.ProveRoll $(SEED)

# Starts 20 real daemons at once, also with a late worker pool and no name service; SHORT=1 and SEED=N as above.
prove-ready: deployed target/classpath
	java -Dpackaged=true -cp $(CLASSES) wharftrestle.prove.ProveReady $(SEED)

# Boxes that start cold together and share nothing but a store, in virtual time; SHORT=1 and SEED=N as above.
prove-cold: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.ProveCold $(SEED)

# Ordinary clients beside hostile ones: kind, number of clients, tenant (same or other), memory_mb, sockets, cores, CPU limit
# in cores (0 for none), worker pool (ok, failing or upgraded), seconds.
PLAY = LEAVES 20 other 192 512 1 0 ok 8
prove-hostile: deployed target/classpath
	java -Dpackaged=true -cp $(CLASSES) wharftrestle.prove.ProveHostileClients $(PLAY)

# Answers by the second with no change, with one, and with the way back.
bench-change: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.BenchChange $(SEED)

# CPU of two builds in turn: make bench-builds OLD=a.jar NEW=b.jar
bench-builds: build target/classpath
	java -cp $(CLASSES) wharftrestle.prove.BenchBuilds $(OLD) $(NEW)

# Results in blocks against a plain map of arrays.
bench-memory: build target/classpath
	java -cp $(CLASSES) wharftrestle.bench.ResultStructures

# Figures of docs/results.md: the structures of keys by JMH, then the cost of kept results at a real daemon.
bench-results: build target/classpath
	java -cp $(CLASSES) wharftrestle.bench.KeyStructures
	java -cp $(CLASSES) org.openjdk.jmh.Main KeyStructures
	java -Dpackaged=true -cp $(CLASSES) wharftrestle.prove.BenchResults

# The stores that docs/design/results.md weighs, each in a process of its own.
measure-candidates:
	mvn -q -B -f bench/candidates/pom.xml package
	for store in log mvstore rocksdb; do \
	  rm -rf target/candidate && java -XX:+UseSerialGC -Xmx40m -XX:TieredStopAtLevel=1 \
	    -cp bench/candidates/target/classes:$$(cat bench/candidates/target/classpath) \
	    Candidates $$store target/candidate 24 6000; done
