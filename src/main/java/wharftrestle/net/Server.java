package wharftrestle.net;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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

    /** One accepted connection. Any thread may send; whoever finds no one writing writes for all. */
    public static final class Connection implements Closeable {
        private final Socket socket;
        private final InputStream in;
        private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
        private int waiting;
        private boolean writing;
        private boolean closed;
        private boolean finishing;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream(), 4096);
        }

        public InputStream in() {
            return in;
        }

        /** How long a read may wait before it throws SocketTimeoutException; 0 for ever. */
        public void readTimeout(int millis) throws IOException {
            socket.setSoTimeout(millis);
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

    private final String name;
    private final ServerSocket listener;
    private final Front front;
    private final int most;
    private final Counters counters;
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closing;

    /** Listens at once, so that an address that cannot be had is known at the start. */
    public Server(String name, InetSocketAddress address, int most, Front front, Counters counters)
            throws IOException {
        this.name = name;
        this.front = front;
        this.most = most;
        this.counters = counters;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 256);
    }

    public void start() {
        Core.thread(name + "-accept", this::accept).start();
    }

    /** Where it listens, also where the port was chosen by the system. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    public Set<Connection> connections() {
        return open;
    }

    private void accept() {
        while (!closing) {
            try {
                Socket socket = listener.accept();
                if (open.size() >= most) {
                    // Guards against connections eating the descriptors and threads: nothing was read of it.
                    socket.close();
                    continue;
                }
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                open.add(connection);
                counters.add(Count.CONNECTIONS);
                Core.thread(name, () -> serve(connection)).start();
            } catch (IOException e) {
                if (!closing) {
                    Logger.warn("{}: accepting failed: {}", name, e.getMessage());
                }
            }
        }
    }

    private void serve(Connection connection) {
        try {
            front.serve(connection);
        } catch (MalformedException e) {
            counters.add(Count.MALFORMED);
            Logger.warn("{}: malformed input, connection closed: {}", name, e.getMessage());
        } catch (IOException e) {
            Logger.debug("{}: connection ended: {}", name, e.getMessage());
        } finally {
            open.remove(connection);
            connection.close();
        }
    }

    /** Takes no new connections; the open ones go on. */
    public void stopListening() {
        closing = true;
        try {
            listener.close();
        } catch (IOException e) {
            Logger.debug(e, "closing");
        }
    }

    @Override
    public void close() {
        stopListening();
        open.forEach(Connection::close);
    }
}
