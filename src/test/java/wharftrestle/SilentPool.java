package wharftrestle;

import wharftrestle.request.RequestCoordinator;

/**
 * A worker pool that takes every command and says nothing; stories of the core alone speak its
 * words themselves.
 */
public class SilentPool implements RequestCoordinator.Pool {
  @Override
  public void spawn(String ref, String className, byte[] body) {}

  @Override
  public void suspend(String ref) {}

  @Override
  public void supply(String ref, byte[] reply) {}

  @Override
  public void pass(String ref, long notice) {}

  @Override
  public boolean poll() {
    return false;
  }
}
