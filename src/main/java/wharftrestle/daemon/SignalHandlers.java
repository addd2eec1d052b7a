package wharftrestle.daemon;

import java.nio.file.Path;
import org.tinylog.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles the signals of the process: TERM and INT request a graceful shutdown, HUP reloads the
 * configuration. The handlers are installed before the first address is bound: clients may connect
 * from then on, and a signal without a handler would end the process and lose their requests.
 * Signals that arrive before a daemon is attached are applied to it later. Thread-safe; no handler
 * blocks.
 */
public class SignalHandlers {
  private final Lifecycle.ConfigSource configSource;

  /**
   * True if SIGHUP was ignored when the process started, as under nohup and some supervisors; the
   * JVM does not change that.
   */
  private final boolean isHangupIgnored;

  private Lifecycle daemon; // null until one is attached
  private boolean isShutdownRequested;
  private boolean isReloadRequested;

  /** Installs the handlers. */
  public SignalHandlers(Lifecycle.ConfigSource configSource) {
    this.configSource = configSource;
    Signal.handle(new Signal("TERM"), signal -> requestShutdown());
    Signal.handle(new Signal("INT"), signal -> requestShutdown());
    isHangupIgnored = Signal.handle(new Signal("HUP"), signal -> reload()) == SignalHandler.SIG_IGN;
  }

  private synchronized void requestShutdown() {
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

  /** Called after each handled signal; tests override it. */
  public void onHandled() {}

  /** Sets the daemon that receives the signals, including those that have already arrived. */
  public SignalHandlers attach(Lifecycle started) {
    boolean isReloadPending;
    synchronized (this) {
      daemon = started;
      isReloadPending = isReloadRequested;
      if (isShutdownRequested) {
        started.leave();
      }
    }
    if (isReloadPending) {
      started.reload(configSource);
    }
    return this;
  }

  /** Polls the configuration file for changes if SIGHUP is ignored. */
  public void watch(String file) {
    if (isHangupIgnored) {
      Logger.warn(
          "SIGHUP is ignored by whoever started this process; polling the configuration file"
              + " instead file={} intervalMillis={}",
          file,
          ConfigWatcher.POLL_INTERVAL_MILLIS);
      new ConfigWatcher(Path.of(file), this::reload).start();
    }
  }
}
