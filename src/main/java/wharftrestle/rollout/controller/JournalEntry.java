package wharftrestle.rollout.controller;

import com.fasterxml.jackson.annotation.JsonProperty;
import wharftrestle.rollout.Rollout;

/**
 * One line of a controller's journal: what it was about to do, and the rollout as it is then. The
 * component names are those of the code; the annotations hold the names on disk.
 *
 * @param timestampMs Unix time, displayed only
 * @param event "claim", "order", "enter" or "stage"
 * @param epoch in which the controller acted
 * @param controller its name
 * @param planDigest SHA-256 of the plan's text
 * @param rollout from which a later controller resumes
 * @param host that is ordered; empty where the event concerns none
 * @param release that it is ordered to run; empty for none
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
