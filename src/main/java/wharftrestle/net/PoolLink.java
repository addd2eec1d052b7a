package wharftrestle.net;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import org.tinylog.Logger;
import wharftrestle.Admission.Outcome;
import wharftrestle.core.Core;
import wharftrestle.ops.Counters;
import wharftrestle.ops.Counters.Count;

/**
 * Owns the link to the worker pool: one socket, a thread that reads notices and one that writes commands.
 * It makes the link anew whenever it breaks, binding with the last notice read, and then has the core repeat
 * what no notice has followed. It must never tell a notice twice, and never make its callers wait.
 */
public final class PoolLink implements Core.Pool {
    private static final int LONGEST_LINE = 1024;
    private static final int LONGEST_BODY = 1 << 20;
    private static final int RETRY_MS = 50;
    private static final int CONNECT_MS = 2000;
    private static final byte[] CRLF = {'\r', '\n'};

    private final InetSocketAddress address;
    private final Core core;
    private final Counters counters;
    private volatile Session session;
    private long lastNotice;
    private boolean boundBefore;
    private long binds;

    /** One socket's life. Its commands go with it: those lost are found by the core after the next bind. */
    private static final class Session {
        final Socket socket;
        final LinkedBlockingQueue<byte[]> commands = new LinkedBlockingQueue<>();
        volatile boolean bound;

        Session(Socket socket) {
            this.socket = socket;
        }

        void write() {
            try (OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 8192)) {
                for (byte[] next = commands.take(); next.length > 0; next = commands.take()) {
                    for (byte[] more = next; more != null && more.length > 0; more = commands.poll()) {
                        out.write(more);
                    }
                    out.flush();
                }
            } catch (IOException e) {
                Logger.debug("link: {}", e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void close() throws IOException {
            commands.add(new byte[0]);
            socket.close();
        }
    }

    public PoolLink(InetSocketAddress address, Core core, Counters counters) {
        this.address = address;
        this.core = core;
        this.counters = counters;
    }

    public void start() {
        Core.thread("pool-link", this::keepLinked).start();
    }

    /** True while the worker pool has answered the bind of the present link. */
    public boolean linked() {
        Session now = session;
        return now != null && now.bound;
    }

    private void keepLinked() {
        boolean told = false;
        for (;;) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(address, CONNECT_MS);
                told = false;
                counters.add(Count.RELINKS);
                Session mine = new Session(socket);
                mine.commands.add(line("bind " + lastNotice));
                session = mine;
                Core.thread("pool-write", mine::write).start();
                try {
                    read(mine, new BufferedInputStream(socket.getInputStream(), 8192));
                } finally {
                    session = null;
                    mine.close();
                }
            } catch (IOException | RuntimeException e) {
                if (!told) {
                    Logger.warn("worker pool link: {}", e.toString());
                    told = true;
                }
                if (e instanceof Server.MalformedException) {
                    counters.add(Count.MALFORMED);
                }
            }
            try {
                Thread.sleep(RETRY_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void read(Session mine, InputStream in) throws IOException {
        String barrier = "b" + ++binds;
        for (;;) {
            String[] words = Bytes.line(in, LONGEST_LINE).split(" ");
            switch (words[0]) {
                case "bound" -> {
                    need(words, 3);
                    mine.bound = true;
                    core.bound(words[1].equals("new"), Bytes.duration(words[2]));
                    if (boundBefore) {
                        mine.commands.add(line("poll " + barrier));
                    }
                    boundBefore = true;
                }
                case "finished" -> {
                    need(words, 5);
                    byte[] result = words.length > 5 ? body(words[5], in) : new byte[0];
                    if (isNew(words[1])) {
                        core.finished(words[2], outcome(words[3]), Bytes.duration(words[4]),
                                result);
                    }
                }
                case "blocked" -> {
                    need(words, 4);
                    byte[] call = body(words[3], in);
                    if (isNew(words[1])) {
                        core.blocked(words[2], lastNotice, call);
                    }
                }
                case "polled" -> {
                    need(words, 2);
                    if (words[1].equals(barrier)) {
                        core.relinked();
                    } else {
                        core.gauges(gauges(words));
                    }
                }
                case "unknown" -> {
                    need(words, 3);
                    Logger.warn("the worker pool does not know {} {}", words[1], words[2]);
                    if (words[1].equals("spawn")) {
                        core.finished(words[2], Outcome.VOID, 0, null);
                    }
                }
                case "chatter" -> {
                    need(words, 2);
                    isNew(words[1]);
                }
                default -> throw new Server.MalformedException("worker pool says '" + words[0] + "'");
            }
        }
    }

    /** Guards against notices told again after a bind. */
    private boolean isNew(String word) throws IOException {
        long number = Bytes.number(word, Long.MAX_VALUE);
        if (number <= lastNotice) {
            return false;
        }
        lastNotice = number;
        return true;
    }

    private static Outcome outcome(String end) throws IOException {
        return switch (end) {
            case "good" -> Outcome.SUCCESS;
            case "bad" -> Outcome.FAILURE;
            case "cut" -> Outcome.WITHDRAWN;
            case "gone" -> Outcome.VOID;
            default -> throw new Server.MalformedException("a run ended '" + end + "'");
        };
    }

    private static double[] gauges(String[] words) throws IOException {
        double[] values = new double[words.length - 2];
        for (int i = 0; i < values.length; i++) {
            values[i] = Bytes.decimal(words[i + 2]);
        }
        return values;
    }

    private static void need(String[] words, int least) throws IOException {
        if (words.length < least) {
            throw new Server.MalformedException("worker pool notice too short: " + String.join(" ", words));
        }
    }

    private static byte[] body(String length, InputStream in) throws IOException {
        byte[] body = Bytes.exactly(in, (int) Bytes.number(length, LONGEST_BODY));
        Bytes.crlf(in);
        return body;
    }

    private static byte[] line(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] line(String text, byte[] body) {
        return Bytes.join(line(text + " " + body.length), body, CRLF);
    }

    private void send(byte[] command) {
        Session now = session;
        if (now != null) {
            now.commands.add(command);
        }
    }

    @Override
    public void spawn(String ref, String className, byte[] body) {
        send(line("spawn " + ref + " " + className, body));
    }

    @Override
    public void suspend(String ref) {
        send(line("suspend " + ref));
    }

    @Override
    public void supply(String ref, byte[] reply) {
        send(line("supply " + ref, reply));
    }

    @Override
    public void pass(String ref, long notice) {
        send(line("pass " + ref + " " + notice));
    }

    @Override
    public boolean poll() {
        Session now = session;
        if (now == null || !now.bound) {
            return false;
        }
        now.commands.add(line("poll g"));
        return true;
    }
}
