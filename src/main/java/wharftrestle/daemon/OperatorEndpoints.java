package wharftrestle.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.admin.AdminServer;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.PlatformThreads;
import wharftrestle.snmp.SnmpAgent;
import wharftrestle.transport.Server;

/**
 * The endpoints for operators: the admin endpoint and the SNMP agent, as far as they are enabled. A
 * predecessor may hold their addresses until it has ended. Thread-safe.
 */
final class OperatorEndpoints implements AutoCloseable {
  private static final long RETRY_INTERVAL_MILLIS = 200;

  private final DaemonConfig.Appliance appliance;
  private final AdminServer.Daemon daemon;
  private final Server adminServer; // null if the admin endpoint is off
  private volatile SnmpAgent snmpAgent; // null if it is off, or its address is in use
  private volatile boolean isClosed;

  OperatorEndpoints(
      DaemonParts parts, DaemonConfig.Appliance appliance, AdminServer.Daemon daemon) {
    this.appliance = appliance;
    this.daemon = daemon;
    InetSocketAddress address =
        parts.config().console() != null ? parts.config().console() : appliance.control();
    adminServer =
        address == null
            ? null
            : new Server(
                "door",
                address,
                parts.limits().descriptors().operators(),
                parts.limits().descriptors().operatorsLeaving(),
                new AdminServer(daemon),
                parts.counters());
  }

  /** Opens the endpoints that are not open; false if an address is not available. */
  synchronized boolean open() {
    try {
      if (adminServer != null && !adminServer.listening()) {
        adminServer.listen(false, true);
        adminServer.start();
      }
      if (appliance.snmp() != null && snmpAgent == null) {
        snmpAgent = new SnmpAgent(daemon, appliance.snmp(), appliance.community());
      }
      return true;
    } catch (IOException | RuntimeException e) {
      Logger.debug("cannot open the operator endpoints error={}", e.getMessage());
      return false;
    }
  }

  /** Opens the endpoints as soon as their addresses are available, on a separate thread. */
  void openWhenFree() {
    PlatformThreads.thread("operators", this::openOrRetry).start();
  }

  private void openOrRetry() {
    while (!open() && !isClosed) {
      LockSupport.parkNanos(RETRY_INTERVAL_MILLIS * 1_000_000);
    }
  }

  /** The address of the admin endpoint; null if it is off. */
  InetSocketAddress adminAddress() {
    return adminServer == null ? null : adminServer.address();
  }

  /** The address of the SNMP agent; null if it does not run. */
  InetSocketAddress snmpAddress() {
    SnmpAgent agent = snmpAgent;
    return agent == null ? null : agent.address();
  }

  @Override
  public void close() {
    isClosed = true;
    synchronized (this) {
      if (adminServer != null) {
        adminServer.close();
      }
      if (snmpAgent != null) {
        snmpAgent.close();
      }
    }
  }
}
