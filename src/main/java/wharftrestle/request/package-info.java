/**
 * Requests in flight: their processing from arrival to answer, their idempotency keys, timers and
 * dependency calls, and the code that carries out the decisions of {@link wharftrestle.admission}.
 *
 * <p>Threads: one for each request in flight, one for the timers, and the threads that call {@link
 * wharftrestle.request.RequestCoordinator} and {@link wharftrestle.request.PeerCoordinator}. One
 * lock, created in {@code RequestParts}, guards every decision and all state but the final fields;
 * sockets and files are used without it.
 *
 * <p>Start reading at {@code RequestLifecycle.run}, which processes one request, then {@code
 * RequestArrival}, the checks before the admission module, and {@code AdmissionActions}, which
 * turns the module's decisions into steps.
 */
package wharftrestle.request;
