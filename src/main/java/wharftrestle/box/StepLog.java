package wharftrestle.box;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The keeper's journal: a JSON object a line, each synced before what it says is done. A last line that is not whole, as a
 * kill or a full disk leaves it, counts for nothing and is cut off. It must never be written over.
 */
final class StepLog implements Closeable {

    /**
     * One step. A daemon is known by its process id and start: ids come again, starts do not.
     *
     * @param at      Unix ms, for people
     * @param what    "started", "serves", "promoted", "ended", "said"
     * @param role    of the daemon, as {@link Keeper.Role} has it
     * @param release of the daemon
     * @param good    the release to go back to then
     * @param pid     0 for none
     * @param began   Unix ms at which the process began
     * @param door    the port of its operators' door
     * @param why     for people
     */
    record Entry(long at, String what, String role, String release, String good, long pid, long began, int door,
                 String why) { }

    private static final ObjectMapper JSON = new ObjectMapper();

    private final FileChannel file;
    private final List<Entry> entries = new ArrayList<>();

    /** @throws IOException also where a line that is not the last cannot be read: then nothing of it is believed */
    StepLog(Path path) throws IOException {
        long whole = 0;
        if (Files.exists(path)) {
            byte[] bytes = Files.readAllBytes(path);
            int from = 0;
            for (int i = 0; i < bytes.length; i++) {
                if (bytes[i] == '\n') {
                    try {
                        entries.add(JSON.readValue(bytes, from, i - from, Entry.class));
                    } catch (JsonProcessingException e) {
                        throw new IOException(path + ", line " + (entries.size() + 1) + ": cannot be read");
                    }
                    from = i + 1;
                    whole = from;
                }
            }
        }
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        file.truncate(whole);
        file.position(whole);
    }

    /** All steps, the oldest first. */
    List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Writes a step, which is on disk when this returns. */
    void add(Entry entry) throws IOException {
        long at = file.position();
        ByteBuffer line = ByteBuffer.wrap((JSON.writeValueAsString(entry) + "\n").getBytes(StandardCharsets.UTF_8));
        try {
            while (line.hasRemaining()) {
                file.write(line);
            }
            file.force(false);
        } catch (IOException full) {
            file.truncate(at);   // guards against half a line within the journal, once there is room again
            file.position(at);
            throw full;
        }
        entries.add(entry);
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
