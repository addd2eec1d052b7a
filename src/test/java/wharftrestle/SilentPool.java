package wharftrestle;

import wharftrestle.request.WorkerPool;

/**
 * A worker pool that takes every command and says nothing; stories of the core alone speak its
 * words themselves.
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
