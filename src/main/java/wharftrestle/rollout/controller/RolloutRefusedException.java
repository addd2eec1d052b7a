package wharftrestle.rollout.controller;

/** A rollout cannot begin, or its directory belongs to another controller. */
public final class RolloutRefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  RolloutRefusedException(String message) {
    super(message);
  }
}
