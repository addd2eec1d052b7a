package wharftrestle.request;

/**
 * The requests in flight that came over one connection, withdrawn ones included as long as they
 * execute. Guarded by the coordinator's lock.
 */
public final class ConnectionUsage {
  int inFlight;
}
