package wharftrestle.box;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;
import wharftrestle.clock.Wall;
import wharftrestle.net.Address;

/**
 * Carries out what {@link Keeper} decides: it starts, watches and ends the daemons of one box, keeps the journal, and
 * takes orders at a Unix socket in its folder. It owns that folder while it runs. It must never do a thing before it stands
 * in the journal, or end a daemon with itself: a keeper that goes leaves its daemons, and the next one adopts them.
 */
public final class BoxKeeper implements Closeable {

    /**
     * Where things are.
     *
     * @param state    the keeper's own folder: journal, lock, socket, logs of daemons; also where daemons meet
     * @param releases all releases
     * @param config   the daemon's configuration
     * @param java     command and options before -jar
     */
    public record Places(Path state, Path releases, Path config, List<String> java) { }

    /** The folder is another keeper's. */
    public static final class TakenException extends Exception {
        private static final long serialVersionUID = 1L;

        TakenException(String message) {
            super(message);
        }
    }

    private record Running(long pid, long began, int door, String release, ProcessHandle handle) { }

    private record Order(String text, BlockingQueue<String> answer) { }

    /** Milliseconds between two looks at the daemons. */
    private static final long LOOK_MS = 100;
    private static final int DOOR_MS = 1000;
    private static final int LONGEST_ORDER = 200;
    private static final String GONE = "no the keeper goes";
    private static final String SOCKET = "keeper.sock";
    /** What the door's figures of answers end with: served, refused, failed. */
    private static final String[] FIGURES = {"succeeded", "declined", "aborted"};

    private final Places places;
    private final Releases releases;
    private final Keeper keeper;
    private final FileChannel lockFile;
    private final StepLog journal;
    private final Map<Keeper.Role, Running> running = new EnumMap<>(Keeper.Role.class);
    private final List<Running> ending = new ArrayList<>();
    private final BlockingQueue<Order> orders = new LinkedBlockingQueue<>();
    private final PrintStream out;
    private final Consumer<StepLog.Entry> before;
    private ServerSocketChannel socket;
    private int logs;
    private volatile boolean over;

    /**
     * Takes the folder.
     *
     * @throws TakenException where another keeper has it
     */
    public BoxKeeper(Places places, Keeper.Limits limits, PrintStream out) throws IOException, TakenException {
        this(places, limits, out, step -> { });
    }

    /** The same with one who is told of each step before it is written, so that tests can end the keeper there. */
    BoxKeeper(Places places, Keeper.Limits limits, PrintStream out, Consumer<StepLog.Entry> before)
            throws IOException, TakenException {
        this.places = places;
        this.out = out;
        this.before = before;
        releases = new Releases(places.releases());
        keeper = new Keeper(limits);
        Files.createDirectories(places.state());
        lockFile = FileChannel.open(places.state().resolve("keeper.lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new TakenException("another keeper has this box (" + places.state() + ")");
        }
        journal = new StepLog(places.state().resolve("journal.jsonl"));
    }

    /** Keeps the box until {@link #stop}: adopts what runs, else starts this release, or the last one where it is null. */
    public void run(String first) throws IOException, InterruptedException {
        listen();
        findStarted();
        Found found = Found.of(journal.entries(), step -> handle(step).isPresent());
        for (StepLog.Entry each : found.end()) {
            say("ended", Keeper.Role.COMES, each.release(), each.pid(), each.began(), each.door(),
                    "its change had no keeper any more");
            handle(each).ifPresent(ProcessHandle::destroyForcibly);
        }
        found.leave().forEach(each -> handle(each).ifPresent(ProcessHandle::destroy));
        if (found.serves() != null) {
            StepLog.Entry serves = found.serves();
            running.put(Keeper.Role.SERVES, new Running(serves.pid(), serves.began(), serves.door(), serves.release(),
                    handle(serves).orElseThrow()));
            carryOut(keeper.adopt(found.release(), found.good(), found.probation(), now()));
        } else {
            String start = first != null ? first : found.release();
            String against = start.isEmpty() ? "no release is named, and none ran before" : releases.against(start);
            if (!against.isEmpty() && !found.good().isEmpty()) {
                start = found.good();
                against = releases.against(start);
            }
            if (!against.isEmpty()) {
                throw new IOException(against);
            }
            carryOut(keeper.run(start, found.good(), now()));
        }
        Order order = null;
        try {
            while (!over) {
                order = orders.poll(LOOK_MS, TimeUnit.MILLISECONDS);
                if (order != null) {
                    order.answer().add(obey(order.text()));
                }
                look();
            }
        } finally {
            // Guards against somebody who waits for ever for a keeper that has gone.
            over = true;
            if (order != null) {
                order.answer().add(GONE);
            }
            orders.forEach(each -> each.answer().add(GONE));
        }
    }

    /** The keeper goes, and its daemons stay. */
    public void stop() {
        over = true;
    }

    /** A keeper that died just after it started a daemon left a step without its process: it is known by its door. */
    private void findStarted() throws IOException {
        List<StepLog.Entry> steps = journal.entries();
        StepLog.Entry last = steps.isEmpty() ? null : steps.get(steps.size() - 1);
        if (last == null || !last.what().equals("starting")) {
            return;
        }
        String door = "EDGE_CONSOLE=127.0.0.1:" + last.door();
        for (ProcessHandle each : ProcessHandle.allProcesses().toList()) {
            if (environment(each).contains(door)) {
                journal.add(new StepLog.Entry(Wall.now(), "started", last.role(), last.release(),
                        last.good(), each.pid(), began(each), last.door(), "found by its door"));
            }
        }
    }

    private static List<String> environment(ProcessHandle of) {
        try {
            return List.of(Files.readString(Path.of("/proc/" + of.pid() + "/environ"), StandardCharsets.ISO_8859_1)
                    .split("\0"));
        } catch (IOException gone) {
            return List.of();
        }
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private static Optional<ProcessHandle> handle(StepLog.Entry step) {
        return ProcessHandle.of(step.pid()).filter(ProcessHandle::isAlive).filter(handle -> began(handle) == step.began());
    }

    private static long began(ProcessHandle handle) {
        return handle.info().startInstant().map(at -> at.toEpochMilli()).orElse(0L);
    }

    // ---- Orders ----

    private void listen() throws IOException {
        Path at = places.state().resolve(SOCKET);
        Files.deleteIfExists(at);
        socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        socket.bind(UnixDomainSocketAddress.of(at));
        Thread listener = new Thread(() -> {
            try {
                for (;;) {
                    SocketChannel caller = socket.accept();
                    Thread serves = new Thread(() -> serve(caller), "order");
                    serves.setDaemon(true);
                    serves.start();
                }
            } catch (IOException closed) {
                return;
            }
        }, "orders");
        listener.setDaemon(true);
        listener.start();
    }

    private void serve(SocketChannel caller) {
        try (caller) {
            BufferedReader in = new BufferedReader(new InputStreamReader(Channels.newInputStream(caller),
                    StandardCharsets.UTF_8));
            String line = in.readLine();
            if (line != null && line.length() <= LONGEST_ORDER) {
                Order order = new Order(line, new LinkedBlockingQueue<>());
                orders.add(order);
                if (over) {
                    order.answer().add(GONE);
                }
                caller.write(ByteBuffer.wrap((order.answer().take() + "\n").getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IOException e) {
            Logger.debug("order: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one order to the keeper of this folder; its answer, or null where none keeps it. */
    public static String order(Path state, String text) {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(state.resolve(SOCKET)))) {
            channel.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)));
            return new BufferedReader(new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8))
                    .readLine();
        } catch (IOException none) {
            return null;
        }
    }

    /** Answers begin with "ok" or "no". */
    private String obey(String text) throws IOException {
        String[] words = text.split(" ", 2);
        switch (words[0]) {
            case "status" -> {
                return status();
            }
            case "change" -> {
                String to = words.length > 1 ? words[1] : "";
                String against = keeper.against(to);
                against = against.isEmpty() ? releases.against(to) : against;
                if (!against.isEmpty()) {
                    return "no " + against;
                }
                carryOut(keeper.change(to, now()));
                return "ok changing to " + to;
            }
            case "back" -> {
                String to = keeper.good();
                String against = to.isEmpty() ? "" : releases.against(to);
                if (!against.isEmpty()) {
                    return "no " + against;
                }
                List<Keeper.Act> acts = keeper.back(now());
                carryOut(acts);
                return acts.isEmpty() ? "no there is nothing to go back to" : "ok going back";
            }
            default -> {
                return "no such order: " + words[0];
            }
        }
    }

    private String status() throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("state", keeper.state().name().toLowerCase(Locale.ROOT));
        all.put("release", keeper.release());
        all.put("candidate", keeper.candidate());
        all.put("back_to", keeper.good());
        all.put("reason", keeper.reason());
        running.forEach((role, each) -> all.put(role.name().toLowerCase(Locale.ROOT),
                Map.of("pid", each.pid(), "release", each.release(), "door", each.door(), "ready", ready(each))));
        return "ok " + new ObjectMapper().writeValueAsString(all);
    }

    // ---- The daemons ----

    private void look() throws IOException {
        for (Keeper.Role role : List.copyOf(running.keySet())) {
            Running each = running.get(role);
            if (each == null) {
                continue;   // it changed its role meanwhile
            }
            if (!each.handle().isAlive()) {
                running.remove(role);
                say("ended", role, each.release(), each.pid(), each.began(), each.door(), "by itself");
                carryOut(keeper.died(role, now()));
            } else if (keeper.state() != Keeper.State.SERVING && keeper.state() != Keeper.State.PROBATION && ready(each)) {
                carryOut(keeper.ready(role, now()));
            } else if (role == Keeper.Role.COMES) {
                String refusal = refusal(each);
                if (!refusal.isEmpty()) {
                    carryOut(keeper.refused(role, refusal, now()));
                }
            }
        }
        ending.removeIf(each -> !each.handle().isAlive());
        Running serves = running.get(Keeper.Role.SERVES);
        carryOut(keeper.tick(serves == null ? null : figures(serves), now()));
    }

    private static String get(Running of, String path) throws IOException {
        try (Socket call = new Socket()) {
            call.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), of.door()), DOOR_MS);
            call.setSoTimeout(DOOR_MS);
            call.getOutputStream().write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static boolean ready(Running of) {
        try {
            return get(of, "/_ready").startsWith("HTTP/1.1 200 ");
        } catch (IOException silent) {
            return false;
        }
    }

    /** Why it cannot take over; empty where it can, or does not say. */
    private static String refusal(Running of) {
        try {
            for (String line : get(of, "/_status").split("\n")) {
                if (line.startsWith("hand-over") && line.contains("refused")) {
                    return line.substring(line.indexOf("refused")).trim();
                }
            }
        } catch (IOException silent) {
            return "";
        }
        return "";
    }

    private static Keeper.Figures figures(Running of) {
        try {
            long[] found = new long[3];
            for (String line : get(of, "/_vars").split("\n")) {
                String[] parts = line.trim().split("[:|]");
                for (int i = 0; i < found.length && parts.length > 1 && parts[0].startsWith("daemon.results."); i++) {
                    if (parts[0].endsWith("." + FIGURES[i])) {
                        found[i] += Long.parseLong(parts[1]);   // of each class
                    }
                }
            }
            return new Keeper.Figures(found[0], found[1], found[2]);
        } catch (IOException | NumberFormatException silent) {
            return null;
        }
    }

    private void carryOut(List<Keeper.Act> acts) throws IOException {
        for (Keeper.Act act : acts) {
            Running of = running.get(act.role());
            switch (act.kind()) {
                case START -> start(act);
                case TERM, KILL -> {
                    if (of != null) {
                        say("ended", act.role(), of.release(), of.pid(), of.began(), of.door(), act.why());
                        running.remove(act.role());
                        ending.add(of);
                        if (act.kind() == Keeper.Act.Kind.TERM) {
                            of.handle().destroy();
                        } else {
                            of.handle().destroyForcibly();
                        }
                    }
                }
                case PROMOTE -> {
                    Running came = running.remove(Keeper.Role.COMES);
                    if (came != null) {
                        running.put(Keeper.Role.SERVES, came);
                        say("promoted", Keeper.Role.SERVES, came.release(), came.pid(), came.began(), came.door(),
                                act.why());
                    }
                }
                case SAY -> say(act.why().startsWith("held") ? "held" : "said", act.role(), act.release(), 0, 0, 0,
                        act.why());
                default -> throw new IllegalStateException("nothing does " + act);
            }
        }
    }

    private void start(Keeper.Act act) throws IOException {
        String against = releases.against(act.release());
        if (!against.isEmpty()) {
            say("said", act.role(), act.release(), 0, 0, 0, against);
            carryOut(keeper.died(act.role(), now()));
            return;
        }
        Path release = releases.of(act.release());
        List<String> command = new ArrayList<>(places.java());
        command.addAll(List.of("-jar", release.resolve(Releases.JAR).toString(), "serve"));
        Path settings = release.resolve(Releases.SETTINGS);
        if (Files.exists(settings)) {
            command.addAll(List.of("--appliance", settings.toString()));
        }
        int door = Address.freePort();
        Path log = places.state().resolve("daemon-" + Wall.now() + "-" + ++logs + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("EDGE_CONFIG", places.config().toString());
        builder.environment().put("EDGE_CONSOLE", "127.0.0.1:" + door);
        builder.environment().put("TMPDIR", places.state().toString());
        // A keeper that dies between the two would leave a daemon that no journal names: the step stands there before.
        say("starting", act.role(), act.release(), 0, 0, door, act.why());
        ProcessHandle handle = builder.start().toHandle();
        running.put(act.role(), new Running(handle.pid(), began(handle), door, act.release(), handle));
        say("started", act.role(), act.release(), handle.pid(), began(handle), door, act.why());
    }

    private void say(String what, Keeper.Role role, String release, long pid, long began, int door, String why)
            throws IOException {
        StepLog.Entry entry = new StepLog.Entry(Wall.now(), what, role.name(), release, keeper.good(), pid,
                began, door, why);
        before.accept(entry);
        try {
            journal.add(entry);
        } catch (IOException full) {
            // Guards against a full disk ending the keeper within a change: what serves goes on, and people are told.
            Logger.error("the keeper's journal cannot be written ({}): {}", full.getMessage(), entry);
        }
        out.println(what + " " + release + (pid == 0 ? "" : " (" + pid + ")") + (why.isEmpty() ? "" : ": " + why));
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
            Files.deleteIfExists(places.state().resolve(SOCKET));
        }
        journal.close();
        lockFile.close();
    }
}
