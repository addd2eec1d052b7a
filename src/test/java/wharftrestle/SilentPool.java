package wharftrestle;

import wharftrestle.request.WorkerPool;

/**
 * A worker pool that accepts every command and sends nothing. Tests of the request coordinator
 * alone deliver the pool's notices themselves.
 */
public class SilentPool implements WorkerPool {
  @Override
  public void dispatch(String ref, String className, byte[] body) {}

  @Override
  public void suspend(String ref) {}

  @Override
  public void deliverResponse(String ref, byte[] reply) {}

  @Override
  public void skipCall(String ref, long notice) {}

  @Override
  public boolean pollGauges() {
    return false;
  }
}
