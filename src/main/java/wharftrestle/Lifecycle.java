package wharftrestle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import wharftrestle.core.Core;
import wharftrestle.front.Resp;
import wharftrestle.front.Uwsgi;
import wharftrestle.net.Config;
import wharftrestle.net.PoolLink;
import wharftrestle.net.Reporter;
import wharftrestle.net.Server;
import wharftrestle.net.StoreClient;
import wharftrestle.ops.Counters;
import wharftrestle.ops.Door;
import wharftrestle.ops.SnmpAgent;

/**
 * Owns the daemon from its start to its exit: it puts the parts together, and its named states say how far it
 * has come. It must never go back a state, take part in a request, or leave before all that was read has its
 * answer while there is time.
 */
public final class Lifecycle implements Door.Daemon, AutoCloseable {

    /** From start to exit, in this order. */
    public enum State { STARTING, SERVING, LEAVING, CLOSING, STOPPED }

    /**
     * Part of the descriptors that all callers may hold: front ends open at most half, and whoever else
     * connects must not fill that.
     */
    private static final double CALLERS_SHARE = 0.6;
    /** MB that the program takes besides the threads of connections and requests, its heap full. */
    private static final double BASE_MB = 80;
    /** MB of a thread: about 110 kB resident, whatever its stack, and its buffers. */
    private static final double THREAD_MB = 0.12;
    /** Threads for requests in hand, and the least for these and for connections. */
    private static final int MOST_IN_HAND = 192;
    private static final int LEAST = 64;
    /** Part of that which uwsgi gateways have, where they are let in. */
    private static final double UWSGI_PART = 0.25;
    /** Operators' calls at once, with those that never come whole. */
    private static final int MOST_CALLS = 16;
    /** Seconds before the process is stopped by which all answers are out, even on crowded cores. */
    private static final double SPARE = 0.5;
    /** Seconds before the stop at which peers that have not closed are no longer waited for. */
    private static final double LAST = 0.35;

    /** Seconds past the grace in which what crosses its end on the way is still taken. */
    private static final double CROSSING = 0.05;
    /** Milliseconds between two looks at whether the peers have closed. */
    private static final int CLOSE_LOOK_MS = 10;

    /** Reads the configuration anew. */
    public interface Source {
        Config read() throws Config.BadConfigException;
    }

    private final Config config;
    private final Counters counters;
    private final Core core;
    private final PoolLink pool;
    private final Server resp;
    private final Server uwsgi;
    private final Server door;
    private final SnmpAgent snmp;
    private final StoreClient store;
    private final Reporter reporter;
    private final CountDownLatch notice = new CountDownLatch(1);
    private volatile State state = State.STARTING;
    private volatile long noticedAt;
    private final long startedAt = System.nanoTime();

    /** Takes every address at once, so that one that cannot be had ends the start. */
    public Lifecycle(Config config, Config.Appliance appliance) throws IOException {
        this.config = config;
        // Guards against being killed for memory: threads for requests come first, connections have the rest.
        int threads = (int) ((config.memoryMb() - BASE_MB) / THREAD_MB);
        int requests = Math.max(LEAST, Math.min(MOST_IN_HAND, threads / 2));
        int callers = Math.max(LEAST, Math.min((int) (CALLERS_SHARE * config.sockets()), threads - requests));
        counters = new Counters(config.settings().classes().stream().map(Admission.RequestClass::name).toList());
        core = new Core(config.settings(), config.seed(), requests, GroupEdfScheduler::new, counters);
        pool = new PoolLink(config.pool(), core, counters);
        store = new StoreClient(config.db(), counters);
        reporter = new Reporter(config.name(), config.naming(), counters);
        int gateways = appliance.uwsgi() == null ? 0 : (int) (UWSGI_PART * callers);
        resp = new Server("resp", config.listen(), callers - gateways, new Resp(core, counters), counters);
        uwsgi = appliance.uwsgi() == null ? null
                : new Server("uwsgi", appliance.uwsgi(), gateways,
                        new Uwsgi(core, counters, config.seed(), appliance.heldKb()), counters);
        InetSocketAddress at = config.console() != null ? config.console() : appliance.control();
        door = at == null ? null : new Server("door", at, MOST_CALLS, new Door(this), counters);
        snmp = appliance.snmp() == null ? null : new SnmpAgent(this, appliance.snmp(), appliance.community());
    }

    public void start() {
        if (door != null) {
            door.start();
        }
        core.open(pool, store, reporter);
        pool.start();
        reporter.start();
        resp.start();
        if (uwsgi != null) {
            uwsgi.start();
        }
        enter(State.SERVING);
    }

    public State state() {
        return state;
    }

    public Core core() {
        return core;
    }

    @Override
    public Counters counters() {
        return counters;
    }

    /** Where the platform's front listens. */
    public InetSocketAddress respAddress() {
        return resp.address();
    }

    /** Where the uwsgi front listens; null where it is off. */
    public InetSocketAddress uwsgiAddress() {
        return uwsgi == null ? null : uwsgi.address();
    }

    /** Connections that gateways hold now. */
    public int uwsgiConnections() {
        return uwsgi == null ? 0 : uwsgi.connections().size();
    }

    /** Where operators call; null where they cannot. */
    public InetSocketAddress doorAddress() {
        return door == null ? null : door.address();
    }

    /** Where the SNMP agent answers; null where it is off. */
    public InetSocketAddress snmpAddress() {
        return snmp == null ? null : snmp.address();
    }

    @Override
    public String name() {
        return config.name();
    }

    @Override
    public boolean linked() {
        return pool.linked();
    }

    @Override
    public boolean healthy() {
        return core.healthy();
    }

    @Override
    public boolean ready() {
        return state == State.SERVING && core.ready();
    }

    @Override
    public boolean lameDuck(boolean on) {
        if (!on && state.ordinal() > State.SERVING.ordinal()) {
            return false;   // it leaves for good
        }
        core.lameDuck(on);
        Logger.info("{}: lame duck {}", config.name(), on ? "on" : "off");
        return true;
    }

    @Override
    public double upSeconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    @Override
    public String phase() {
        return state.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public int phaseNumber() {
        return state.ordinal() + 1;
    }

    /**
     * Takes over the addresses of a new configuration while serving; all else in it needs a new start.
     * Guards against ending, or going on with half of a file, where the new one cannot be used: then the
     * old one holds.
     */
    public synchronized void reload(Source source) {
        Config next;
        try {
            next = source.read();
        } catch (Config.BadConfigException | RuntimeException e) {
            Logger.warn("the new configuration cannot be used, the old one holds: {}", e.getMessage());
            return;
        }
        pool.moveTo(next.pool());
        store.moveTo(next.db());
        reporter.moveTo(next.naming());
        counters.add(Counters.Count.RELOADS);
        Logger.info("{} has a new configuration: pool {}, store {}, name service {}", config.name(), next.pool(),
                next.db(), next.naming());
    }

    /** The notice to leave; only the first counts. */
    @Override
    public void leave() {
        if (notice.getCount() > 0) {
            noticedAt = System.nanoTime();
            notice.countDown();
        }
    }

    /** Waits for the notice, answers all that was read, and returns when the process may end. */
    public void serveUntilStopped() throws InterruptedException {
        notice.await();
        enter(State.LEAVING);
        core.leave(Math.max(0, left() - SPARE));
        double grace = Math.min(config.settings().drainGrace() - GroupEdfScheduler.DRAIN_SPARE,
                config.stopSeconds() - 2 * SPARE) + CROSSING;
        double open = grace - (config.stopSeconds() - left());
        if (open > 0) {
            Thread.sleep((long) (open * 1000));
        }
        enter(State.CLOSING);
        // From here on nothing that comes may run: callers are better served by a refused connection.
        resp.stopListening();
        resp.connections().forEach(Resp::sayClosing);
        if (uwsgi != null) {
            uwsgi.stopListening();
        }
        do {
            core.awaitDrained(Math.max(0, left() - LAST));
            Thread.sleep(CLOSE_LOOK_MS);
        } while (left() > LAST && !(resp.connections().isEmpty()
                && (uwsgi == null || uwsgi.connections().isEmpty())));
        for (Server.Connection connection : resp.connections()) {
            connection.awaitWritten(Math.max(0, (long) ((left() - LAST / 2) * 1000)));
        }
        enter(State.STOPPED);
    }

    /** Gives all addresses back; what is open is cut. */
    @Override
    public void close() {
        resp.close();
        if (uwsgi != null) {
            uwsgi.close();
        }
        if (door != null) {
            door.close();
        }
        if (snmp != null) {
            snmp.close();
        }
    }

    private double left() {
        return config.stopSeconds() - (System.nanoTime() - noticedAt) / 1e9;
    }

    private void enter(State next) {
        state = next;
        Logger.info("{} is {}", config.name(), phase());
    }
}
