package wharftrestle.rollout.controller;

import com.fasterxml.jackson.annotation.JsonProperty;
import wharftrestle.rollout.Rollout;

/**
 * One line of a controller's journal, written before the controller acts: the intended action and
 * the state of the rollout. The annotations keep the names used on disk.
 *
 * @param timestampMs Unix time, displayed only
 * @param event "claim", "order", "enter" or "stage"
 * @param epoch of the controller
 * @param controller name of the controller
 * @param planDigest SHA-256 of the plan's text
 * @param rollout state from which a later controller resumes
 * @param host that is ordered; empty if the event concerns no host
 * @param release that the host is ordered to run; empty for none
 * @param reason displayed only; empty for none
 */
record JournalEntry(
    @JsonProperty("at") long timestampMs,
    @JsonProperty("what") String event,
    long epoch,
    @JsonProperty("driver") String controller,
    @JsonProperty("plan") String planDigest,
    @JsonProperty("roll") Rollout.Snapshot rollout,
    @JsonProperty("box") String host,
    @JsonProperty("to") String release,
    @JsonProperty("why") String reason) {}
