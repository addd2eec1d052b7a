package wharftrestle.daemon;

import java.nio.file.Path;
import org.tinylog.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles the signals of the process: TERM and INT give the daemon the notice to leave, HUP has its
 * configuration read anew. Installed before the first address is bound, as clients may connect from
 * then on, and a signal without a handler would end the process with all that they sent. Signals
 * that come before there is a daemon are remembered. Thread-safe; no handler waits.
 */
public class SignalHandlers {
  private final Lifecycle.ConfigSource configSource;

  /**
   * Under nohup, and some supervisors, hangups are ignored from the start, and the JVM leaves it
   * so.
   */
  private final boolean ignoresHangups;

  private Lifecycle daemon; // null until there is one
  private boolean isShutdownRequested;
  private boolean isReloadRequested;

  /** Installs the handlers. */
  public SignalHandlers(Lifecycle.ConfigSource configSource) {
    this.configSource = configSource;
    Signal.handle(new Signal("TERM"), signal -> leave());
    Signal.handle(new Signal("INT"), signal -> leave());
    ignoresHangups = Signal.handle(new Signal("HUP"), signal -> reload()) == SignalHandler.SIG_IGN;
  }

  private synchronized void leave() {
    isShutdownRequested = true;
    if (daemon != null) {
      daemon.leave();
    }
    onHandled();
  }

  private void reload() {
    Lifecycle attached;
    synchronized (this) {
      isReloadRequested = true;
      attached = daemon;
    }
    if (attached != null) {
      attached.reload(configSource);
    }
    onHandled();
  }

  /** Called after each handled signal, for tests. */
  public void onHandled() {}

  /** Passes signals on to this daemon from now on, those that came before included. */
  public SignalHandlers attach(Lifecycle started) {
    boolean reloads;
    synchronized (this) {
      daemon = started;
      reloads = isReloadRequested;
      if (isShutdownRequested) {
        started.leave();
      }
    }
    if (reloads) {
      started.reload(configSource);
    }
    return this;
  }

  /** Watches the configuration file instead, where hangups are ignored. */
  public void watch(String file) {
    if (ignoresHangups) {
      Logger.warn(
          "SIGHUP is ignored by whoever started this process: {} is looked at every {} ms instead",
          file,
          ConfigWatcher.POLL_INTERVAL_MILLIS);
      new ConfigWatcher(Path.of(file), this::reload).start();
    }
  }
}
