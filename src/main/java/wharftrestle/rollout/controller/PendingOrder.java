package wharftrestle.rollout.controller;

/**
 * An order that is in the journal and waits for the next answer of its host's supervisor.
 *
 * @param release release that the host is ordered to run
 * @param rollback true if the host is rolled back to its previous release
 * @param queuedAt seconds of the monotonic clock
 */
record PendingOrder(String release, boolean rollback, double queuedAt) {}
