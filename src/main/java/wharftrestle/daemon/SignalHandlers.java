package wharftrestle.daemon;

import java.nio.file.Path;
import org.tinylog.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Owns the process's signals: TERM and INT are the notice to leave, and HUP, which would end the
 * program, has the configuration read anew. It hears them from before the first address is taken.
 * Guards against the instant in which callers connect already and a signal would still end the
 * process with all that they sent. It must never wait.
 */
public class SignalHandlers {
  private final Lifecycle.ConfigSource source;
  private final boolean deafToHangups;
  private Lifecycle life; // null until there is one
  private boolean leave; // told before that
  private boolean reload;

  public SignalHandlers(Lifecycle.ConfigSource source) {
    this.source = source;
    Signal.handle(new Signal("TERM"), signal -> leave());
    Signal.handle(new Signal("INT"), signal -> leave());
    // Guards against a box that can never move: under nohup, and some supervisors, hangups are
    // ignored from the
    // start, the JVM leaves it so, and the addresses of a new configuration would never be taken
    // over.
    deafToHangups = Signal.handle(new Signal("HUP"), signal -> reload()) == SignalHandler.SIG_IGN;
  }

  private synchronized void leave() {
    leave = true;
    if (life != null) {
      life.leave();
    }
    onHandled();
  }

  private void reload() {
    Lifecycle now;
    synchronized (this) {
      reload = true;
      now = life;
    }
    if (now != null) {
      now.reload(source);
    }
    onHandled();
  }

  /** A signal was dealt with. */
  public void onHandled() {}

  /** From now on this one is told, and of what came before. */
  public SignalHandlers attach(Lifecycle now) {
    boolean missed;
    synchronized (this) {
      life = now;
      missed = reload;
      if (leave) {
        life.leave();
      }
    }
    if (missed) {
      now.reload(source);
    }
    return this;
  }

  /** Looks at the configuration's file instead, where hangups are not heard. */
  public void watch(String file) {
    if (deafToHangups) {
      Logger.warn(
          "SIGHUP is ignored by whoever started this process: {} is looked at every {} ms instead",
          file,
          ConfigWatcher.POLL_INTERVAL_MILLIS);
      new ConfigWatcher(Path.of(file), this::reload).start();
    }
  }
}
