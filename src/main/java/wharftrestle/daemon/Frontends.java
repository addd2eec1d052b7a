package wharftrestle.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.frontend.RespFrontend;
import wharftrestle.frontend.UwsgiFrontend;
import wharftrestle.metrics.Counters;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.transport.Server;

/**
 * The servers that clients connect to: the platform's front end and, where it is on, that of uwsgi
 * gateways. Called by the start sequence, the handover and the shutdown; the servers are
 * thread-safe.
 */
final class Frontends implements AutoCloseable {
  private final Server platform;
  private final Server gateways; // null where uwsgi is off
  private final List<Server> all;
  private final ResourceLimits limits;

  /** Two processes of a host may listen at the same addresses. */
  private final boolean sharesAddresses;

  Frontends(
      DaemonConfig config,
      DaemonConfig.Appliance appliance,
      ResourceLimits limits,
      RequestCoordinator requests,
      Counters counters) {
    this.limits = limits;
    sharesAddresses = config.meeting() != null;
    platform =
        new Server(
            "resp",
            config.listen(),
            limits.maxFrontendConnections(),
            limits.frontendLeavingDescriptors(),
            new RespFrontend(requests, counters),
            counters);
    gateways =
        appliance.uwsgi() == null
            ? null
            : new Server(
                "uwsgi",
                appliance.uwsgi(),
                limits.maxGatewayConnections(),
                limits.descriptors().gatewaysLeaving(),
                new UwsgiFrontend(requests, counters, config.seed(), appliance.heldKb()),
                counters);
    all = gateways == null ? List.of(platform) : List.of(platform, gateways);
  }

  /**
   * Binds all addresses at a start without a predecessor.
   *
   * @throws IOException where one cannot be bound
   */
  void listenAtStart() throws IOException {
    for (Server server : all) {
      server.listen(sharesAddresses, true);
    }
  }

  /**
   * Binds the addresses that are not bound. One that is taken does not end a process on which
   * others rely: it is logged.
   *
   * @return false where the platform's address cannot be bound; gateways' connections are not taken
   *     then either, as nothing would serve them
   */
  boolean listen(boolean isAlone) {
    for (Server server : all) {
      if (!server.listening()) {
        tryListen(server, isAlone);
      }
      if (!platform.listening()) {
        return false;
      }
    }
    return true;
  }

  private void tryListen(Server server, boolean isAlone) {
    try {
      server.listen(sharesAddresses, isAlone);
    } catch (IOException e) {
      Logger.error("cannot listen at {}: {}", server.address(), e.getMessage());
    }
  }

  /** True while the platform's clients can connect. */
  boolean isListening() {
    return platform.listening();
  }

  /** Accepts clients at the addresses that are bound. */
  void accept() {
    for (Server server : all) {
      if (server.listening()) {
        server.start();
      }
    }
  }

  /** Uses half of all connections, or all of them; what is beyond a half is sent away. */
  void shareConnections(boolean isShared) {
    int processes = isShared ? 2 : 1;
    platform.limit(limits.maxFrontendConnections() / processes);
    if (gateways != null) {
      gateways.limit(limits.maxGatewayConnections() / processes);
    }
    if (isShared) {
      platform.sendAway(limits.maxFrontendConnections() / 2);
    }
  }

  /** Takes no more clients, and tells those of the platform to go. */
  void stopListening() {
    platform.stopListening();
    platform.goAway();
    if (gateways != null) {
      gateways.stopListening();
    }
  }

  /** Reads nothing more: each connection ends once its answers are written. */
  void finish() {
    all.forEach(Server::finish);
  }

  InetSocketAddress platformAddress() {
    return platform.address();
  }

  /** Where uwsgi gateways connect; null where they are off. */
  InetSocketAddress gatewayAddress() {
    return gateways == null ? null : gateways.address();
  }

  int platformConnections() {
    return platform.connections().size();
  }

  int gatewayConnections() {
    return gateways == null ? 0 : gateways.connections().size();
  }

  boolean hasConnections() {
    return platformConnections() + gatewayConnections() > 0;
  }

  /** Gives all addresses back; open connections are cut. */
  @Override
  public void close() {
    all.forEach(Server::close);
  }
}
