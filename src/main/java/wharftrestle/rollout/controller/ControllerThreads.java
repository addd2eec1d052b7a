package wharftrestle.rollout.controller;

/** Starts the threads of a controller: daemon threads with small stacks, one for each host. */
final class ControllerThreads {
  private static final long STACK_BYTES = 256 * 1024;

  private ControllerThreads() {}

  static void start(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }
}
