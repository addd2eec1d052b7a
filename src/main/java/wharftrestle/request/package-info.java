/**
 * Requests in flight: their life from arrival to answer, their idempotency keys, timers and
 * dependency calls, and what carries the decisions of {@link wharftrestle.admission} out.
 *
 * <p>Threads: one for each request in flight, one for the timers, and those of the callers of
 * {@link wharftrestle.request.RequestCoordinator} and {@link wharftrestle.request.PeerCoordinator}.
 * One lock, made in {@code RequestParts}, guards every decision and all state but the final fields;
 * sockets and files are used without it.
 *
 * <p>Start reading at {@code RequestLifecycle.run}, the life of one request, then {@code RequestArrival}
 * for what it meets first and {@code AdmissionActions} for what the admission module asks for.
 */
package wharftrestle.request;
