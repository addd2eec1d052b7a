package wharftrestle;

import wharftrestle.core.Core;

/**
 * A worker pool that takes every command and says nothing; stories of the core alone speak its
 * words themselves.
 */
public class SilentPool implements Core.Pool {
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
