package wharftrestle.daemon;

import wharftrestle.config.DaemonConfig;
import wharftrestle.transport.DescriptorBudget;

/**
 * How many requests and connections this process holds at once, derived from its memory, cores and
 * descriptors. Each request in flight and each connection has a thread: threads of requests come
 * first, connections have what is left. Immutable.
 *
 * @param maxRequests in flight
 * @param maxConnections of front ends and gateways together
 * @param maxGatewayConnections the part of these that uwsgi gateways have; 0 where they are off
 * @param descriptors what each part of the process may open
 */
record ResourceLimits(
    int maxRequests, int maxConnections, int maxGatewayConnections, DescriptorBudget descriptors) {

  /**
   * An external CPU limiter wakes each thread, idle or not, every time that it stops the process.
   */
  private static final int CONNECTIONS_PER_CORE = 320;

  /** Memory of the program besides its heap and its threads. */
  private static final double PROGRAM_MB = 28;

  /** deploy/run.sh gives the heap less where memory is short. */
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
   * The limits of a process.
   *
   * @param hasGateways true where uwsgi gateways are admitted
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

  /** Connections of the platform's front ends. */
  int maxFrontendConnections() {
    return maxConnections - maxGatewayConnections;
  }

  /** Descriptors for connections of the platform's front ends that are on their way out. */
  int frontendLeavingDescriptors() {
    return descriptors.leaving() - (maxGatewayConnections > 0 ? descriptors.gatewaysLeaving() : 0);
  }
}
