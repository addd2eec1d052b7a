/**
 * Admission control: decides which requests are dispatched, queued, rejected or failed. {@link
 * wharftrestle.admission.Admission} is the interface between it and its host; {@link
 * wharftrestle.admission.AdmissionController} receives the events and routes them to one class per
 * decision. Start reading at its {@code batchCompleted}, which lists the decisions in their order.
 *
 * <p>The state of this package is the queue, the requests in flight as far as decisions need them,
 * and all estimates. The package is not thread-safe: the host serializes its events. It is
 * deterministic, so equal events give equal actions; therefore it uses no sockets, files, threads
 * or clocks, and the time is passed in with each event.
 */
package wharftrestle.admission;
