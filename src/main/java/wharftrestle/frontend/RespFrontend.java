package wharftrestle.frontend;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import wharftrestle.admission.Admission;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.Acceptance;
import wharftrestle.request.Answer;
import wharftrestle.request.AnswerListener;
import wharftrestle.request.IncomingRequest;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Connection;
import wharftrestle.transport.Server;
import wharftrestle.transport.Server.MalformedException;

/**
 * The platform's front: RESP arrays of bulk strings, parsed and written here. It owns the tags open
 * on a connection and nothing else; it must never decide about a request, and never keep one past
 * its answer.
 */
public final class RespFrontend implements Server.Front {
  private static final int MOST_PARTS = 5;
  private static final int LONGEST_WORD = 1024;
  private static final int LONGEST_BODY = 2048;
  private static final int LONGEST_COUNT = 6;
  private static final int LONGEST_KEY = 64;

  /** Requests open at once on a connection, as the protocol has it. */
  private static final int MOST_OPEN = 32;

  /** Memory booked for a request stays under this, in kB. */
  private static final double MOST_RAM = 2000;

  /** Milliseconds of work that may be told, in ten hours: more is a slip of its sender. */
  private static final double MOST_CPU_MS = 36_000_000;

  /** Milliseconds by which a request may be stamped ahead of this clock, and behind it. */
  private static final long EARLY_MS = 1000;

  private static final long STALE_MS = 600_000;

  /**
   * The same for a connection on which nothing was served yet, the messages it may send at once,
   * and the milliseconds for each further one.
   */
  private static final int MOST_UNPROVEN = 16;

  private static final int UNPROVEN_BURST = 48;
  private static final int UNPROVEN_MS = 40;

  /** Requests answered as not valid before a connection that was never served is closed. */
  private static final int MOST_INVALID = 8;

  /** Milliseconds between two looks at whether idle connections may go: hundreds of them look. */
  private static final int LOOK_MS = 3000;

  /**
   * The least of these where the policy wants idle ones gone: less would cost more than they do.
   */
  private static final int LEAST_LOOK_MS = 200;

  /** Milliseconds from its opening in which a connection completes its first message. */
  private static final int FIRST_MS = 2500;

  /** Milliseconds in which any other message is complete: longer than a machine stands still. */
  private static final int MESSAGE_MS = 10_000;

  private static final Pattern REFERENCE = Pattern.compile("[0-9a-f]{16}");
  private static final byte[] CLOSING = array("0", "closing", "", new byte[0]);

  private final RequestCoordinator core;
  private final Counters counters;
  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<String, Integer> tenants = new HashMap<>();

  public RespFrontend(RequestCoordinator core, Counters counters) {
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

  @Override
  public boolean sayClosing(Connection connection) {
    connection.send(CLOSING);
    return true;
  }

  @Override
  public void serve(Connection connection) throws IOException {
    Map<String, Acceptance.InFlight> open = new ConcurrentHashMap<>();
    int invalid = 0;
    int taken = 0;
    connection.whenGone(() -> open.values().forEach(core::callerDisconnected));
    // Guards against a cut while a message is half read: a peer whose next one is always there
    // before it is looked
    // for would never be known as one whose front says what is dealt with.
    connection.settled();
    for (byte[][] words = read(connection); words != null; words = read(connection)) {
      // Guards against peers that ask and take back, or ask anew, as fast as they are answered:
      // until
      // a request of theirs has been served they are read no faster than this.
      for (taken++;
          connection.merit() != Connection.Merit.SERVED && open.size() >= MOST_UNPROVEN; ) {
        LockSupport.parkNanos(UNPROVEN_MS * 1_000_000L);
      }
      if (connection.merit() != Connection.Merit.SERVED && taken > UNPROVEN_BURST) {
        LockSupport.parkNanos(UNPROVEN_MS * 1_000_000L);
      }
      try {
        take(connection, open, words);
      } catch (InvalidException e) {
        // Well framed, but nothing that can run: its error says so and the connection goes on.
        // Guards against senders of nothing else, who would ask again as fast as they are answered.
        counters.add(Count.INVALID);
        connection.send(array(text(words[1]), "error", "", new byte[0]));
        if (++invalid >= MOST_INVALID && connection.merit() != Connection.Merit.SERVED) {
          throw new MalformedException("nothing but requests that are not valid");
        }
      }
    }
  }

  private void take(Connection connection, Map<String, Acceptance.InFlight> open, byte[][] words)
      throws IOException {
    String verb = text(words[0]);
    if (words.length < 2) {
      throw new MalformedException("a command without a tag");
    }
    String tag = text(words[1]);
    if (BoundedReader.number(tag, Long.MAX_VALUE) == 0) {
      throw new MalformedException("a tag of 0");
    }
    switch (verb) {
      case "ASK" -> ask(connection, open, tag, words);
      case "NEVERMIND" -> {
        Acceptance.InFlight left = open.remove(tag);
        if (left != null) {
          connection.end();
          core.callerDisconnected(left);
        }
      }
      case "STATUS" -> {
        counters.add(Count.HEALTH_CHECKS);
        connection.heard(Connection.Merit.HEARD);
        connection.send(array(tag, core.isHealthy() ? "healthy" : "sick", "", new byte[0]));
      }
      default -> throw new MalformedException("no such command");
    }
  }

  /** A request that is well framed and cannot be taken. */
  private static final class InvalidException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidException(String message) {
      super(message);
    }
  }

  private void ask(
      Connection connection, Map<String, Acceptance.InFlight> open, String tag, byte[][] words)
      throws IOException {
    if (open.containsKey(tag) || open.size() >= MOST_OPEN) {
      // Guards against answers that cannot be told apart, and against one peer taking all there is.
      throw new MalformedException("a tag used twice, or too many requests open");
    }
    IncomingRequest arrival = arrival(words);
    connection.heard(Connection.Merit.HEARD);
    if (!connection.begin()) {
      return; // it is being closed, nothing was run: the front end sends it once more
    }
    Answering answering = new Answering(connection, open, tag);
    synchronized (answering) {
      if (core.accept(arrival, answering) instanceof Acceptance.InFlight taken) {
        open.put(tag, taken);
      } else {
        connection.end();
      }
    }
  }

  /**
   * Guards against figures that the policy would reckon with: each field lies within the protocol's
   * range.
   */
  private IncomingRequest arrival(byte[][] words) throws InvalidException {
    if (words.length < 4) {
      throw new InvalidException("a request without its fields");
    }
    Map<String, String> fields = fields(text(words[3]));
    Integer type = classes.get(text(words[2]));
    Integer tenant = tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(fields.get("team"));
    String ref = fields.getOrDefault("txn", "");
    if (type == null || tenant == null || !REFERENCE.matcher(ref).matches()) {
      throw new InvalidException("no such class or tenant, or no reference");
    }
    boolean keyed =
        core.settings().classes().get(type).idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY;
    String key = keyed ? fields.getOrDefault("unique", "") : null;
    String item = fields.get("item");
    if ((keyed && (key.isEmpty() || key.length() > LONGEST_KEY))
        || (item != null && item.length() > LONGEST_KEY)) {
      throw new InvalidException("no key, or one too long");
    }
    double ram;
    double standing;
    double cpu;
    long caller;
    long door;
    long second;
    try {
      ram = BoundedReader.decimal(fields.getOrDefault("ram", ""));
      standing = BoundedReader.decimal(fields.getOrDefault("standing", ""));
      cpu = BoundedReader.decimal(fields.getOrDefault("cpu", "0"));
      second = BoundedReader.number(fields.getOrDefault("second", "0"), Integer.MAX_VALUE);
      caller = BoundedReader.number(fields.getOrDefault("lb", ""), Integer.MAX_VALUE);
      door = BoundedReader.number(fields.getOrDefault("door", ""), Long.MAX_VALUE);
    } catch (IOException e) {
      throw new InvalidException(e.getMessage());
    }
    long now = SteadyWallClock.wallMillis();
    if (ram <= 0
        || ram >= MOST_RAM
        || standing < 0
        || standing >= 1
        || cpu < 0
        || cpu > MOST_CPU_MS
        || door > now + EARLY_MS
        || door < now - STALE_MS) {
      throw new InvalidException("a figure out of range");
    }
    return new IncomingRequest(
        ref,
        second > 0,
        type,
        tenant,
        ram,
        (int) caller,
        standing,
        cpu / 1000,
        key,
        item,
        SteadyWallClock.toSteadyWallMillis(door),
        words.length > 4 ? words[4] : new byte[0]);
  }

  private record Answering(Connection connection, Map<String, Acceptance.InFlight> open, String tag)
      implements AnswerListener {
    @Override
    public void onAnswer(Answer answer) {
      boolean owed;
      synchronized (this) {
        owed = open.remove(tag) != null;
      }
      if (answer.kind() == Answer.Kind.SERVED) {
        connection.heard(Connection.Merit.SERVED);
      }
      connection.send(
          switch (answer.kind()) {
            case SERVED -> array(tag, "done", "", answer.result());
            case FAILED, DEADLINE_EXCEEDED, CONFLICT -> array(tag, "error", "", answer.result());
            case REJECTED -> array(tag, "later", advice(answer), answer.result());
          });
      if (owed) {
        connection.end(); // guards against a close between the two that loses the answer
      }
    }

    private static String advice(Answer answer) {
      long millis = Math.round(answer.retryAfterSeconds() * 1000);
      String wait = millis > 0 ? "later=" + millis : "";
      return !answer.fleetOverloaded() ? wait : wait.isEmpty() ? "giveup=1" : wait + ",giveup=1";
    }
  }

  private static Map<String, String> fields(String text) throws InvalidException {
    Map<String, String> fields = new HashMap<>();
    for (String field : text.isEmpty() ? new String[0] : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals <= 0
          || fields.put(field.substring(0, equals), field.substring(equals + 1)) != null) {
        throw new InvalidException("a field without a value, or told twice");
      }
    }
    return fields;
  }

  /**
   * The next array; null at the peer's end between two, or where the connection stood idle long
   * enough.
   */
  private byte[][] read(Connection connection) throws IOException {
    InputStream in = connection.in();
    int mark = first(connection);
    if (mark < 0) {
      return null;
    }
    if (mark != '*') {
      throw new MalformedException("no array");
    }
    int count = (int) BoundedReader.number(BoundedReader.line(in, LONGEST_COUNT), MOST_PARTS);
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
      int most = i == MOST_PARTS - 1 ? LONGEST_BODY : LONGEST_WORD;
      words[i] =
          BoundedReader.exactly(
              in, (int) BoundedReader.number(BoundedReader.line(in, LONGEST_COUNT), most));
      BoundedReader.crlf(in);
    }
    return words;
  }

  /**
   * The first byte of the next message, whose time limit begins with it. Guards against peers that
   * connect and say nothing, or never end what they say: they would use up the connections.
   */
  private int first(Connection connection) throws IOException {
    boolean silent = connection.merit() == Connection.Merit.SILENT;
    long firstBy = connection.openedAt() + FIRST_MS * 1_000_000L;
    if (connection.in().available() == 0) {
      connection.settled();
    }
    for (; ; ) {
      double idleFor = core.idleTimeoutSeconds();
      long look =
          idleFor > 0
              ? Math.max(LEAST_LOOK_MS, Math.min(LOOK_MS, (long) (idleFor * 1000)))
              : LOOK_MS;
      connection.readUntil(silent ? firstBy : System.nanoTime() + look * 1_000_000L);
      try {
        int mark = connection.in().read();
        connection.readUntil(silent ? firstBy : System.nanoTime() + MESSAGE_MS * 1_000_000L);
        return mark;
      } catch (SocketTimeoutException quiet) {
        double limit = core.idleTimeoutSeconds();
        boolean idle = limit > 0 && System.nanoTime() - connection.heardAt() > limit * 1e9;
        if (silent || (idle && connection.owed() == 0)) {
          // Guards against losing a request that crosses the close: its peer hears first, and may
          // still ask.
          connection.goAway();
        }
        if (silent) {
          return -1; // it never said a word, and nothing was read of it
        }
      }
    }
  }

  private static String text(byte[] word) {
    return new String(word, StandardCharsets.ISO_8859_1);
  }

  static byte[] array(String tag, String word, String fields, byte[] body) {
    return BoundedReader.join(
        BoundedReader.ascii(
            "*4\r\n" + bulk(tag) + bulk(word) + bulk(fields) + "$" + body.length + "\r\n"),
        body,
        BoundedReader.ascii("\r\n"));
  }

  private static String bulk(String text) {
    return "$" + text.length() + "\r\n" + text + "\r\n";
  }
}
