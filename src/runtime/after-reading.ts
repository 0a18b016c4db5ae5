/** Deferral until the event loop has read its sockets. */

/**
 * Calls back after the event loop has accepted the connections, and read the bytes, that had arrived
 * before this call. The first immediate may run in the current iteration, before sockets are polled.
 */
export function afterReading(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
