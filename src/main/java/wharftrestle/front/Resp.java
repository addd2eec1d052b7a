package wharftrestle.front;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import wharftrestle.Admission;
import wharftrestle.core.Core;
import wharftrestle.net.Bytes;
import wharftrestle.net.Server;
import wharftrestle.net.Server.MalformedException;
import wharftrestle.ops.Counters;
import wharftrestle.ops.Counters.Count;

/**
 * The platform's front: RESP arrays of bulk strings, parsed and written here. It owns the tags open on a
 * connection and nothing else; it must never decide about a request, and never keep one past its answer.
 */
public final class Resp implements Server.Front {
    private static final int MOST_PARTS = 8;
    private static final int LONGEST_PART = 8 * 1024;
    private static final int LONGEST_COUNT = 12;
    /** Milliseconds between two looks at whether an idle connection may go. */
    private static final int LOOK_MS = 500;
    private static final byte[] CLOSING = array("0", "closing", "", new byte[0]);

    private final Core core;
    private final Counters counters;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    public Resp(Core core, Counters counters) {
        this.core = core;
        this.counters = counters;
        List<Admission.RequestClass> known = core.settings().classes();
        for (int i = 0; i < known.size(); i++) {
            classes.put(known.get(i).name(), i);
        }
        for (int i = 0; i < core.settings().tenants().size(); i++) {
            tenants.put(core.settings().tenants().get(i).name(), i);
        }
    }

    /** Tells a peer that no new request may come on its connection. */
    public static void sayClosing(Server.Connection connection) {
        connection.send(CLOSING);
    }

    @Override
    public void serve(Server.Connection connection) throws IOException {
        Map<String, Object> open = new ConcurrentHashMap<>();
        try {
            for (byte[][] words = read(connection, open); words != null; words = read(connection, open)) {
                take(connection, open, words);
            }
        } finally {
            open.values().forEach(core::left);
        }
    }

    private void take(Server.Connection connection, Map<String, Object> open, byte[][] words) throws IOException {
        String verb = text(words[0]);
        if (words.length < 2) {
            throw new MalformedException("a command without a tag");
        }
        String tag = text(words[1]);
        Bytes.number(tag, Long.MAX_VALUE);
        switch (verb) {
            case "ASK" -> ask(connection, open, tag, words);
            case "NEVERMIND" -> {
                Object left = open.remove(tag);
                if (left != null) {
                    core.left(left);
                }
            }
            case "STATUS" -> {
                counters.add(Count.CHECKS);
                connection.send(array(tag, core.healthy() ? "healthy" : "sick", "", new byte[0]));
            }
            default -> throw new MalformedException("no such command");
        }
    }

    private void ask(Server.Connection connection, Map<String, Object> open, String tag, byte[][] words)
            throws IOException {
        if (words.length < 4) {
            throw new MalformedException("a request without its fields");
        }
        Map<String, String> fields = fields(text(words[3]));
        Integer type = classes.get(text(words[2]));
        Integer tenant = tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(fields.get("team"));
        String ref = fields.get("txn");
        boolean keyed = type != null
                && core.settings().classes().get(type).repeat() == Admission.Repeat.KEYED;
        if (ref == null || !ref.matches("[0-9a-f]{16}") || fields.get("door") == null
                || keyed && fields.get("unique") == null) {
            throw new MalformedException("a request without its reference, its time or its key");
        }
        if (type == null || tenant == null) {
            // Well formed, but of a class or tenant that this site has not: it cannot run here.
            counters.add(Count.FAILED);
            connection.send(array(tag, "error", "", new byte[0]));
            return;
        }
        Core.Arrival arrival = new Core.Arrival(ref, type, tenant, Bytes.decimal(fields.getOrDefault("ram", "1")),
                (int) Bytes.number(fields.getOrDefault("lb", "0"), Integer.MAX_VALUE),
                Bytes.decimal(fields.getOrDefault("standing", "0")), keyed ? fields.get("unique") : null,
                fields.get("item"), Bytes.number(fields.get("door"), Long.MAX_VALUE),
                words.length > 4 ? words[4] : new byte[0]);
        Answering answering = new Answering(connection, open, tag);
        synchronized (answering) {
            Object taken = core.accept(arrival, answering);
            if (taken != null) {
                open.put(tag, taken);
            }
        }
    }

    private record Answering(Server.Connection connection, Map<String, Object> open, String tag)
            implements Core.Caller {
        @Override
        public void answer(Core.Answer answer) {
            synchronized (this) {
                open.remove(tag);
            }
            connection.send(switch (answer.kind()) {
                case SERVED -> array(tag, "done", "", answer.result());
                case FAILED, LATE -> array(tag, "error", "", answer.result());
                case REFUSED -> array(tag, "later", advice(answer), answer.result());
            });
        }

        private static String advice(Core.Answer answer) {
            long millis = Math.round(answer.retryAfter() * 1000);
            String wait = millis > 0 ? "later=" + millis : "";
            return !answer.nowhereElse() ? wait : wait.isEmpty() ? "giveup=1" : wait + ",giveup=1";
        }
    }

    private static Map<String, String> fields(String text) throws MalformedException {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.isEmpty() ? new String[0] : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals <= 0) {
                throw new MalformedException("a field without a value");
            }
            fields.put(field.substring(0, equals), field.substring(equals + 1));
        }
        return fields;
    }

    /** The next array; null at the peer's end between two, or where the connection stood idle long enough. */
    private byte[][] read(Server.Connection connection, Map<String, Object> open) throws IOException {
        InputStream in = connection.in();
        int mark = first(connection, open);
        if (mark < 0) {
            return null;
        }
        if (mark != '*') {
            throw new MalformedException("no array");
        }
        int count = (int) Bytes.number(Bytes.line(in, LONGEST_COUNT), MOST_PARTS);
        if (count == 0) {
            throw new MalformedException("an empty array");
        }
        byte[][] words = new byte[count][];
        for (int i = 0; i < count; i++) {
            int kind = in.read();
            if (kind < 0) {
                throw new EOFException("ended within an array");
            }
            if (kind != '$') {
                throw new MalformedException("no bulk string");
            }
            words[i] = Bytes.exactly(in, (int) Bytes.number(Bytes.line(in, LONGEST_COUNT), LONGEST_PART));
            Bytes.crlf(in);
        }
        return words;
    }

    private int first(Server.Connection connection, Map<String, Object> open) throws IOException {
        long since = System.nanoTime();
        try {
            for (;;) {
                connection.readTimeout(LOOK_MS);
                try {
                    return connection.in().read();
                } catch (SocketTimeoutException quiet) {
                    double limit = core.idleLimit();
                    if (limit > 0 && open.isEmpty() && System.nanoTime() - since > limit * 1e9) {
                        sayClosing(connection);
                        return -1;
                    }
                }
            }
        } finally {
            connection.readTimeout(0);
        }
    }

    private static String text(byte[] word) {
        return new String(word, StandardCharsets.ISO_8859_1);
    }

    static byte[] array(String tag, String word, String fields, byte[] body) {
        return Bytes.join(Bytes.ascii("*4\r\n" + bulk(tag) + bulk(word) + bulk(fields)
                + "$" + body.length + "\r\n"), body, Bytes.ascii("\r\n"));
    }

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }
}
