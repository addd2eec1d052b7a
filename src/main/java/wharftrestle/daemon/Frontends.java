package wharftrestle.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.config.DaemonConfig;
import wharftrestle.frontend.RespFrontend;
import wharftrestle.frontend.UwsgiFrontend;
import wharftrestle.metrics.Counters;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.transport.InputRateLimiter;
import wharftrestle.transport.Server;

/**
 * The servers to which clients connect: the one for the platform's front ends and, if enabled, the
 * one for uwsgi gateways. Called by the start sequence, the handover and the shutdown; the servers
 * are thread-safe.
 */
final class Frontends implements AutoCloseable {
  private final Server platform;
  private final Server gateways; // null if uwsgi is off
  private final List<Server> all;
  private final ResourceLimits limits;

  /** True if two processes of a host may listen at the same addresses. */
  private final boolean sharesAddresses;

  Frontends(
      DaemonConfig config,
      DaemonConfig.Appliance appliance,
      ResourceLimits limits,
      RequestCoordinator requests,
      Counters counters) {
    this.limits = limits;
    sharesAddresses = config.meeting() != null;
    InputRateLimiter limiter =
        new InputRateLimiter(config.cores(), shortestAnswerSeconds(config), System.nanoTime());
    platform =
        new Server(
            "resp",
            config.listen(),
            limits.maxFrontendConnections(),
            limits.closingFrontendDescriptors(),
            new RespFrontend(requests, limiter, counters),
            counters);
    gateways =
        appliance.uwsgi() == null
            ? null
            : new Server(
                "uwsgi",
                appliance.uwsgi(),
                limits.maxGatewayConnections(),
                limits.descriptors().gatewaysLeaving(),
                new UwsgiFrontend(requests, limiter, counters, config.seed(), appliance.heldKb()),
                counters);
    all = gateways == null ? List.of(platform) : List.of(platform, gateways);
  }

  /** Shortest time in which a request has to be answered: in service, or in a shutdown. */
  private static double shortestAnswerSeconds(DaemonConfig config) {
    double shortest = config.stopSeconds();
    for (Admission.RequestClass each : config.settings().classes()) {
      shortest = Math.min(shortest, each.deadlineSeconds());
    }
    return shortest;
  }

  /**
   * Binds all addresses at a start without a predecessor.
   *
   * @throws IOException if one cannot be bound
   */
  void listenAtStart() throws IOException {
    for (Server server : all) {
      server.listen(sharesAddresses, true);
    }
  }

  /**
   * Binds the addresses that are not bound. An address that is not available is logged and does not
   * end the process, as a peer process relies on it.
   *
   * @return false if the platform's address cannot be bound; the gateways' address is not bound
   *     then either, as no process would serve its connections
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
      Logger.error("cannot listen address={} error={}", server.address(), e.getMessage());
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

  /**
   * Limits this process to half of all connections, or lifts that limit. Connections of the
   * platform beyond the half are asked to disconnect.
   */
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

  /** Stops accepting clients, and asks those of the platform to disconnect. */
  void stopListening() {
    platform.stopListening();
    platform.goAway();
    if (gateways != null) {
      gateways.stopListening();
    }
  }

  /** Stops reading: each connection ends once its responses are written. */
  void finish() {
    all.forEach(Server::finish);
  }

  InetSocketAddress platformAddress() {
    return platform.address();
  }

  /** The address at which uwsgi gateways connect; null if they are off. */
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

  /** Releases all addresses and closes open connections at once. */
  @Override
  public void close() {
    all.forEach(Server::close);
  }
}
