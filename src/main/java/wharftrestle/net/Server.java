package wharftrestle.net;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.core.Core;
import wharftrestle.ops.Counters;
import wharftrestle.ops.Counters.Count;

/**
 * Owns one listening address, its connections and a thread for each. It knows no protocol: a front reads a
 * connection to its end and writes through {@link Connection#send}. It must never let one peer's slowness or
 * nonsense reach another: a peer that does not read is cut, one that sends nonsense is closed and counted.
 */
public final class Server implements Closeable {

    /** Reads one connection until it ends. */
    public interface Front {
        /** Returns at the peer's end; throws {@link MalformedException} at what it cannot read. */
        void serve(Connection connection) throws IOException;

        /** Tells a connection that it is to be closed, as its listener ends or to make room; nothing is open on it. */
        default void dismiss(Connection connection) { }
    }

    /** Input that no peer of the protocol sends. */
    public static final class MalformedException extends IOException {
        private static final long serialVersionUID = 1L;

        public MalformedException(String message) {
            super(message);
        }
    }

    /** Bytes that may wait for a peer that does not read: some dozens of the longest answers. */
    private static final int MOST_WAITING = 512 * 1024;

    /** What a connection has shown of itself; the least goes first where room is short. */
    public enum Merit { SILENT, HEARD, SERVED }

    /** One accepted connection. Any thread may send; whoever finds no one writing writes for all. */
    public static final class Connection implements Closeable {
        private static final int RETIRED = -1;

        private final Socket socket;
        private final Bytes.Timed timed;
        private final InputStream in;
        private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
        private final AtomicInteger owed = new AtomicInteger();
        private final long openedAt = System.nanoTime();
        private volatile long heardAt = openedAt;
        private volatile Merit merit = Merit.SILENT;
        private volatile long dismissedAt;
        private volatile boolean tellsSettled;
        private int waiting;
        private boolean writing;
        private boolean closed;
        private boolean finishing;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            timed = new Bytes.Timed(socket);
            in = new BufferedInputStream(timed, 2048);
        }

        public InputStream in() {
            return in;
        }

        /** All reads up to this moment of System.nanoTime; then they throw SocketTimeoutException. */
        public void readUntil(long nanos) {
            timed.until(nanos);
        }

        public long openedAt() {
            return openedAt;
        }

        /** When its last whole message had come, or it was opened. */
        public long heardAt() {
            return heardAt;
        }

        public Merit merit() {
            return merit;
        }

        /** A whole message was read and understood, or an answer 'served' is owed to what was asked here. */
        public void heard(Merit shown) {
            heardAt = System.nanoTime();
            if (shown.compareTo(merit) > 0) {
                merit = shown;
            }
        }

        /** Its front has dealt with all that was read and waits for the next message. */
        public void settled() {
            tellsSettled = true;
            timed.settled();
        }

        /** Its peer was told that no new request may come here, and is given the time to hear of it. */
        public void dismissed() {
            dismissedAt = System.nanoTime();
        }

        /** When its peer was told so; 0 where it was not. */
        public long dismissedAt() {
            return dismissedAt;
        }

        /** A request is taken in; false where this connection was retired meanwhile. */
        public boolean begin() {
            return owed.updateAndGet(count -> count == RETIRED ? RETIRED : count + 1) != RETIRED;
        }

        /** Its answer is on its way, or nobody waits for it. */
        public void end() {
            owed.decrementAndGet();
        }

        public int owed() {
            return owed.get();
        }

        /**
         * Takes it out of service; false where a request is open on it, waits unread or is read and not yet taken
         * in, or an answer waits to be written: a close would lose it.
         */
        public boolean retire() {
            synchronized (queue) {
                if (writing && !closed) {
                    return false;
                }
            }
            try {
                // Of a silent peer nothing can be lost: what a new connection brings has failed where it is closed.
                boolean inHand = tellsSettled && merit != Merit.SILENT && timed.fresh();
                return timed.available() == 0 && !inHand && (owed.compareAndSet(0, RETIRED) || owed.get() == RETIRED);
            } catch (IOException e) {
                return true;   // its end is known already
            }
        }

        /** Sends whole messages in the order given; never waits for a write of another thread. */
        public void send(byte[] message) {
            synchronized (queue) {
                if (closed) {
                    return;
                }
                waiting += message.length;
                if (waiting > MOST_WAITING) {
                    // Guards against a peer that does not read: its answers must not fill the memory.
                    Logger.warn("a peer does not read its answers; cut");
                    close();
                    return;
                }
                queue.add(message);
                if (writing) {
                    return;
                }
                writing = true;
            }
            drain();
        }

        private void drain() {
            try {
                for (;;) {
                    byte[] message;
                    synchronized (queue) {
                        message = queue.poll();
                        if (message == null) {
                            writing = false;
                            queue.notifyAll();
                            if (finishing && !closed) {
                                socket.shutdownOutput();
                            }
                            return;
                        }
                        waiting -= message.length;
                    }
                    socket.getOutputStream().write(message);
                }
            } catch (IOException e) {
                close();   // the peer's side is gone, and its answers with it
            }
        }

        /** Ends this side once all that was sent is written. */
        public void finish() {
            synchronized (queue) {
                finishing = true;
                if (writing || closed) {
                    return;
                }
                writing = true;
            }
            drain();
        }

        /** Waits until all that was sent is written, at most so long. */
        public void awaitWritten(long millis) throws InterruptedException {
            long end = System.nanoTime() + millis * 1_000_000;
            synchronized (queue) {
                for (long left = millis; writing && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
                    queue.wait(left);
                }
            }
        }

        /** Why it is closed, and how it stood then: what to look for where a request was lost with it. */
        private void note(String front, String why) {
            if (Logger.isDebugEnabled()) {
                long now = System.nanoTime();
                Logger.debug("{}: {} closed: {} ({}, owes {}, heard {} ms ago, told to go {}{})", front,
                        socket.getRemoteSocketAddress(), why, merit, owed.get(), (now - heardAt) / 1_000_000,
                        dismissedAt == 0 ? "never" : (now - dismissedAt) / 1_000_000 + " ms ago",
                        closed ? ", was closed" : "");
            }
        }

        @Override
        public void close() {
            synchronized (queue) {
                closed = true;
                writing = false;
                queue.clear();
                queue.notifyAll();
            }
            try {
                socket.close();
            } catch (IOException e) {
                Logger.debug(e, "closing");
            }
        }
    }

    /** Milliseconds in which a peer that was told to go may do so: longer than a process stands still for its share. */
    public static final int GO_MS = 300;
    private static final int MOST_TRIES = 8;
    /** Connections beyond the most that may be about to close. */
    private static final int MOST_DEPARTING = 16;
    /** Nanoseconds in which a peer may be writing its first message still. */
    private static final long FIRST_NANOS = 2_300_000_000L;
    /** Nanoseconds of silence after which one that had its answers is worth less than one that writes. */
    private static final long IDLE_NANOS = 1_000_000_000L;
    /** Threads that wait for connections at any time. */
    private static final int READY = 2;
    /** Connections that may wait to be accepted. */
    private static final int BACKLOG = 512;
    /** Milliseconds between two looks at whether the listener is to end, and of the last one. */
    private static final int LOOK_MS = 50;
    /** Nanoseconds in which a listener that ends is emptied at most, however many still come. */
    private static final long EMPTY_NANOS = 300_000_000L;

    private final String name;
    private final InetSocketAddress address;
    private volatile ServerSocket listener;
    private Thread accepting;
    private final Front front;
    private volatile int most;
    private final Counters counters;
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    /** Those of the open ones that were told to close, the first first; touched by who accepts alone. */
    private final ArrayDeque<Connection> departing = new ArrayDeque<>();
    private final AtomicLong toldAt = new AtomicLong(System.nanoTime() - 2_000_000_000L);
    /** A thread each while it lasts; kept some seconds for the next, as a new one costs more than an answer. */
    private final ThreadPoolExecutor threads;
    private volatile boolean closing;

    /** Takes nothing until it is told to listen. */
    public Server(String name, InetSocketAddress address, int most, Front front, Counters counters) {
        this.name = name;
        this.address = address;
        this.front = front;
        this.most = most;
        this.counters = counters;
        threads = new ThreadPoolExecutor(READY, Integer.MAX_VALUE, 5, TimeUnit.SECONDS, new SynchronousQueue<>(),
                task -> Core.thread(name, task));
    }

    /**
     * Takes the address; what comes waits for {@link #start}. Where it is shared, another process of this box
     * may listen at it too. Guards against sharing it with a stranger: without that other process, it is first
     * taken for this one alone.
     */
    public void listen(boolean shared, boolean alone) throws IOException {
        if (shared && alone && address.getPort() != 0) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.setReuseAddress(true);
                probe.bind(address, 1);
            }
        }
        ServerSocket made = new ServerSocket();
        try {
            made.setReuseAddress(true);
            if (shared) {
                made.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            made.bind(address, BACKLOG);
        } catch (IOException e) {
            made.close();
            throw e;
        }
        closing = false;
        listener = made;
    }

    public void start() {
        threads.prestartAllCoreThreads();
        accepting = Core.thread(name + "-accept", this::accept);
        accepting.start();
    }

    public boolean listening() {
        ServerSocket now = listener;
        return now != null && !now.isClosed();
    }

    /** So many connections at most from now on. */
    public void limit(int connections) {
        most = connections;
    }

    /** Where it listens, also where the port was chosen by the system. */
    public InetSocketAddress address() {
        return listener == null ? address : (InetSocketAddress) listener.getLocalSocketAddress();
    }

    public Set<Connection> connections() {
        return open;
    }

    private void accept() {
        ServerSocket mine = listener;
        long endBy = 0;
        for (boolean empty = false; !empty && (endBy == 0 || System.nanoTime() < endBy);) {
            Socket socket = null;
            // Guards against resets: what waits at a listener that ends is taken before it is closed.
            boolean last = closing;
            if (last && endBy == 0) {
                endBy = System.nanoTime() + EMPTY_NANOS;
            }
            try {
                mine.setSoTimeout(last ? 1 : LOOK_MS);
                socket = mine.accept();
                take(socket);
            } catch (SocketTimeoutException quiet) {
                empty = last;
            } catch (IOException | RuntimeException | Error e) {
                // Guards against the listener ending for good, or spinning, while descriptors or memory are short.
                Bytes.closeQuietly(socket);
                if (mine.isClosed()) {
                    return;
                }
                tell("accepting failed: " + e);
                LockSupport.parkNanos(20_000_000);
            }
        }
        Bytes.closeQuietly(mine);
    }

    private void take(Socket socket) throws IOException {
        departing.removeIf(each -> !open.contains(each));
        if (open.size() - departing.size() >= most && !makeRoom()) {
            // Guards against connections eating the descriptors and threads: nothing was read of it.
            Logger.debug("{}: {} closed unread: no room", name, socket.getRemoteSocketAddress());
            socket.close();
            return;
        }
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(socket);
        open.add(connection);
        counters.add(Count.CONNECTIONS);
        if (closing) {
            // Guards against a peer that came with the end of the listener and never heard of it.
            front.dismiss(connection);
        }
        try {
            threads.execute(() -> serve(connection));
        } catch (RuntimeException | Error noThread) {
            open.remove(connection);
            throw noThread;
        }
    }

    /** The least goes first, and among equals who was silent longest. */
    private static int use(Connection each, long now) {
        long quiet = now - each.heardAt();
        boolean silent = each.merit() == Merit.SILENT;
        return silent && quiet > FIRST_NANOS ? 0 : !silent && quiet > IDLE_NANOS ? 1 : 2 + each.merit().ordinal();
    }

    /**
     * Sends away the connection that is likeliest of no more use; false where each owes an answer. Guards against
     * silent peers, or ones that ask once and stay, locking front ends out; and against those that take two
     * seconds for their first request being cut for the sake of others that have their answer. Guards against
     * losing a request that crosses its close on a process that stood still for a moment: who was heard before
     * is told first, and closed when it has not gone by the time that more are told than there is room for.
     */
    private boolean makeRoom() {
        Set<Connection> kept = new HashSet<>(departing);
        long now = System.nanoTime();
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            Connection least = null;
            for (Connection each : open) {
                if (each.owed() <= 0 && !kept.contains(each) && (least == null || use(each, now) < use(least, now)
                        || use(each, now) == use(least, now) && each.heardAt() < least.heardAt())) {
                    least = each;
                }
            }
            if (least == null) {
                return false;
            }
            kept.add(least);
            if (least.merit() == Merit.SILENT ? cut(least, false) : departing.size() < MOST_DEPARTING || cutFirst()) {
                counters.add(Count.DISMISSED);
                if (open.contains(least)) {
                    departing.add(least);
                    if (least.dismissedAt() == 0) {
                        front.dismiss(least);
                        least.dismissed();
                    }
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Sends away all but so many, those of least use first, without harm to what is on its way: who was heard is
     * told, and closed if it has not gone by {@link #GO_MS}; the silent ones end by themselves.
     */
    public void sendAway(int keep) {
        long now = System.nanoTime();
        List<Connection> surplus = open.stream().filter(each -> each.merit() != Merit.SILENT && each.owed() <= 0)
                .sorted(Comparator.comparingInt((Connection each) -> use(each, now)).thenComparing(Connection::heardAt))
                .limit(Math.max(0, open.size() - keep)).toList();
        for (Connection each : surplus) {
            if (each.dismissedAt() == 0) {
                front.dismiss(each);
                each.dismissed();
            }
        }
        if (!surplus.isEmpty()) {
            Core.thread(name + "-away", () -> {
                LockSupport.parkNanos(GO_MS * 1_000_000L);
                surplus.stream().filter(open::contains).forEach(each -> cut(each, true));
            }).start();
        }
    }

    /** Closes one of those told to go, the first told that owes nothing. */
    private boolean cutFirst() {
        for (Connection each : departing) {
            if (cut(each, true)) {
                departing.remove(each);
                return true;
            }
        }
        return false;
    }

    private boolean cut(Connection connection, boolean told) {
        if (!connection.retire()) {
            return false;
        }
        open.remove(connection);
        if (!told) {
            front.dismiss(connection);
        }
        connection.note(name, told ? "it was told to go" : "to make room");
        connection.close();
        return true;
    }

    private void serve(Connection connection) {
        String why = "its peer went, or was told to go";
        try {
            front.serve(connection);
        } catch (MalformedException e) {
            why = "malformed input";
            counters.add(Count.MALFORMED);
            tell("malformed input, connection closed: " + e.getMessage());
        } catch (IOException e) {
            why = e.toString();
        } catch (RuntimeException e) {
            why = e.toString();
            tell("a connection ended by a fault: " + e);
        } finally {
            open.remove(connection);
            connection.note(name, why);
            connection.close();
        }
    }

    /** Guards against a log that grows as fast as nonsense comes in: one line a second. */
    private void tell(String what) {
        long now = System.nanoTime();
        long last = toldAt.get();
        if (now - last > 1_000_000_000L && toldAt.compareAndSet(last, now)) {
            Logger.warn("{}: {}", name, what);
        }
    }

    /** Takes what has connected and then no new connections; the open ones go on. */
    public void stopListening() {
        closing = true;
        try {
            if (accepting != null) {
                accepting.join(LOOK_MS + 2 * EMPTY_NANOS / 1_000_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Bytes.closeQuietly(listener);
    }

    @Override
    public void close() {
        stopListening();
        open.forEach(Connection::close);
        threads.shutdown();
    }
}
