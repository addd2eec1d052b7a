package wharftrestle.daemon;

import wharftrestle.config.DaemonConfig;
import wharftrestle.transport.DescriptorBudget;

/**
 * Limits of the requests in flight and the connections of this process, derived from its memory,
 * cores and descriptors. Each request in flight and each connection has a thread: requests get half
 * of the threads that memory has space for, up to a maximum, and connections get the remainder.
 * Immutable.
 *
 * @param maxRequests limit of the requests in flight
 * @param maxConnections limit of the connections of front ends and gateways together
 * @param maxGatewayConnections the part of {@code maxConnections} for uwsgi gateways; 0 if they are
 *     off
 * @param descriptors descriptors that each part of the process may open
 */
record ResourceLimits(
    int maxRequests, int maxConnections, int maxGatewayConnections, DescriptorBudget descriptors) {

  /**
   * Bounded because an external CPU limiter wakes each thread, even an idle one, each time that it
   * stops the process.
   */
  private static final int CONNECTIONS_PER_CORE = 320;

  /** Memory of the process besides its heap and its threads. */
  private static final double PROGRAM_MB = 28;

  /** Largest heap that deploy/run.sh configures; it configures less if memory is short. */
  private static final double MAX_HEAP_MB = 40;

  private static final double FREE_MEMORY_FRACTION = 0.08;

  /** Resident memory of a thread with its buffers. */
  private static final double THREAD_MB = 0.12;

  private static final int MAX_REQUESTS = 192;
  private static final int MIN_REQUESTS = 16;
  private static final int MIN_CONNECTIONS = 16;
  private static final double GATEWAY_CONNECTION_FRACTION = 0.25;

  private static final double BYTES_PER_MB = 1024 * 1024;

  /**
   * Derives the limits of a process.
   *
   * @param hasGateways true if uwsgi gateways may connect
   * @param heapBytes maximum size of the heap
   */
  static ResourceLimits of(DaemonConfig config, boolean hasGateways, long heapBytes) {
    int threads = threads(config.memoryMb(), heapBytes);
    int maxRequests = Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, threads / 2));
    DescriptorBudget descriptors = DescriptorBudget.of(config.sockets());
    int connections = (int) Math.min(descriptors.callers(), CONNECTIONS_PER_CORE * config.cores());
    int maxConnections = Math.max(MIN_CONNECTIONS, Math.min(connections, threads - maxRequests));
    int maxGatewayConnections =
        hasGateways ? (int) (GATEWAY_CONNECTION_FRACTION * maxConnections) : 0;
    return new ResourceLimits(maxRequests, maxConnections, maxGatewayConnections, descriptors);
  }

  /** Threads that memory has space for. */
  private static int threads(double memoryMb, long heapBytes) {
    double heapMb = Math.min(MAX_HEAP_MB, heapBytes / BYTES_PER_MB);
    return (int) (((1 - FREE_MEMORY_FRACTION) * memoryMb - PROGRAM_MB - heapMb) / THREAD_MB);
  }

  /** Limit of the connections of the platform's front ends. */
  int maxFrontendConnections() {
    return maxConnections - maxGatewayConnections;
  }

  /** Descriptors for connections of the platform's front ends that are being closed. */
  int closingFrontendDescriptors() {
    return descriptors.leaving() - (maxGatewayConnections > 0 ? descriptors.gatewaysLeaving() : 0);
  }
}
