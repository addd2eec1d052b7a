/**
 * Clients of the services that the daemon depends on: {@link
 * wharftrestle.upstream.WorkerPoolClient} for the worker pool, {@link
 * wharftrestle.upstream.StoreClient} for the store. Each has threads of its own and calls back
 * without holding a lock.
 */
package wharftrestle.upstream;
