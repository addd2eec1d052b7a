package wharftrestle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import wharftrestle.core.Core;
import wharftrestle.front.Resp;
import wharftrestle.net.Config;
import wharftrestle.net.PoolLink;
import wharftrestle.net.Reporter;
import wharftrestle.net.Server;
import wharftrestle.net.StoreClient;
import wharftrestle.ops.Counters;

/**
 * Owns the daemon from its start to its exit: it puts the parts together, and its named states say how far it
 * has come. It must never go back a state, take part in a request, or leave before all that was read has its
 * answer while there is time.
 */
public final class Lifecycle {

    /** From start to exit, in this order. */
    public enum State { STARTING, SERVING, LEAVING, CLOSING, STOPPED }

    /** Part of the descriptors that callers may hold: they open at most half, checks and store calls come on top. */
    private static final double CALLERS_SHARE = 0.7;
    /** Seconds before the process is stopped by which all answers are out, even on crowded cores. */
    private static final double SPARE = 0.3;
    /** Seconds left for peers to close their connections once all is answered. */
    private static final double LAST = 0.1;

    private final Config config;
    private final Counters counters = new Counters();
    private final Core core;
    private final PoolLink pool;
    private final Server resp;
    private final Reporter reporter;
    private final CountDownLatch notice = new CountDownLatch(1);
    private volatile State state = State.STARTING;
    private volatile long noticedAt;

    public Lifecycle(Config config) throws IOException {
        this.config = config;
        core = new Core(config.settings(), config.seed(), GroupEdfScheduler::new, counters);
        pool = new PoolLink(config.pool(), core, counters);
        reporter = new Reporter(config.name(), config.naming(), counters);
        resp = new Server("resp", config.listen(), (int) (CALLERS_SHARE * config.sockets()),
                new Resp(core, counters), counters);
    }

    public void start() {
        core.open(pool, new StoreClient(config.db()), reporter);
        pool.start();
        reporter.start();
        resp.start();
        enter(State.SERVING);
    }

    public State state() {
        return state;
    }

    public Core core() {
        return core;
    }

    public Counters counters() {
        return counters;
    }

    /** Where the platform's front listens. */
    public InetSocketAddress respAddress() {
        return resp.address();
    }

    /** The notice to leave; only the first counts. */
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
        double grace = Math.min(config.settings().drainGrace(), config.stopSeconds() - 2 * SPARE);
        double open = grace - (config.stopSeconds() - left());
        if (open > 0) {
            Thread.sleep((long) (open * 1000));
        }
        enter(State.CLOSING);
        // From here on nothing that comes may run: callers are better served by a refused connection.
        resp.connections().forEach(Resp::sayClosing);
        resp.stopListening();
        do {
            core.awaitDrained(Math.max(0, left() - LAST));
            Thread.sleep(10);
        } while (!resp.connections().isEmpty() && left() > LAST);
        for (Server.Connection connection : resp.connections()) {
            connection.awaitWritten((long) (LAST * 500));
        }
        enter(State.STOPPED);
    }

    private double left() {
        return config.stopSeconds() - (System.nanoTime() - noticedAt) / 1e9;
    }

    private void enter(State next) {
        state = next;
        Logger.info("{} is {}", config.name(), next.name().toLowerCase(java.util.Locale.ROOT));
    }
}
