package wharftrestle.daemon;

import wharftrestle.config.DaemonConfig;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.request.RequestCoordinator;
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

  /**
   * Threads that every process may have: accept and go-away threads of three servers, links to the
   * worker pool and to the peer process, timers, reporter, log writer, signals and main thread.
   */
  private static final int OTHER_THREADS = 64;

  /** Largest datagrams of the SNMP agent, one received and one sent. */
  private static final int DATAGRAM_BYTES = 2 * 64 * 1024;

  private static final double BYTES_PER_MB = 1024 * 1024;

  /**
   * Derives the limits of a process.
   *
   * @param hasGateways true if uwsgi gateways may connect
   * @param heapBytes maximum size of the heap
   */
  static ResourceLimits of(DaemonConfig config, boolean hasGateways, long heapBytes) {
    return of(config.memoryMb(), config.cores(), config.sockets(), hasGateways, heapBytes);
  }

  /** The same from the limits that a configuration names. */
  static ResourceLimits of(
      double memoryMb, double cores, int sockets, boolean hasGateways, long heapBytes) {
    int threads = threads(memoryMb, heapBytes);
    int maxRequests = Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, threads / 2));
    DescriptorBudget descriptors = DescriptorBudget.of(sockets);
    int connections = (int) Math.min(descriptors.callers(), CONNECTIONS_PER_CORE * cores);
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

  /**
   * Most direct memory that all threads together keep for their reads and writes, in bytes.
   * deploy/run.sh allows at least as much.
   */
  long maxDirectBytes() {
    long threads =
        (long) maxRequests
            + RequestCoordinator.EXTRA_REQUEST_THREADS
            + maxConnections
            + descriptors.leaving()
            + descriptors.gatewaysLeaving()
            + descriptors.calls()
            + descriptors.operators()
            + descriptors.operatorsLeaving()
            + OTHER_THREADS;
    return threads * BoundedTransfers.MAX_BYTES + DATAGRAM_BYTES;
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
