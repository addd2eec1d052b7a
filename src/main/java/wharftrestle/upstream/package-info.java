/**
 * Clients of what the daemon depends on: {@link wharftrestle.upstream.WorkerPoolClient} owns the
 * link to the worker pool, {@link wharftrestle.upstream.StoreClient} the connections to the store.
 * Each has threads of its own and calls back without holding a lock.
 */
package wharftrestle.upstream;
