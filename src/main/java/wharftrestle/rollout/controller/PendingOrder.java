package wharftrestle.rollout.controller;

/**
 * An order that is in the journal and waits for its host to be reached.
 *
 * @param release that the host is ordered to run
 * @param rollback true for the release that the host ran before
 * @param queuedAt seconds of the monotonic clock
 */
record PendingOrder(String release, boolean rollback, double queuedAt) {}
