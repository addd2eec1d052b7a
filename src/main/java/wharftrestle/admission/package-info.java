/**
 * Admission control: which requests are dispatched, queued, rejected or failed. {@link
 * wharftrestle.admission.Admission} is the interface between it and its host; {@link
 * wharftrestle.admission.AdmissionController} receives the events and routes them to one class for
 * each decision. Start reading at its {@code batchCompleted}, which lists the decisions in their
 * order.
 *
 * <p>The package owns the queue, the requests in flight as far as decisions need them, and all
 * estimates. It has no thread and no lock: the host serializes its events. It must never touch a
 * socket, a file, a thread or a clock; time is passed in, and equal events give equal actions.
 */
package wharftrestle.admission;
