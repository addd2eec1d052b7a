package wharftrestle.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import wharftrestle.Admission.Outcome;
import wharftrestle.core.Core;

/**
 * Owns the connections to the store: HTTP/1.1, one call at a time on each, kept for the next while fresh. It
 * tells how each call ended and must never call a call unrun without proof, nor repeat one by itself.
 */
public final class StoreClient implements Core.Store {
    private static final int MOST_CALLS = 32;
    private static final int LONGEST_LINE = 4096;
    private static final int MOST_HEADERS = 64;
    private static final int LONGEST_REPLY = 1 << 20;
    /** The store closes at 10 s; a call on a connection just closed would prove nothing and be lost. */
    private static final long FRESH_NANOS = 6_000_000_000L;
    /** Milliseconds past the call's limit in which the store's own word of it may come. */
    private static final int GRACE_MS = 20;

    private final InetSocketAddress address;
    private final ThreadPoolExecutor threads = new ThreadPoolExecutor(0, MOST_CALLS, 5, TimeUnit.SECONDS,
            new SynchronousQueue<>(), task -> Core.thread("store", task));
    private final ArrayDeque<Link> idle = new ArrayDeque<>();

    private static final class Link {
        final Socket socket;
        final InputStream in;
        long usedAt;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream(), 4096);
        }

        /** Guards against a call on a connection that the store has closed meanwhile. */
        boolean alive() {
            try {
                socket.setSoTimeout(1);
                in.read();
                return false;   // its end, or bytes that nobody asked for
            } catch (SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                return false;
            }
        }
    }

    private record Reply(Outcome outcome, byte[] body, boolean keep) { }

    /** A call under way; abandoning it closes its connection. */
    private final class Running implements Core.Call {
        private final String ref;
        private final byte[] body;
        private final long until;
        private final Core.CallEnd end;
        private Socket socket;
        private boolean abandoned;

        Running(String ref, byte[] body, long timeoutMs, Core.CallEnd end) {
            this.ref = ref;
            this.body = body;
            this.until = System.nanoTime() + timeoutMs * 1_000_000;
            this.end = end;
        }

        private int left() {
            return (int) Math.max(1, (until - System.nanoTime()) / 1_000_000);
        }

        private synchronized void uses(Socket mine) throws IOException {
            socket = mine;
            if (abandoned) {
                throw new IOException("abandoned");
            }
        }

        private synchronized boolean done() {
            socket = null;
            return !abandoned;
        }

        @Override
        public synchronized void abandon() {
            abandoned = true;
            closeQuietly(socket);
        }

        void run() {
            Reply reply = exchange();
            if (done()) {
                end.ended(reply.outcome(), reply.body());
            }
        }

        private Reply exchange() {
            Link link = fresh();
            try {
                if (link == null) {
                    Socket made = new Socket();
                    uses(made);
                    made.setTcpNoDelay(true);
                    made.connect(address, left());
                    link = new Link(made);
                } else {
                    uses(link.socket);
                }
            } catch (ConnectException refused) {
                forgetIdle();
                return new Reply(Outcome.UNREACHABLE, null, false);
            } catch (SocketTimeoutException late) {
                return new Reply(Outcome.TIMED_OUT, null, false);
            } catch (IOException e) {
                return new Reply(Outcome.BROKEN, null, false);
            }
            Reply reply;
            try {
                link.socket.getOutputStream().write(Bytes.join(Bytes.ascii("POST /v1/exec HTTP/1.1\r\nHost: db\r\n"
                        + "Request-Ref: " + ref + "\r\nStatement-Timeout-Ms: " + left()
                        + "\r\nContent-Length: " + body.length + "\r\n\r\n"), body));
                link.socket.setSoTimeout(left() + GRACE_MS);
                reply = read(link.in);
            } catch (SocketTimeoutException late) {
                reply = new Reply(Outcome.TIMED_OUT, null, false);
            } catch (IOException e) {
                Logger.debug("store call: {}", e.getMessage());
                forgetIdle();
                reply = new Reply(Outcome.BROKEN, null, false);
            }
            if (reply.keep() && done()) {
                link.usedAt = System.nanoTime();
                synchronized (idle) {
                    idle.push(link);
                }
            } else {
                closeQuietly(link.socket);
            }
            return reply;
        }
    }

    public StoreClient(InetSocketAddress address) {
        this.address = address;
    }

    @Override
    public Core.Call begin(String ref, byte[] body, long timeoutMs, Core.CallEnd end) {
        Running call = new Running(ref, body, timeoutMs, end);
        try {
            threads.execute(call::run);
        } catch (RejectedExecutionException full) {
            // Nothing was sent. The module's bound on calls lies far below, so this guards the memory only.
            end.ended(Outcome.UNREACHABLE, null);
        }
        return call;
    }

    private Link fresh() {
        for (;;) {
            Link link;
            synchronized (idle) {
                link = idle.poll();
            }
            if (link == null || System.nanoTime() - link.usedAt < FRESH_NANOS && link.alive()) {
                return link;
            }
            closeQuietly(link.socket);
        }
    }

    private void forgetIdle() {
        synchronized (idle) {
            idle.forEach(link -> closeQuietly(link.socket));
            idle.clear();
        }
    }

    private static Reply read(InputStream in) throws IOException {
        String[] status = Bytes.line(in, LONGEST_LINE).split(" ");
        if (status.length < 2 || !status[0].startsWith("HTTP/1.")) {
            throw new Server.MalformedException("store status line");
        }
        int length = 0;
        boolean neverStarted = false;
        boolean keep = status[0].equals("HTTP/1.1");
        int headers = 0;
        for (String line = Bytes.line(in, LONGEST_LINE); !line.isEmpty(); line = Bytes.line(in, LONGEST_LINE)) {
            int colon = line.indexOf(':');
            if (colon < 0 || ++headers > MOST_HEADERS) {
                throw new Server.MalformedException("store headers");
            }
            String value = line.substring(colon + 1).trim();
            switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
                case "content-length" -> length = (int) Bytes.number(value, LONGEST_REPLY);
                case "never-started" -> neverStarted = value.equals("1");
                case "connection" -> keep &= !value.equalsIgnoreCase("close");
                default -> { }
            }
        }
        byte[] body = Bytes.exactly(in, length);
        return new Reply(outcome(status[1], neverStarted), body, keep);
    }

    /** Only a reply that says so proves that a call never ran. */
    static Outcome outcome(String status, boolean neverStarted) {
        return switch (status) {
            case "200" -> Outcome.SUCCESS;
            case "503" -> neverStarted ? Outcome.OVERLOADED : Outcome.FAILURE;
            case "409" -> neverStarted ? Outcome.VOID : Outcome.FAILURE;
            case "504" -> Outcome.TIMED_OUT;
            default -> Outcome.FAILURE;
        };
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            Logger.debug(e, "closing");
        }
    }
}
