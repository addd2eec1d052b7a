package wharftrestle.rollout.controller;

/** Thrown if a rollout cannot start, or if its directory is in use by another controller. */
public final class RolloutRefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  RolloutRefusedException(String message) {
    super(message);
  }
}
