package wharftrestle.keys;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharftrestle.keys.KeyState.Step;

/**
 * Every decision on a key of this box: whether a try may be held, may run, joins another or fails, and what is known
 * of the try that ran. It owns the entries with their states ({@link KeyState} has the table), the tries that ride on
 * them, and when each is forgotten. It must never let a key run twice in its window, answer a try itself, or forget
 * a key whose window is not over. Time is passed in: {@code now} in seconds on a clock that never goes back, stamps
 * ({@code door}) in Unix ms. Not thread-safe: its caller's lock guards it.
 *
 * <p>Where results are kept on disk, a served entry is settled: its bytes leave memory, and the {@link CompactIndex}
 * knows where they lie.
 *
 * @param <T> a try, as the caller knows it
 */
public final class KeyTable<T> {
    /** Seconds by which a key's window is stretched: clocks round, and a try may be stamped early. */
    public static final double SLACK = 0.5;
    /** Seconds an entry stays past its window: a try stamped within it may be read after a standstill. */
    public static final double LINGER = 10;

    private static final double TICK = 0.25;
    private static final int SLOTS = 512;

    /** What a key was asked: its body, or where that is not kept any more what stands for it. */
    public record Asked(byte[] body, long check) {
        /** Of a key that may have been known before a disk lost it: no try of it is told apart. */
        private static final Asked ANY = new Asked(null, 0);

        public static Asked of(byte[] body) {
            return new Asked(body, 0);
        }

        /** True where a try with this body asks the same. */
        public boolean same(byte[] other) {
            return this == ANY || (body != null ? Arrays.equals(body, other) : check == Digest.check(other));
        }

        /** What stands for it in 64 bits. */
        public long brief() {
            return body != null ? Digest.check(body) : check;
        }
    }

    /** One key and what is known of it; a handle that its caller keeps and never changes. */
    public static final class Entry<T> {
        private final String key;
        private final Asked asked;
        private final int row;
        private KeyState state = KeyState.ABSENT;
        private T holder;
        private byte[] result;
        private long place = CompactIndex.NO_PLACE;
        private long lastDoor;
        private double until = Double.POSITIVE_INFINITY;
        private List<T> riders = List.of();

        private Entry(String key, Asked asked, int row) {
            this.key = key;
            this.asked = asked;
            this.row = row;
        }

        public String key() {
            return key;
        }

        public Asked asked() {
            return asked;
        }

        public KeyState state() {
            return state;
        }

        /** The try of this process that holds it or ran; null where the other process has it, or it is settled. */
        public T holder() {
            return holder;
        }

        /** The result of a served key in memory; null where there is none, or it lies on disk. */
        public byte[] result() {
            return result;
        }

        /** Where the result lies on disk; {@link CompactIndex#NO_PLACE} where it does not. */
        public long place() {
            return place;
        }

        /** No try stamped up to here may run, where one ran. */
        public long lastDoor() {
            return lastDoor;
        }

        /** When it is forgotten, on the caller's clock. */
        public double until() {
            return until;
        }

        public boolean ran() {
            return state.ran();
        }

        public boolean over() {
            return state.over();
        }

        /** True where a try with this stamp is one of this key's window. */
        public boolean covers(long door) {
            return !state.ran() || door <= lastDoor;
        }

        private void step(Step step) {
            state = state.after(step);
        }
    }

    /** Told that a try that rode on an entry ends as the entry did. */
    public interface Ends<T> {
        void rider(T rider, Entry<T> entry);
    }

    private final Map<String, Entry<T>> open = new HashMap<>();
    private final List<Entry<T>> rows = new ArrayList<>();
    private final TimingWheel wheel = new TimingWheel(TICK, SLOTS);
    private final Ends<T> ends;
    private CompactIndex settled;   // null where nothing is kept on disk
    private double blindUntil = Double.NEGATIVE_INFINITY;
    private boolean blind;
    private int[] free = new int[16];
    private int frees;

    public KeyTable(Ends<T> ends) {
        this.ends = ends;
    }

    /** From now on runs are recorded, and at most so many settled keys are known. */
    public void record(int mostSettled) {
        settled = new CompactIndex(mostSettled);
    }

    public boolean recorded() {
        return settled != null;
    }

    /** Keys known now. */
    public int size() {
        return open.size() + (settled == null ? 0 : settled.size());
    }

    /** Bytes of what is known of settled keys. */
    public long settledBytes() {
        return settled == null ? 0 : settled.bytes();
    }

    /** Until then no key that is not known may run, as what was known of it may be lost: its tries fail. */
    public void blind(double until) {
        blindUntil = Math.max(blindUntil, until);
        blind = true;
    }

    /** What is known of this key; null for nothing. A settled one comes as an entry of its own each time. */
    public Entry<T> find(String key) {
        Entry<T> entry = known(key);
        if (entry == null && blind) {
            entry = new Entry<>(key, Asked.ANY, -1);
            entry.step(Step.RECOVER_INTENT);
            entry.lastDoor = Long.MAX_VALUE;
        }
        return entry;
    }

    private Entry<T> known(String key) {
        Entry<T> entry = open.get(key);
        if (entry != null || settled == null) {
            return entry;
        }
        CompactIndex.Found found = settled.find(Digest.of(key));
        if (found == null) {
            return null;
        }
        Entry<T> view = new Entry<>(key, new Asked(null, found.check()), -1);
        boolean known = found.place() != CompactIndex.NO_PLACE;
        view.step(known ? Step.RECOVER_RESULT : Step.RECOVER_INTENT);
        view.place = found.place();
        view.lastDoor = found.lastDoor();
        return view;
    }

    /** What a try with this stamp repeats; null where it repeats nothing. What its window has left behind is forgotten. */
    public Entry<T> meet(String key, long door) {
        Entry<T> prior = find(key);
        if (prior == null || prior.covers(door)) {
            return prior;
        }
        forget(prior);
        return null;
    }

    /** True where this very entry is what is known of its key. */
    public boolean current(Entry<T> entry) {
        return entry != null && open.get(entry.key) == entry;
    }

    public void each(Consumer<Entry<T>> told) {
        open.values().forEach(told);
    }

    /**
     * A try is held and its key taken, so that repeats join it. Null where a try of that window ran: that one stays
     * what repeats are told of.
     */
    public Entry<T> hold(String key, byte[] body, long door, T holder) {
        Entry<T> known = find(key);
        if (known != null && known.ran() && known.covers(door)) {
            return null;
        }
        Entry<T> entry = put(key, Asked.of(body));
        entry.step(Step.HOLD);
        entry.holder = holder;
        return entry;
    }

    /**
     * A run was decided. Where results are kept its intent must be on disk before it is spawned ({@link #recorded}
     * or {@link #neverRan} follow). The entry of another holder, or a settled one, comes back where a try of this
     * window ran already: then this one may not, and joins it.
     *
     * @param window seconds from the try's stamp
     */
    public Entry<T> start(String key, byte[] body, long door, double window, double now, T holder) {
        Entry<T> entry = find(key);
        if (entry != null && entry.ran()) {
            if (entry.covers(door)) {
                return entry;
            }
            forget(entry);
            entry = null;
        }
        entry = entry != null ? entry : put(key, Asked.of(body));
        entry.step(settled != null ? Step.INTEND : Step.START);
        entry.holder = holder;
        bound(entry, door + Math.round((window + SLACK) * 1000), now + window + SLACK + LINGER);
        return entry;
    }

    /** The intent of a run is on disk. */
    public void recorded(Entry<T> entry) {
        entry.step(Step.RECORDED);
    }

    /** No run was begun, or may be: a further try of the key may have one. Riders fail, as nothing ran for them. */
    public void neverRan(Entry<T> entry) {
        if (!entry.state.allows(Step.VOID)) {
            return;   // known to have ended meanwhile
        }
        entry.step(Step.VOID);
        remove(entry);
        end(entry);
    }

    /** A run is over; the result is null unless it ended well. True where that is not final before it is on disk. */
    public boolean ran(Entry<T> entry, byte[] result) {
        if (entry.state.over() || entry.state == KeyState.SAVING || entry.state == KeyState.ABSENT) {
            return entry.state == KeyState.SAVING;
        }
        if (result == null) {
            entry.step(Step.FAIL);
            end(entry);
            return false;
        }
        entry.result = result;
        if (settled != null && entry.state.allows(Step.SAVE)) {
            entry.step(Step.SAVE);
            return true;
        }
        entry.step(Step.SUCCEED);
        end(entry);
        return false;
    }

    /**
     * The result is on disk, or with {@link CompactIndex#NO_PLACE} could not be written: then it stays in memory,
     * where its repeats still find it.
     */
    public void saved(Entry<T> entry, long place) {
        if (entry.state != KeyState.SAVING) {
            return;
        }
        entry.step(Step.SAVED);
        end(entry);
        settle(entry, place);
    }

    /** Entries whose result is on its way to the disk. */
    public List<Entry<T>> unsaved() {
        return open.values().stream().filter(entry -> entry.state == KeyState.SAVING).toList();
    }

    /** Moves an ended entry's bytes out of memory, where its result lies on disk and there is room to know it. */
    private void settle(Entry<T> entry, long place) {
        if (place != CompactIndex.NO_PLACE && settled != null && current(entry)
                && settled.put(Digest.of(entry.key), place, entry.lastDoor, entry.asked.brief(), entry.until)) {
            remove(entry);
            entry.place = place;
        }
    }

    /** A try that holds its key and never ran is over. */
    public void release(Entry<T> entry, T holder) {
        if (entry.holder == holder && entry.state == KeyState.HELD) {
            entry.step(Step.RELEASE);
            remove(entry);
            end(entry);
        }
    }

    /** This try ends as the entry does; false where the entry is over already. */
    public boolean ride(Entry<T> entry, T rider) {
        if (entry.state.over() || entry.state == KeyState.ABSENT) {
            return false;
        }
        if (entry.riders.isEmpty()) {
            entry.riders = new ArrayList<>(2);
        }
        entry.riders.add(rider);
        return true;
    }

    public void leave(Entry<T> entry, T rider) {
        if (!entry.riders.isEmpty()) {
            entry.riders.remove(rider);
        }
    }

    /** Forgets whose time is over. */
    public void expire(double now) {
        blind &= now < blindUntil;
        wheel.advance(now, row -> {
            Entry<T> entry = rows.get(row);
            open.remove(entry.key, entry);
            release(row);
        });
        if (settled != null) {
            settled.expire(now);
        }
    }

    // ---- The other process of this box, and what a dead one left ----

    /**
     * The other process has this key in hand, or had. Null where this process knows better.
     *
     * @param lastDoor Unix ms
     * @param until    on the caller's clock
     */
    public Entry<T> hear(String key, Asked asked, long lastDoor, double until) {
        Entry<T> known = known(key);
        if (known != null && !(known.over() && known.lastDoor < lastDoor)) {
            return null;
        }
        if (known != null) {
            forget(known);
        }
        Entry<T> entry = put(key, asked);
        entry.step(Step.HEAR);
        bound(entry, lastDoor, until);
        return entry;
    }

    /** True where the other process has it in hand. */
    public boolean elsewhere(Entry<T> entry) {
        return entry != null && entry.state == KeyState.ELSEWHERE;
    }

    /** The other process had it in hand and never ran it, or may not. */
    public void freed(Entry<T> entry) {
        if (entry.state == KeyState.ELSEWHERE) {
            entry.step(Step.RELEASE);
            remove(entry);
            end(entry);
        }
    }

    /** The other process is gone: the end of what it had in hand is unknown. */
    public void otherGone() {
        for (Entry<T> entry : List.copyOf(open.values())) {
            if (entry.state == KeyState.ELSEWHERE) {
                ran(entry, null);
            }
        }
    }

    /**
     * What a dead process of this box left on disk, or the one that handed over. Where this process knows the key
     * already, what it knows stays.
     *
     * @param place of the result, or {@link CompactIndex#NO_PLACE} where its end is unknown
     * @return false where there is no room to know it
     */
    public boolean recover(String key, long place, long lastDoor, long check, double until) {
        return open.containsKey(key) || settled.put(Digest.of(key), place, lastDoor, check, until);
    }

    // ---- Entries and their rows on the wheel ----

    private Entry<T> put(String key, Asked asked) {
        Entry<T> old = open.get(key);
        if (old != null) {
            remove(old);
        } else if (settled != null) {
            settled.remove(Digest.of(key));
        }
        int row = frees > 0 ? free[--frees] : rows.size();
        Entry<T> entry = new Entry<>(key, asked, row);
        if (row == rows.size()) {
            rows.add(entry);
        } else {
            rows.set(row, entry);
        }
        open.put(key, entry);
        return entry;
    }

    private void bound(Entry<T> entry, long lastDoor, double until) {
        entry.lastDoor = lastDoor;
        entry.until = until;
        wheel.schedule(entry.row, until);
    }

    private void forget(Entry<T> entry) {
        if (entry.row >= 0) {
            remove(entry);
        } else {
            settled.remove(Digest.of(entry.key));
        }
    }

    private void remove(Entry<T> entry) {
        if (open.remove(entry.key, entry)) {
            wheel.cancel(entry.row);
            release(entry.row);
        }
    }

    private void release(int row) {
        rows.set(row, null);
        if (frees == free.length) {
            free = Arrays.copyOf(free, frees * 2);
        }
        free[frees++] = row;
    }

    private void end(Entry<T> entry) {
        List<T> riders = entry.riders;
        entry.riders = List.of();
        riders.forEach(rider -> ends.rider(rider, entry));
    }
}
