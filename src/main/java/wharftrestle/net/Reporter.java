package wharftrestle.net;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import org.tinylog.Logger;
import wharftrestle.core.Core;
import wharftrestle.ops.Counters;
import wharftrestle.ops.Counters.Count;

/**
 * Owns the reports to the name service: one datagram well inside the 3 s after which an entry runs out, and
 * one at once when health changes. It must never make the one who changes health wait.
 */
public final class Reporter implements Core.Watcher {
    private static final int EVERY_MS = 700;

    private final String name;
    private final InetSocketAddress naming;
    private final Counters counters;
    private boolean good = true;
    private boolean changed;

    public Reporter(String name, InetSocketAddress naming, Counters counters) {
        this.name = name;
        this.naming = naming;
        this.counters = counters;
    }

    public void start() {
        Core.thread("reporter", this::report).start();
    }

    @Override
    public synchronized void health(boolean now) {
        changed |= now != good;
        good = now;
        notifyAll();
    }

    private void report() {
        boolean told = false;
        for (;;) {
            try (DatagramSocket socket = new DatagramSocket()) {
                for (;;) {
                    byte[] word = Bytes.ascii("renew " + name + (next() ? " yes" : " no"));
                    socket.send(new DatagramPacket(word, word.length, naming));
                    counters.add(Count.REPORTS);
                    told = false;
                }
            } catch (IOException e) {
                if (!told) {
                    Logger.warn("name service: {}", e.getMessage());
                    told = true;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean first = true;

    private synchronized boolean next() throws InterruptedException {
        long end = System.nanoTime() + EVERY_MS * 1_000_000L;
        for (long left = EVERY_MS; !first && !changed && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
        first = false;
        changed = false;
        return good;
    }
}
