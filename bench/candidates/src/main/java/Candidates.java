import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.rocksdb.Options;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksDBException;
import org.rocksdb.Statistics;
import org.rocksdb.TickerType;
import org.rocksdb.WriteOptions;

/**
 * Measures what a store of kept results costs: syncs a run, runs a second, waits, resident memory and the time to
 * open it again. One candidate a process: {@code Candidates log|mvstore|rocksdb DIR THREADS RUNS}. A run is an
 * intent and then a result of 1 kB, each on disk before the next step. It is never a part of the program.
 */
public final class Candidates {
    interface Store extends AutoCloseable {
        /** Returns once it is on disk. */
        void put(byte[] key, byte[] value) throws Exception;

        long syncs();

        @Override
        void close() throws Exception;
    }

    private Candidates() { }

    public static void main(String[] args) throws Exception {
        Path dir = Files.createDirectories(Path.of(args[1]));
        int threads = Integer.parseInt(args[2]);
        int runs = Integer.parseInt(args[3]);
        Store store = open(args[0], dir);
        long[] waits = new long[runs];
        AtomicInteger next = new AtomicInteger();
        long begun = System.nanoTime();
        Thread[] all = new Thread[threads];
        for (int t = 0; t < threads; t++) {
            all[t] = new Thread(() -> {
                byte[] result = new byte[1024];
                new Random(7).nextBytes(result);
                for (int i = next.getAndIncrement(); i < runs; i = next.getAndIncrement()) {
                    byte[] key = String.format("2/0/%032x", i * 7919L).getBytes();
                    long at = System.nanoTime();
                    try {
                        store.put(key, Arrays.copyOf(result, 48));
                        store.put(key, result);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                    waits[i] = System.nanoTime() - at;
                }
            });
            all[t].start();
        }
        for (Thread thread : all) {
            thread.join();
        }
        double seconds = (System.nanoTime() - begun) / 1e9;
        Arrays.sort(waits);
        long syncs = store.syncs();
        String memory = Files.readAllLines(Path.of("/proc/self/status")).stream().filter(l -> l.startsWith("VmRSS"))
                .findFirst().orElse("");
        long flat = Files.walk(dir).filter(Files::isRegularFile).mapToLong(f -> f.toFile().length()).sum();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> { }));
        store.close();
        long open = System.nanoTime();
        open(args[0], dir).close();
        System.out.printf("%-8s runs/s %7.0f  syncs/run %.3f  p50 %.2f ms  p99 %.2f ms  %s  files %d kB  open %.1f ms%n",
                args[0], runs / seconds, syncs / (double) runs, waits[runs / 2] / 1e6, waits[runs * 99 / 100] / 1e6,
                memory.replaceAll("\\s+", " "), flat / 1024, (System.nanoTime() - open) / 1e6);
    }

    private static Store open(String kind, Path dir) throws Exception {
        return switch (kind) {
            case "log" -> new Log(dir);
            case "mvstore" -> new Mv(dir);
            default -> new Rocks(dir);
        };
    }

    /** Appends by one leader at a time, which writes and syncs for all who wait: the plainest group commit. */
    private static final class Log implements Store {
        private final FileChannel file;
        private final AtomicLong syncs = new AtomicLong();
        private ArrayDeque<byte[]> waiting = new ArrayDeque<>();
        private boolean leader;
        private long queued;
        private long done;

        Log(Path dir) throws IOException {
            file = FileChannel.open(dir.resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
            ByteBuffer all = ByteBuffer.allocate(64 * 1024);
            while (file.read(all) >= 0) {   // an opening reads all there is
                all.clear();
            }
        }

        @Override
        public void put(byte[] key, byte[] value) throws IOException, InterruptedException {
            long mine;
            ArrayDeque<byte[]> batch;
            synchronized (this) {
                waiting.add(key);
                waiting.add(value);
                mine = ++queued;
                while (leader && done < mine) {
                    wait();
                }
                if (done >= mine) {
                    return;
                }
                leader = true;
                batch = waiting;
                waiting = new ArrayDeque<>();
                mine = queued;
            }
            ByteBuffer out = ByteBuffer.allocate(batch.stream().mapToInt(b -> b.length + 8).sum());
            batch.forEach(b -> out.putLong(b.length).put(b));
            file.write(out.flip());
            file.force(false);
            syncs.incrementAndGet();
            synchronized (this) {
                done = mine;
                leader = false;
                notifyAll();
            }
        }

        @Override
        public long syncs() {
            return syncs.get();
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }

    /** A commit and a sync by one leader at a time, as MVStore has no group commit of its own. */
    private static final class Mv implements Store {
        private final MVStore store;
        private final MVMap<byte[], byte[]> map;
        private final AtomicLong syncs = new AtomicLong();
        private boolean leader;
        private long queued;
        private long done;

        Mv(Path dir) {
            store = new MVStore.Builder().fileName(dir.resolve("mv").toString()).autoCommitDisabled().cacheSize(4).open();
            map = store.openMap("keys");
        }

        @Override
        public void put(byte[] key, byte[] value) throws InterruptedException {
            map.put(key, value);
            long mine;
            synchronized (this) {
                mine = ++queued;
                while (leader && done < mine) {
                    wait();
                }
                if (done >= mine) {
                    return;
                }
                leader = true;
                mine = queued;
            }
            store.commit();
            store.sync();
            syncs.incrementAndGet();
            synchronized (this) {
                done = mine;
                leader = false;
                notifyAll();
            }
        }

        @Override
        public long syncs() {
            return syncs.get();
        }

        @Override
        public void close() {
            store.closeImmediately();
        }
    }

    private static final class Rocks implements Store {
        private final Statistics statistics = new Statistics();
        private final RocksDB db;
        private final WriteOptions sync = new WriteOptions().setSync(true);

        Rocks(Path dir) throws RocksDBException {
            RocksDB.loadLibrary();
            db = RocksDB.open(new Options().setCreateIfMissing(true).setStatistics(statistics)
                    .setWriteBufferSize(4 << 20).setMaxWriteBufferNumber(2), dir.toString());
        }

        @Override
        public void put(byte[] key, byte[] value) throws RocksDBException {
            db.put(sync, key, value);
        }

        @Override
        public long syncs() {
            return statistics.getTickerCount(TickerType.WAL_FILE_SYNCED);
        }

        @Override
        public void close() {
            db.close();
        }
    }
}
